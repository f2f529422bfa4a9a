package store

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Encode encodes a record for the store.
func Encode(record any) ([]byte, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %T", record)
	}
	return value, nil
}

func decode[T any](value []byte) (*T, error) {
	record := new(T)
	if err := json.Unmarshal(value, record); err != nil {
		return nil, eris.Wrapf(err, "decode %T", record)
	}
	return record, nil
}

// DecodeConfig decodes an entry below ConfigPrefix. If its value cannot be decoded, the change
// carries the error, so that its revision is still processed.
func DecodeConfig(entry control.ConfigEntry) control.ConfigChange {
	change := control.ConfigChange{Entry: entry}
	if entry.Deleted {
		return change
	}
	switch {
	case strings.HasPrefix(entry.Key, documentPrefix):
		change.Document, change.Err = decodeDocument(entry)
	case strings.HasPrefix(entry.Key, grantedKeyPrefix):
		change.Key, change.Err = decodeKeyringKey(entry)
	case strings.HasPrefix(entry.Key, memberPrefix):
		change.Member, change.Err = decode[membership.Member](entry.Value)
	case strings.HasPrefix(entry.Key, ownershipPrefix):
		change.Record, change.Err = DecodeOwnership(entry.Value, entry.Revision)
	case strings.HasPrefix(entry.Key, allowancePrefix):
		change.Allowance, change.Err = DecodeAllowance(entry.Value, entry.Revision)
	case strings.HasPrefix(entry.Key, drainPrefix):
		change.Drain = strings.TrimPrefix(entry.Key, drainPrefix)
	default:
		change.Err = eris.Errorf("key %s has an unknown prefix", entry.Key)
	}
	return change
}

func decodeDocument(entry control.ConfigEntry) (*document.Document, error) {
	record, err := decode[document.Record](entry.Value)
	if err != nil {
		return nil, err
	}
	parsed, faults := document.Parse([]byte(record.Source))
	if len(faults) > 0 {
		return nil, eris.Errorf("document under %s has %d faults, first: %v", entry.Key, len(faults), faults[0])
	}
	team, service := splitKey(entry.Key, documentPrefix)
	if parsed.Team != task.Team(team) || parsed.Service != task.Service(service) {
		return nil, eris.Errorf("document of %s/%s is stored under %s", parsed.Team, parsed.Service, entry.Key)
	}
	return &parsed, nil
}

func decodeKeyringKey(entry control.ConfigEntry) (*keyring.Key, error) {
	granted, err := DecodeGrantedKey(entry.Key, entry.Value, entry.Revision)
	if err != nil {
		return nil, err
	}
	return &granted.Key, nil
}

// GrantedKey is the stored record of a key, with the data on its grant and its withdrawal that is
// shown to operators.
type GrantedKey struct {
	keyring.Key
	Note        string    `json:"note,omitempty"`
	GrantedBy   string    `json:"granted_by,omitempty"`
	GrantedAt   time.Time `json:"granted_at,omitzero"`
	WithdrawnBy string    `json:"withdrawn_by,omitempty"`
	WithdrawnAt time.Time `json:"withdrawn_at,omitzero"`
}

// DecodeGrantedKey decodes a granted key. Team and ID are taken from the store's key, so that a value
// cannot grant access to another team.
func DecodeGrantedKey(storeKey string, value []byte, revision int64) (*GrantedKey, error) {
	granted, err := decode[GrantedKey](value)
	if err != nil {
		return nil, err
	}
	team, id := splitKey(storeKey, grantedKeyPrefix)
	granted.Team, granted.ID, granted.Revision = task.Team(team), id, revision
	return granted, nil
}

// DecodeDocument decodes the record of a document.
func DecodeDocument(value []byte) (*document.Record, error) { return decode[document.Record](value) }

// DecodeOwnership decodes an ownership record and sets its revision.
func DecodeOwnership(value []byte, revision int64) (*ownership.Record, error) {
	record, err := decode[ownership.Record](value)
	if err != nil {
		return nil, err
	}
	record.Revision = revision
	return record, nil
}

// DecodeAllowance decodes the allowance record of a team and sets its revision.
func DecodeAllowance(value []byte, revision int64) (*allowance.Record, error) {
	record, err := decode[allowance.Record](value)
	if err != nil {
		return nil, err
	}
	record.Revision = revision
	return record, nil
}

// DecodeRecords decodes the request records of a shard.
func DecodeRecords(value []byte) (ledger.ShardValue, error) {
	records, err := decode[ledger.ShardValue](value)
	if err != nil {
		return ledger.ShardValue{}, err
	}
	return *records, nil
}
