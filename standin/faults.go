package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// PathFaults is where every stand-in takes its fault switches: POST replaces
// all of them, GET shows them.
const PathFaults = "/faults"

// PathCounters is where every stand-in shows its calls by kind.
const PathCounters = "/counters"

// maxControlBytes bounds the body of a request to a switch.
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
		if !readControl(w, r, &list) {
			return
		}
		if err := table.Set(list.Faults...); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, list)
	})
}

// withFaults lets the fault table act on each call to next. refuse writes the
// reply of a peer that is down.
func withFaults(table *fault.Table, call string, refuse func(http.ResponseWriter), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		effect := table.Take(call, r.Header.Get(wire.HeaderInstance))
		applyEffect(w, r, effect, refuse, func(w http.ResponseWriter, r *http.Request) {
			table.CountExecuted(call)
			next(w, r)
		})
	}
}

// applyEffect executes one call as effect says.
func applyEffect(w http.ResponseWriter, r *http.Request, effect fault.Effect, refuse func(http.ResponseWriter), next http.HandlerFunc) {
	switch {
	case effect.Down:
		refuse(w)
		return
	case effect.Unreachable:
		holdOpen(r) // does not return
	}
	time.Sleep(effect.Delay) // the call is executed even if the caller leaves meanwhile
	if effect.ReplyLost {
		next(&discardedReply{header: http.Header{}}, r)
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	next(w, r)
}

// holdOpen keeps a request without a reply until the caller leaves. The server
// notices that only once the body has been read.
func holdOpen(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a caller that leaves here has left as well
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discardedReply takes the reply of a call whose reply is lost.
type discardedReply struct{ header http.Header }

func (d *discardedReply) Header() http.Header         { return d.header }
func (d *discardedReply) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardedReply) WriteHeader(int)             {}

// readControl decodes the body of a request to a switch. Unknown fields are an
// error, so that a misspelt switch does not pass for a fault that is set.
func readControl(w http.ResponseWriter, r *http.Request, into any) bool {
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
	_, _ = w.Write(body) // a caller that has left needs no reply
}
