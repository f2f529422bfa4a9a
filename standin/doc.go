// Package standin holds stand-ins for the parts of the platform: the key-value
// store, the instance list and workers, each an http.Handler with fault switches,
// and a relay that disturbs the TCP connections between two processes. Tests and
// the demo use them; nothing in production does.
//
// Switches of every stand-in:
//
//	POST /faults    {"faults":[{"kind":"reply_lost","call":"txn","instance":"e1","count":1}]}
//	                replaces all faults; an empty list clears them
//	GET  /faults    the faults that are set
//	GET  /counters  calls received and executed, by kind
//
// Package fault lists the kinds. A fault without call, instance or count holds
// for all calls, all instances and until it is replaced. Faults "down",
// "unreachable" and "silent_watch" without a count also reach watches that are
// open. Further switches are described at List and Relay.
package standin
