// Package store talks to the key-value store of the platform through the
// narrow interface Store. Client speaks the published etcd v3 HTTP/JSON
// gateway; store/storetest has an implementation in memory for tests. The
// effect executor of the daemon calls it, never the control goroutine.
package store
