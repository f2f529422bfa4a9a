// Package keyring decides whether a key admits work for a team, and whether
// what this process knows of the keys is fresh enough to decide at all.
package keyring
