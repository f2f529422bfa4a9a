package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
)

// Key is the API key of one operator.
type Key struct {
	Name   string // recorded with each change
	Digest string // SHA-256 of the secret, in hex
}

// localOperator is the operator name that is recorded if authentication is disabled.
const localOperator = "local"

// authenticate returns the name of the operator whose key was sent with r. It always
// compares with every key, in constant time, so that the response time does
// not reveal how close the secret is to any of them.
func (s *Server) authenticate(r *http.Request) (string, error) {
	if len(s.cfg.Keys) == 0 {
		return localOperator, nil
	}
	secret, err := httpjson.BearerSecret(r)
	if err != nil {
		return "", err
	}
	if secret == "" {
		return "", errkind.New(errkind.KeyMissing, "an operator key is required").WithField("Authorization", "Bearer <secret>")
	}
	sum := sha256.Sum256([]byte(secret))
	digest := []byte(hex.EncodeToString(sum[:]))
	operator, found := "", 0
	for _, key := range s.cfg.Keys {
		if subtle.ConstantTimeCompare(digest, []byte(key.Digest)) == 1 {
			operator, found = key.Name, 1
		}
	}
	if found == 0 {
		return "", errkind.New(errkind.KeyRefused, "the key belongs to no operator").
			WithField("Authorization", "a key whose digest is in the setting operator_keys")
	}
	return operator, nil
}
