package standin

import "net/http"

// Paths of the control endpoints of a relay.
const (
	PathRelay        = "/relay"         // GET returns the RelayStatus, POST sets the RelayState
	PathRelaySilence = "/relay/silence" // POST calls Relay.StallConnections
	PathRelayReset   = "/relay/reset"   // POST calls Relay.Reset
)

// RelayStatus is the reply to GET PathRelay.
type RelayStatus struct {
	RelayState
	Target        string `json:"target"`
	Connections   int    `json:"connections"`
	ToServerBytes int64  `json:"to_server_bytes"`
	ToClientBytes int64  `json:"to_client_bytes"`
}

// RelayAffected is the reply to POST PathRelaySilence and PathRelayReset. It contains the number of
// connections that were changed.
type RelayAffected struct {
	Connections int `json:"connections"`
}

// Status returns the state, the number of existing connections and the traffic forwarded so far.
func (r *Relay) Status() RelayStatus {
	state, _ := r.currentState()
	return RelayStatus{
		RelayState:    state,
		Target:        r.target,
		Connections:   r.Connections(),
		ToServerBytes: r.toServerBytes.Load(),
		ToClientBytes: r.toClientBytes.Load(),
	}
}

// ControlHandler returns the handler of the control endpoints. It must not be served through the
// relay itself, because a cut would then also block the request that ends it.
func (r *Relay) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRelay, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Status())
	})
	mux.HandleFunc("POST "+PathRelay, func(w http.ResponseWriter, request *http.Request) {
		var state RelayState
		if !decodeControl(w, request, &state) {
			return
		}
		if err := r.Set(state); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, r.Status())
	})
	mux.HandleFunc("POST "+PathRelaySilence, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, RelayAffected{Connections: r.StallConnections()})
	})
	mux.HandleFunc("POST "+PathRelayReset, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, RelayAffected{Connections: r.Reset()})
	})
	return mux
}
