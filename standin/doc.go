// Package standin provides stand-ins (test doubles) for the platform: the key-value store, the
// instance list and workers, each with an HTTP handler and fault injection, and a relay that
// injects faults into the TCP connections between two processes. They are used by tests and the
// demo, never in production.
//
// Control endpoints of the store and the instance list:
//
//	POST /faults    {"faults":[{"kind":"reply_lost","call":"txn","instance":"e1","count":1}]}
//	                replaces all faults; an empty list clears them
//	GET  /faults    returns the faults that are set
//	GET  /counters  returns the numbers of calls received and executed, by kind
//
// Package fault lists the kinds of faults. A fault without call applies to all calls, without
// instance to all instances, and without count until it is replaced. The faults "down",
// "unreachable" and "silent_watch" without a count also affect open watches. List, Worker.Handler
// and Relay.ControlHandler describe the other control endpoints.
package standin
