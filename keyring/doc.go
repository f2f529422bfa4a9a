// Package keyring authenticates the keys of teams with bounded staleness: it rejects every key while
// the key data of this process may be stale. The control state maintains a Ring and a Freshness;
// front ends read an immutable Snapshot.
package keyring
