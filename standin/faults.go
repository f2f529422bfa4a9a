package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// PathFaults is the path of the faults of a stand-in. On the store and the instance list, POST
// replaces all faults and GET returns them; for workers see WorkerFaults.
const PathFaults = "/faults"

// PathCounters is the path at which the store and the instance list return the fault.Counters of
// their calls.
const PathCounters = "/counters"

// maxControlBytes limits the body of a request to a control endpoint.
const maxControlBytes = 1 << 20

// FaultList is the body of PathFaults.
type FaultList struct {
	Faults []fault.Fault `json:"faults"`
}

// handleFaults adds PathFaults and PathCounters to mux.
func handleFaults(mux *http.ServeMux, table *fault.Table) {
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, table.Counters())
	})
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, FaultList{Faults: table.Faults()})
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var list FaultList
		if !decodeControl(w, r, &list) {
			return
		}
		if err := table.Set(list.Faults...); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, list)
	})
}

// withFaults returns a handler that applies the faults in table to each call before it runs next.
// refuse writes the reply of a peer that is down.
func withFaults(table *fault.Table, call string, refuse func(http.ResponseWriter), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		effect := table.Apply(call, r.Header.Get(wire.HeaderInstance))
		applyEffect(w, r, effect, refuse, func(w http.ResponseWriter, r *http.Request) {
			table.CountExecuted(call)
			next(w, r)
		})
	}
}

// applyEffect executes one call by calling next, subject to the effect of the faults. refuse writes
// the reply of a peer that is down.
func applyEffect(w http.ResponseWriter, r *http.Request, effect fault.Effect, refuse func(http.ResponseWriter), next http.HandlerFunc) {
	switch {
	case effect.Down:
		refuse(w)
		return
	case effect.Unreachable:
		holdOpen(r) // panics when the client disconnects
	}
	time.Sleep(effect.Delay) // the call is executed even if the client disconnects meanwhile
	if effect.ReplyLost {
		next(&discardingWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	next(w, r)
}

// holdOpen leaves a request unanswered until the client disconnects. The server detects that only
// after the body has been read.
func holdOpen(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // an error also means that the client has disconnected
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discardingWriter is the http.ResponseWriter of a call whose reply is lost.
type discardingWriter struct{ header http.Header }

func (d *discardingWriter) Header() http.Header         { return d.header }
func (d *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardingWriter) WriteHeader(int)             {}

// decodeControl decodes the body of a request to a control endpoint. It rejects unknown fields, so
// that a misspelt field causes an error instead of being ignored.
func decodeControl(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "decode body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, "encode reply: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has disconnected
}
