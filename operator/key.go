package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
)

// Key admits one operator.
type Key struct {
	Name   string // recorded with each change
	Digest string // SHA-256 of the secret, in hex
}

// localOperator is recorded where the server asks for no key.
const localOperator = "local"

// operatorOf returns the name of the operator whose key came with r. It compares
// with every key, so that the time tells nothing about which one is near.
func (s *Server) operatorOf(r *http.Request) (string, error) {
	if len(s.cfg.Keys) == 0 {
		return localOperator, nil
	}
	secret, err := httpjson.Secret(r)
	if err != nil {
		return "", err
	}
	if secret == "" {
		return "", errkind.New(errkind.KeyMissing, "operators need a key").WithField("Authorization", "Bearer <secret>")
	}
	sum := sha256.Sum256([]byte(secret))
	digest := []byte(hex.EncodeToString(sum[:]))
	name, found := "", 0
	for _, key := range s.cfg.Keys {
		if subtle.ConstantTimeCompare(digest, []byte(key.Digest)) == 1 {
			name, found = key.Name, 1
		}
	}
	if found == 0 {
		return "", errkind.New(errkind.KeyRefused, "the key is not that of an operator").
			WithField("Authorization", "a key whose digest is in the setting operator_keys")
	}
	return name, nil
}
