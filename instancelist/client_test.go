package instancelist

import "testing"

// TestDecodeRefuses guards against a reply that says nothing being taken for a
// list without instances, on which a takeover of all records could be based.
func TestDecodeRefuses(t *testing.T) {
	for _, body := range []string{
		``, `{}`, `null`, `[]`, `{"instances":null}`, `{"instances":[{}]}`,
		`{"instances":[{"name":"a","role":"entry","state":"dead"}]}`,
		`{"instances":[{"name":"a","role":"target","state":"live"}]}`,
	} {
		if instances, err := decode([]byte(body)); err == nil {
			t.Errorf("decode(%s) = %v, want an error", body, instances)
		}
	}
	if instances, err := decode([]byte(`{"instances":[]}`)); err != nil || len(instances) != 0 {
		t.Errorf("decode of an empty list = %v, %v", instances, err)
	}
}
