package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in PROTOCOL.md and in the settings of a small deployment.
const (
	maxTxnEntries = 32
	maxPageItems  = 500
	maxValueBytes = 1 << 20
	historyLength = 20 * time.Second
	minLeaseTTL   = time.Second
	heartbeat     = 1500 * time.Millisecond
	answerTime    = 4 * time.Millisecond
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type change struct {
	item
	removed bool
	at      time.Time
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's store. While it is down, it answers every call with 503 and
// its leases pause.
type store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	items     map[string]item
	history   []change
	leases    map[int64]*storeLease
	lastLease int64
	heard     map[string]time.Time // last heartbeat of each worker
	changed   chan struct{}
	down      bool
	downSince time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, heard: map[string]time.Time{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) expire() {
	now := time.Now()
	if s.down {
		return
	}
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
	for id, at := range s.heard {
		if now.Sub(at) > 3*heartbeat {
			delete(s.heard, id)
			s.revision++
			s.remove("servers/" + id)
			s.notify()
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyLength {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{item: it, at: time.Now()})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, change{item: item{Key: key, Revision: s.revision}, removed: true, at: time.Now()})
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// setDown makes the store unavailable, or available again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.downSince = time.Now()
		return
	}
	pause := time.Since(s.downSince)
	for _, l := range s.leases {
		l.end = l.end.Add(pause)
	}
	for id := range s.heard {
		s.heard[id] = s.heard[id].Add(pause)
	}
}

// putOperator writes a key of the operator and returns once it is acknowledged.
func (s *store) putOperator(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.notify()
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.expire()
	name, arg, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	query := r.URL.Query()
	switch name {
	case "kv-key":
		it, found := s.items[query.Get("key")]
		if !found {
			reply(w, http.StatusNotFound, map[string]any{"atRev": s.revision})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			AtRev int64 `json:"atRev"`
		}{it, s.revision})
	case "kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.txn(w, body)
	case "kv-lease":
		var request struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ttl := min(max(time.Duration(request.TTLMs)*time.Millisecond, minLeaseTTL), 10*time.Minute)
		s.lastLease++
		s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
	case "kv-keep", "kv-lease-end":
		id, _ := strconv.ParseInt(arg, 10, 64)
		l, found := s.leases[id]
		switch {
		case !found:
			reply(w, http.StatusNotFound, struct{}{})
		case name == "kv-keep":
			l.end = time.Now().Add(l.ttl)
			reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
		default:
			s.endLease(id)
			reply(w, http.StatusOK, struct{}{})
		}
	case "heartbeat": // of a worker; its form is not part of the pages
		key := "servers/" + arg
		s.heard[arg] = time.Now()
		s.revision++
		s.set(key, body, 0)
		s.notify()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > maxPageItems, "atRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for timedOut := false; ; {
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, c := range s.history {
			if c.Revision <= after || !strings.HasPrefix(c.Key, query.Get("prefix")) {
				continue
			}
			if c.removed {
				events = append(events, map[string]any{"key": c.Key, "revision": c.Revision, "removed": true})
			} else {
				events = append(events, c.item)
			}
		}
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "atRev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.Unmarshal(body, &t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Deletes) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holds := true
	current := []any{}
	for _, p := range t.Precondition {
		it, found := s.items[p.Key]
		if it.Revision != p.Revision {
			holds = false
		}
		if found {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > maxValueBytes || len(p.Key) > 200 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
