package job

import (
	"strings"
	"testing"
)

// TestShortText guards against long texts that are kept, and against texts that are compared wrongly because
// they were shortened twice or not at all.
func TestShortText(t *testing.T) {
	if text := strings.Repeat("r", MaxTextBytes); ShortText(text) != text {
		t.Error("a text of the longest length was changed")
	}
	long := strings.Repeat("r", 100_000)
	short := ShortText(long)
	if len(short) > MaxTextBytes || ShortText(short) != short {
		t.Errorf("shortened to %q, and that to %q", short, ShortText(short))
	}
	if ShortText(long+"x") == short {
		t.Error("two texts are the same when shortened")
	}
	record, err := Encode(Job{Steps: []Step{{RequiredLabel: long, Affinity: long, Image: long}}})
	if err != nil {
		t.Fatal(err)
	}
	j, err := DecodeJob(record)
	if err != nil {
		t.Fatal(err)
	}
	if s := j.Steps[0]; s.RequiredLabel != short || s.Affinity != short || s.Image != short {
		t.Errorf("decoded %+v from the record of an earlier version", s)
	}
}
