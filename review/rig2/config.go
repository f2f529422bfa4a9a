package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["storm"] = storm }

const (
	stableWindow = 4 * time.Second         // stableWindowMs
	configBound  = 2500 * time.Millisecond // configMs
	history      = 20 * time.Second        // historyS
)

// addRoutes adds routes to the configuration, as big_config does.
func (f *fleet) addRoutes(count int) {
	for range count {
		name := fmt.Sprintf("idle%d", len(f.routes))
		f.routes = append(f.routes, route("r-"+name, "/"+name+"/"))
	}
}

// addOpenRoute adds a route that needs no key, and returns its prefix.
func (f *fleet) addOpenRoute() string {
	prefix := fmt.Sprintf("/new%d/", len(f.routes))
	r := route(fmt.Sprintf("r-new%d", len(f.routes)), prefix)
	r["allowAnonymous"] = true
	f.routes = append(f.routes, r)
	return prefix
}

// storm lets the configuration grow by 4 x 350 routes, then changes it every 0.33 s for 4 s. With trouble, an
// instance is cut off from the store for 5.5 s meanwhile. It checks that the instance knows the newest route
// once it is in touch again.
func storm(f *fleet, trouble bool) {
	if !f.deploy(3, 3) {
		return
	}
	for range 4 {
		f.addRoutes(350)
		f.configure()
		time.Sleep(1500 * time.Millisecond)
	}
	owner := f.owner()
	var n *node
	for _, candidate := range f.nodes {
		if candidate != owner {
			n = candidate
		}
	}
	began := time.Now()
	if trouble {
		n.link.setCut(true)
		f.rec.logf("%s is cut off from the store", n.name)
	}
	time.Sleep(500 * time.Millisecond)
	var prefix string
	var acked time.Time
	for stormBegan := time.Now(); time.Since(stormBegan) < 4*time.Second; time.Sleep(330 * time.Millisecond) {
		prefix = f.addOpenRoute()
		acked = f.configure()
	}
	time.Sleep(time.Until(began.Add(5500 * time.Millisecond)))
	n.link.setCut(false)
	healed := time.Now()
	f.rec.logf("%s reaches the store again", n.name)
	// From here on the machine is in touch, and the bound for the last change has passed.
	time.Sleep(max(time.Until(healed.Add(stableWindow)), time.Until(acked.Add(configBound))) + 200*time.Millisecond)
	for time.Since(acked) < history+8*time.Second {
		if time.Since(acked) > history {
			f.store.Compact()
		}
		for _, at := range f.nodes {
			status, text := f.call(at, http.MethodGet, prefix, "", nil, 2*time.Second)
			f.rec.logf("GET %s at %s, %.1f s after the acknowledgement, %.1f s after the cut: %d %s", prefix, at.name, time.Since(acked).Seconds(), time.Since(healed).Seconds(), status, text)
			if status == http.StatusNotFound {
				f.rec.breakRule("CONFIG", "%s answers 404 for a route that is there, %.1f s after the acknowledgement and %.1f s after the end of its cut", at.name, time.Since(acked).Seconds(), time.Since(healed).Seconds())
			}
		}
		if !trouble && time.Since(acked) > 12*time.Second {
			return
		}
		time.Sleep(time.Second)
	}
}
