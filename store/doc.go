// Package store talks to the key-value store of the platform through the
// narrow interface Store.
package store
