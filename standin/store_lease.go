package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

func (s *Store) doGrant(w http.ResponseWriter, _ *http.Request, call gatewayCall) {
	var request wire.LeaseRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	if request.TTL <= 0 || request.ID != 0 {
		writeStoreError(w, store.ErrRejected)
		return
	}
	reply := wire.LeaseReply{TTL: request.TTL}
	s.engine.Do(func(now time.Time, m *storetest.Machine) {
		reply.ID = m.Grant(now, time.Duration(request.TTL)*time.Second)
		reply.Header = headerOf(m)
	})
	writeJSON(w, http.StatusOK, reply)
}

// doKeepAlive renews a lease and replies with one message of the keepalive stream. For a lease that
// has expired or was revoked, the reply has a TTL of 0 instead of an error.
func (s *Store) doKeepAlive(w http.ResponseWriter, _ *http.Request, call gatewayCall) {
	var request wire.LeaseRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	reply := &wire.LeaseReply{ID: request.ID}
	s.engine.Do(func(now time.Time, m *storetest.Machine) {
		ttl, _ := m.KeepAlive(now, request.ID)
		reply.TTL = int64(ttl / time.Second)
		reply.Header = headerOf(m)
	})
	writeJSON(w, http.StatusOK, wire.LeaseMessage{Result: reply})
}

func (s *Store) doRevoke(w http.ResponseWriter, _ *http.Request, call gatewayCall) {
	var request wire.LeaseRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	var reply wire.LeaseReply
	found := false
	s.engine.Do(func(_ time.Time, m *storetest.Machine) {
		found = m.Revoke(request.ID)
		reply.Header = headerOf(m)
	})
	if !found {
		writeStoreError(w, store.ErrLeaseGone)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// doWatch streams the changes in a range, one JSON message per line.
func (s *Store) doWatch(w http.ResponseWriter, r *http.Request, call gatewayCall) {
	var request wire.WatchRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	create := request.Create
	if create == nil || create.StartRevision < 1 || !create.ProgressNotify {
		writeStoreError(w, errUnsupported)
		return
	}
	stream := watchStream{writer: w, encoder: json.NewEncoder(w)}
	w.Header().Set("Content-Type", "application/json")
	check := storetest.NewWatchCheck(r.Context(), s.faults, r.Header.Get(wire.HeaderInstance), call.silentWatch)
	if _, err := check(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := stream.reply(wire.WatchReply{Header: s.header(), Created: true}); err != nil {
		panic(http.ErrAbortHandler)
	}
	start, end := string(create.Key), string(create.RangeEnd)
	err := s.engine.Watch(r.Context(), start, end, create.StartRevision, check, stream.send)
	if errors.Is(err, store.ErrCompacted) {
		err = stream.reply(wire.WatchReply{Header: s.header(), Canceled: true, CompactRevision: s.compactRevision()})
	}
	if err == nil {
		return
	}
	panic(http.ErrAbortHandler) // closes the connection without the final chunk of the stream
}

func (s *Store) header() (header *wire.Header) {
	s.engine.Do(func(_ time.Time, m *storetest.Machine) { header = headerOf(m) })
	return header
}

func (s *Store) compactRevision() (revision int64) {
	s.engine.Do(func(_ time.Time, m *storetest.Machine) { revision = m.Compacted() })
	return revision
}

type watchStream struct {
	writer  http.ResponseWriter
	encoder *json.Encoder
}

func (s watchStream) send(message storetest.WatchMessage) error {
	reply := wire.WatchReply{Header: &wire.Header{Revision: message.Revision}}
	for _, batch := range message.Batches {
		for _, change := range batch.Changes {
			reply.Events = append(reply.Events, toEvent(change))
		}
	}
	return s.reply(reply)
}

func toEvent(change store.Change) wire.Event {
	event := wire.Event{KV: toWire(change.KeyValue)}
	if change.Deleted {
		event.Type = wire.EventDelete
	}
	return event
}

func (s watchStream) reply(reply wire.WatchReply) error {
	if err := s.encoder.Encode(wire.WatchMessage{Result: &reply}); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}

// refuseNoLeader writes the reply of a store without a leader, which executes no calls.
func refuseNoLeader(w http.ResponseWriter) {
	writeGatewayError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, wire.MessageNoLeader)
}

// writeStoreError writes the status and the message that the real store returns for err.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrLeaseGone):
		writeGatewayError(w, http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
	case errors.Is(err, store.ErrCompacted):
		writeGatewayError(w, http.StatusBadRequest, wire.CodeOutOfRange, wire.MessageCompacted)
	case errors.Is(err, store.ErrRejected):
		writeGatewayError(w, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
	case errors.Is(err, errUnsupported):
		writeGatewayError(w, http.StatusNotImplemented, wire.CodeInvalidArgument, err.Error())
	default:
		writeGatewayError(w, http.StatusInternalServerError, 0, err.Error())
	}
}

func writeGatewayError(w http.ResponseWriter, status, code int, message string) {
	writeJSON(w, status, wire.ErrorReply{Error: message, Code: code, Message: message})
}
