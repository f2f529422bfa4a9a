package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// maxStoreRequestBytes limits the body of a gateway request. It allows for the base64 encoding of
// keys and values, which makes the largest transaction a third longer.
const maxStoreRequestBytes = 4 << 20

// Store is the stand-in for the platform's key-value store. It serves the HTTP/JSON gateway from an
// in-memory state machine.
type Store struct {
	mux    *http.ServeMux
	engine *storetest.Engine
	faults *fault.Table
}

// NewStore returns an empty store without faults.
func NewStore(limits storetest.Limits) *Store {
	s := &Store{
		mux:    http.NewServeMux(),
		engine: storetest.NewEngine(limits),
		faults: fault.NewTable(storetest.Calls...),
	}
	s.handle(wire.PathRange, storetest.CallRange, s.doRange)
	s.handle(wire.PathTxn, storetest.CallTxn, s.doTxn)
	s.handle(wire.PathCompact, storetest.CallCompact, s.doCompact)
	s.handle(wire.PathGrant, storetest.CallGrant, s.doGrant)
	s.handle(wire.PathKeepAlive, storetest.CallKeepAlive, s.doKeepAlive)
	s.handle(wire.PathRevoke, storetest.CallRevoke, s.doRevoke)
	s.handle(wire.PathWatch, storetest.CallWatch, s.doWatch)
	handleFaults(s.mux, s.faults)
	return s
}

// ServeHTTP serves the gateway and the control endpoints.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close stops the expiry timer of the leases.
func (s *Store) Close() { s.engine.Close() }

// Faults returns the fault table, for tests in the same process.
func (s *Store) Faults() *fault.Table { return s.faults }

// handle registers the handler of a gateway call. It reads the whole body before it applies faults,
// so that a truncated request is never executed.
func (s *Store) handle(path, call string, next func(http.ResponseWriter, *http.Request, gatewayCall)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreRequestBytes))
		if err != nil {
			writeStoreError(w, store.ErrRejected)
			return
		}
		effect := s.faults.Apply(call, r.Header.Get(wire.HeaderInstance))
		applyEffect(w, r, effect, refuseNoLeader, func(w http.ResponseWriter, r *http.Request) {
			s.faults.CountExecuted(call)
			next(w, r, gatewayCall{body: body, silentWatch: effect.SilentWatch})
		})
	})
}

// gatewayCall is a gateway call whose body has been read in full.
type gatewayCall struct {
	body        []byte
	silentWatch bool // the call is a watch that must deliver no messages
}

func (s *Store) doRange(w http.ResponseWriter, _ *http.Request, call gatewayCall) {
	var request wire.RangeRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	var reply *wire.RangeReply
	s.engine.Do(func(_ time.Time, m *storetest.Machine) { reply = readRange(m, &request) })
	writeJSON(w, http.StatusOK, reply)
}

func readRange(m *storetest.Machine, request *wire.RangeRequest) *wire.RangeReply {
	reply := &wire.RangeReply{Header: headerOf(m)}
	if len(request.RangeEnd) == 0 {
		if kv, found := m.Get(string(request.Key)); found {
			reply.KVs = append(reply.KVs, toWire(kv))
		}
		return reply
	}
	if request.SortTarget == wire.SortByRevision && request.SortOrder == wire.SortDescending && request.Limit == 1 {
		if kv, found := m.Latest(string(request.Key), string(request.RangeEnd)); found {
			reply.KVs = append(reply.KVs, toWire(kv))
		}
		return reply
	}
	for _, kv := range m.Range(string(request.Key), string(request.RangeEnd)) {
		reply.KVs = append(reply.KVs, toWire(kv))
	}
	return reply
}

func (s *Store) doTxn(w http.ResponseWriter, _ *http.Request, call gatewayCall) {
	var request wire.TxnRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	txn, err := fromWireTxn(request)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	var reply wire.TxnReply
	s.engine.Do(func(_ time.Time, m *storetest.Machine) {
		var result store.TxnResult
		result, err = m.Commit(txn)
		reply = wire.TxnReply{Header: headerOf(m), Succeeded: result.Succeeded}
		if err == nil && !result.Succeeded {
			reply.Responses = readRanges(m, request.Failure)
		}
	})
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func readRanges(m *storetest.Machine, operations []wire.Operation) []wire.OperationReply {
	var replies []wire.OperationReply
	for _, operation := range operations {
		replies = append(replies, wire.OperationReply{Range: readRange(m, operation.Range)})
	}
	return replies
}

// errUnsupported reports a request that is valid for the real store, but not implemented here
// because this project does not use it.
var errUnsupported = errors.New("not implemented by the stand-in")

// fromWireTxn converts a transaction. It supports only what the client uses: mod revisions compared
// for equality, puts and deletes of single keys, and reads if a compare fails. For anything else it
// returns errUnsupported.
func fromWireTxn(request wire.TxnRequest) (store.Txn, error) {
	var txn store.Txn
	for _, compare := range request.Compare {
		if compare.Target != wire.TargetMod || compare.Result != wire.ResultEqual {
			return store.Txn{}, errUnsupported
		}
		txn.Compares = append(txn.Compares, store.Compare{Key: string(compare.Key), ModRevision: compare.ModRevision})
	}
	for _, operation := range request.Success {
		switch {
		case operation.Put != nil:
			put := operation.Put
			txn.Puts = append(txn.Puts, store.Put{Key: string(put.Key), Value: put.Value, Lease: put.Lease})
		case operation.Delete != nil:
			txn.Deletes = append(txn.Deletes, string(operation.Delete.Key))
		default:
			return store.Txn{}, errUnsupported
		}
	}
	for _, operation := range request.Failure {
		if operation.Range == nil {
			return store.Txn{}, errUnsupported
		}
	}
	return txn, nil
}

func (s *Store) doCompact(w http.ResponseWriter, _ *http.Request, call gatewayCall) {
	var request wire.CompactRequest
	if !decodeStore(w, call.body, &request) {
		return
	}
	var err error
	var reply wire.LeaseReply // the reply to a compaction has only a header
	s.engine.Do(func(_ time.Time, m *storetest.Machine) {
		err = m.Compact(request.Revision)
		reply.Header = headerOf(m)
	})
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func decodeStore(w http.ResponseWriter, body []byte, into any) bool {
	if err := json.Unmarshal(body, into); err != nil {
		writeStoreError(w, store.ErrRejected)
		return false
	}
	return true
}

func headerOf(m *storetest.Machine) *wire.Header { return &wire.Header{Revision: m.Revision()} }

func toWire(kv store.KeyValue) wire.KeyValue {
	return wire.KeyValue{Key: []byte(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: kv.Lease}
}
