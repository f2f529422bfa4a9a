package store

import "strings"

// Prefixes of the store's keys. One watch covers everything below ConfigPrefix; request records are
// not watched.
const (
	ConfigPrefix     = "c/"
	documentPrefix   = ConfigPrefix + "doc/"
	grantedKeyPrefix = ConfigPrefix + "key/"
	memberPrefix     = ConfigPrefix + "member/"
	ownershipPrefix  = ConfigPrefix + "own/"
	allowancePrefix  = ConfigPrefix + "allow/"
	drainPrefix      = ConfigPrefix + "drain/"
	recordsPrefix    = "j/"
)

// DocumentKey returns the key of a document; service is empty for the document of the team.
func DocumentKey(team, service string) string { return documentPrefix + team + "/" + service }

// GrantedKeyKey returns the store's key of a team's granted key.
func GrantedKeyKey(team, id string) string { return grantedKeyPrefix + team + "/" + id }

// MemberKey returns the key of the member record of an instance.
func MemberKey(instance string) string { return memberPrefix + instance }

// OwnershipKey returns the key of the ownership record of a unit.
func OwnershipKey(unit string) string { return ownershipPrefix + unit }

// AllowanceKey returns the key of the allowance record of a team, which divides the team's limit among
// the worker partitions.
func AllowanceKey(team string) string { return allowancePrefix + team }

// DrainKey returns the key whose presence marks an entry instance or a worker as draining.
func DrainKey(name string) string { return drainPrefix + name }

// GrantedKeysPrefix returns the prefix of the granted keys of a team, or of all teams if team is empty.
func GrantedKeysPrefix(team string) string {
	if team == "" {
		return grantedKeyPrefix
	}
	return grantedKeyPrefix + team + "/"
}

// DocumentsPrefix returns the prefix of all documents.
func DocumentsPrefix() string { return documentPrefix }

// RecordsKey returns the key of the request records of a shard.
func RecordsKey(shard string) string { return recordsPrefix + shard }

// splitKey splits the part of a key after its prefix at the first slash.
func splitKey(key, prefix string) (first, second string) {
	first, second, _ = strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return first, second
}
