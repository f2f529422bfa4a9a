package job

import (
	"crypto/sha256"
	"encoding/hex"
)

// MaxTextBytes is the length of the longest label or name of an image that is kept as it is.
const MaxTextBytes = 80

// ShortText returns a text by which labels and images are compared: the text itself, or its digest if it is
// long. The scheduler only compares these texts, and callers may submit a job with megabytes of them.
func ShortText(text string) string {
	if len(text) <= MaxTextBytes {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// DecodeJob decodes the record of a job. Records of earlier versions may have long texts.
func DecodeJob(record []byte) (*Job, error) {
	j, err := Decode[Job](record)
	if err != nil {
		return nil, err
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		s.RequiredLabel, s.Affinity, s.Image = ShortText(s.RequiredLabel), ShortText(s.Affinity), ShortText(s.Image)
	}
	return j, nil
}
