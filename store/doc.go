// Package store accesses the platform's key-value store through the narrow interface Store. Client
// uses the published etcd v3 HTTP/JSON gateway; package storetest has an in-memory implementation
// for tests. Calls block, so only traffic goroutines make them, never the control goroutine.
package store
