// Package keyring decides whether a key admits work for a team, and whether
// what this process knows of the keys is fresh enough to decide at all. The
// control state maintains a Ring and a Freshness; front ends read an immutable
// Snapshot.
package keyring
