package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

// maxValueBytes is the largest value that the store accepts, as the settings say (valueBytes).
const maxValueBytes = 1 << 20

// valueStore is the project's stand-in for the store, which also rejects values that are too large.
type valueStore struct {
	*platformtest.Store
	rec *recorder

	mu       sync.Mutex
	tooLarge int // rejected transactions
}

// ServeHTTP implements http.Handler.
func (s *valueStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/kv-txn" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the client has disconnected
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if key, size := largestValue(body); size > maxValueBytes {
			s.countTooLarge(key, size)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.Store.ServeHTTP(w, r)
}

func (s *valueStore) countTooLarge(key string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tooLarge%100 == 0 {
		s.rec.log("the store rejects a transaction: the value of %s has %d bytes, %d are allowed (%d rejected before)", key, size, maxValueBytes, s.tooLarge)
	}
	s.tooLarge++
}

// largestValue returns the largest value that a transaction writes, and its key.
func largestValue(body []byte) (key string, size int) {
	var txn struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return "", 0 // the store rejects it
	}
	for _, put := range txn.Puts {
		if len(put.Value) > size {
			key, size = put.Key, len(put.Value)
		}
	}
	return key, size
}
