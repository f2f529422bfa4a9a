package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
)

// Paths of the switches of the instance list.
const (
	PathLag      = "/lag"
	pathInstance = instancelist.PathInstances + "/{name}"
)

// CallList is the kind of call of the instance list, as faults name it.
const CallList = "list"

// Lag is the body of PathLag.
type Lag struct {
	LagMS int64 `json:"lag_ms"`
}

// List is the stand-in for the instance list. It shows the instances as they
// were some time ago. GET PathInstances reads the list; POST replaces it, PUT of
// one instance changes it and DELETE drops it.
type List struct {
	mux    *http.ServeMux
	faults *fault.Table

	mu       sync.Mutex
	lag      time.Duration
	versions []version // ascending in time; the first is visible
}

// version is the list as it was from a time on.
type version struct {
	from      time.Time
	instances []instancelist.Instance
}

// NewList returns a list that shows instances at once and later changes after
// lag.
func NewList(lag time.Duration, instances ...instancelist.Instance) *List {
	l := &List{
		mux:      http.NewServeMux(),
		faults:   fault.NewTable(CallList),
		lag:      lag,
		versions: []version{{instances: append([]instancelist.Instance{}, instances...)}},
	}
	l.mux.HandleFunc("GET "+instancelist.PathInstances, withFaults(l.faults, CallList, refuse, l.doList))
	l.mux.HandleFunc("POST "+instancelist.PathInstances, l.doReplace)
	l.mux.HandleFunc("PUT "+pathInstance, l.doPut)
	l.mux.HandleFunc("DELETE "+pathInstance, l.doDelete)
	l.mux.HandleFunc("POST "+PathLag, l.doLag)
	handleFaults(l.mux, l.faults)
	return l
}

// ServeHTTP serves the list and the switches.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Faults returns the fault switches, for tests in the same process.
func (l *List) Faults() *fault.Table { return l.faults }

// SetLag changes how far the list lags behind.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Replace sets the true list at now.
func (l *List) Replace(now time.Time, instances []instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(now, append([]instancelist.Instance{}, instances...))
}

// Put sets one instance in the true list at now.
func (l *List) Put(now time.Time, instance instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(now, append(l.without(instance.Name), instance))
}

// Delete drops one instance from the true list at now.
func (l *List) Delete(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(now, l.without(name))
}

// without returns a copy of the true list without one instance.
func (l *List) without(name string) []instancelist.Instance {
	latest := slices.Clone(l.versions[len(l.versions)-1].instances)
	return slices.DeleteFunc(latest, func(i instancelist.Instance) bool { return i.Name == name })
}

func (l *List) append(now time.Time, instances []instancelist.Instance) {
	l.versions = append(l.versions, version{from: now, instances: instances})
	l.dropInvisible(now)
}

// Visible returns the list that callers see at now.
func (l *List) Visible(now time.Time) []instancelist.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropInvisible(now)
	return l.versions[0].instances
}

// dropInvisible drops the versions that a newer one has replaced for callers.
func (l *List) dropInvisible(now time.Time) {
	for len(l.versions) > 1 && !l.versions[1].from.Add(l.lag).After(now) {
		l.versions = l.versions[1:]
	}
}

func (l *List) doList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, instancelist.Reply{Instances: l.Visible(time.Now())})
}

func (l *List) doReplace(w http.ResponseWriter, r *http.Request) {
	var reply instancelist.Reply
	if !readControl(w, r, &reply) {
		return
	}
	l.Replace(time.Now(), reply.Instances)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) doPut(w http.ResponseWriter, r *http.Request) {
	var instance instancelist.Instance
	if !readControl(w, r, &instance) {
		return
	}
	if instance.Name != r.PathValue("name") {
		http.Error(w, "name in path and body differ", http.StatusBadRequest)
		return
	}
	l.Put(time.Now(), instance)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) doDelete(w http.ResponseWriter, r *http.Request) {
	l.Delete(time.Now(), r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) doLag(w http.ResponseWriter, r *http.Request) {
	var lag Lag
	if !readControl(w, r, &lag) {
		return
	}
	if lag.LagMS < 0 {
		http.Error(w, "lag_ms is less than 0", http.StatusBadRequest)
		return
	}
	l.SetLag(time.Duration(lag.LagMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// refuse writes the reply of a peer that is down.
func refuse(w http.ResponseWriter) { http.Error(w, "down", http.StatusServiceUnavailable) }
