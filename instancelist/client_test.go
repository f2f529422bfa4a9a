package instancelist

import "testing"

// TestDecodeRejectsInvalidReplies guards against a reply without a list being
// accepted as an empty list of instances, which could cause a takeover of all
// records.
func TestDecodeRejectsInvalidReplies(t *testing.T) {
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
