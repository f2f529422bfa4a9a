package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
)

// Paths of the control endpoints of the instance list.
const (
	PathLag      = "/lag"
	pathInstance = instancelist.PathInstances + "/{name}"
)

// CallInstanceList is the kind of call of the instance list, as used in faults and counters.
const CallInstanceList = "list"

// Lag is the body of PathLag.
type Lag struct {
	LagMS int64 `json:"lag_ms"`
}

// List is the stand-in for the instance list. A change becomes visible to callers after a
// configurable lag. GET instancelist.PathInstances returns the visible list and POST replaces the
// list; PUT and DELETE of an instance below that path set and remove one instance; POST PathLag
// sets the lag.
type List struct {
	mux    *http.ServeMux
	faults *fault.Table

	mu       sync.Mutex
	lag      time.Duration
	versions []version // in ascending order of time; callers receive the first
}

// version is the content of the list from a point in time on.
type version struct {
	from      time.Time
	instances []instancelist.Instance
}

// NewList returns a list that initially contains instances. Later changes become visible after lag.
func NewList(lag time.Duration, instances ...instancelist.Instance) *List {
	l := &List{
		mux:      http.NewServeMux(),
		faults:   fault.NewTable(CallInstanceList),
		lag:      lag,
		versions: []version{{instances: append([]instancelist.Instance{}, instances...)}},
	}
	l.mux.HandleFunc("GET "+instancelist.PathInstances, withFaults(l.faults, CallInstanceList, refuseUnavailable, l.doList))
	l.mux.HandleFunc("POST "+instancelist.PathInstances, l.doReplace)
	l.mux.HandleFunc("PUT "+pathInstance, l.doPut)
	l.mux.HandleFunc("DELETE "+pathInstance, l.doDelete)
	l.mux.HandleFunc("POST "+PathLag, l.doLag)
	handleFaults(l.mux, l.faults)
	return l
}

// ServeHTTP serves the list and the control endpoints.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Faults returns the fault table, for tests in the same process.
func (l *List) Faults() *fault.Table { return l.faults }

// SetLag sets the time after which a change becomes visible. It also applies to earlier changes
// that are not visible yet.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Replace replaces the whole list at time now.
func (l *List) Replace(now time.Time, instances []instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(now, append([]instancelist.Instance{}, instances...))
}

// Put adds or replaces one instance at time now.
func (l *List) Put(now time.Time, instance instancelist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(now, append(l.latestWithout(instance.Name), instance))
}

// Delete removes one instance at time now.
func (l *List) Delete(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(now, l.latestWithout(name))
}

// latestWithout returns a copy of the latest version of the list, without the named instance.
func (l *List) latestWithout(name string) []instancelist.Instance {
	latest := slices.Clone(l.versions[len(l.versions)-1].instances)
	return slices.DeleteFunc(latest, func(i instancelist.Instance) bool { return i.Name == name })
}

func (l *List) addVersion(now time.Time, instances []instancelist.Instance) {
	l.versions = append(l.versions, version{from: now, instances: instances})
	l.dropSuperseded(now)
}

// Visible returns the list that callers receive at time now.
func (l *List) Visible(now time.Time) []instancelist.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSuperseded(now)
	return l.versions[0].instances
}

// dropSuperseded removes the versions that are superseded by a newer visible one.
func (l *List) dropSuperseded(now time.Time) {
	for len(l.versions) > 1 && !l.versions[1].from.Add(l.lag).After(now) {
		l.versions = l.versions[1:]
	}
}

func (l *List) doList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, instancelist.Reply{Instances: l.Visible(time.Now())})
}

func (l *List) doReplace(w http.ResponseWriter, r *http.Request) {
	var reply instancelist.Reply
	if !decodeControl(w, r, &reply) {
		return
	}
	l.Replace(time.Now(), reply.Instances)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) doPut(w http.ResponseWriter, r *http.Request) {
	var instance instancelist.Instance
	if !decodeControl(w, r, &instance) {
		return
	}
	if instance.Name != r.PathValue("name") {
		http.Error(w, "names in path and body differ", http.StatusBadRequest)
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
	if !decodeControl(w, r, &lag) {
		return
	}
	if lag.LagMS < 0 {
		http.Error(w, "lag_ms must not be negative", http.StatusBadRequest)
		return
	}
	l.SetLag(time.Duration(lag.LagMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// refuseUnavailable writes the reply of an instance list that is down.
func refuseUnavailable(w http.ResponseWriter) { http.Error(w, "down", http.StatusServiceUnavailable) }
