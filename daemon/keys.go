package daemon

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// GrantKey creates a key and returns its secret, of which only the digest is stored.
func (b *operatorBackend) GrantKey(ctx context.Context, operatorName string, request api.GrantRequest) (api.GrantedKey, error) {
	secret := "mk_" + rand.Text() + rand.Text()
	granted := store.GrantedKey{
		Key:  keyring.Key{ID: strings.ToLower(rand.Text()[:12]), Team: request.Team, Role: keyring.Role(request.Role), Digest: keyring.DigestOf(secret)},
		Note: request.Note, GrantedBy: operatorName, GrantedAt: time.Now().UTC(),
	}
	value, err := store.Encode(granted)
	if err != nil {
		return api.GrantedKey{}, err
	}
	key := store.GrantedKeyKey(string(granted.Team), granted.ID)
	txn := store.Txn{Compares: []store.Compare{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}}}
	// A grant whose outcome is unclear is not retried. Its secret is lost, so a key that was stored
	// nevertheless cannot be used by anyone.
	if _, outcome, err := b.commitConfig(ctx, txn); err != nil || outcome != txnStored {
		return api.GrantedKey{}, changeError(err)
	}
	return api.GrantedKey{Key: keyView(granted), Secret: secret}, nil
}

// WithdrawKey withdraws a key. The withdrawal is idempotent and is retried until it is confirmed.
func (b *operatorBackend) WithdrawKey(ctx context.Context, operatorName string, team task.Team, id string) (api.Key, error) {
	key := store.GrantedKeyKey(string(team), id)
	for ctx.Err() == nil {
		kv, found, _, err := b.clients.Store.Get(ctx, key)
		if err != nil {
			return api.Key{}, storeError(err)
		}
		if !found {
			return api.Key{}, errkind.New(errkind.InvalidRequest, "team %s has no key %s", team, id).WithField("id", "the ID of an existing key of the team")
		}
		granted, err := store.DecodeGrantedKey(kv.Key, kv.Value, kv.ModRevision)
		if err != nil {
			return api.Key{}, err
		}
		if granted.Withdrawn {
			return keyView(*granted), nil
		}
		if err := b.markWithdrawn(ctx, key, *granted, operatorName); err != nil {
			return api.Key{}, err
		}
	}
	return api.Key{}, errkind.New(errkind.OutcomeUnknown, "the store did not confirm the withdrawal of key %s of team %s; withdraw the key again", id, team)
}

func (b *operatorBackend) markWithdrawn(ctx context.Context, key string, granted store.GrantedKey, operatorName string) error {
	revision := granted.Revision
	granted.Withdrawn, granted.WithdrawnBy, granted.WithdrawnAt = true, operatorName, time.Now().UTC()
	value, err := store.Encode(granted)
	if err != nil {
		return err
	}
	_, _, err = b.commitConfig(ctx, store.Txn{Compares: []store.Compare{{Key: key, ModRevision: revision}}, Puts: []store.Put{{Key: key, Value: value}}})
	return err
}

// Keys lists the keys of a team, or of all teams.
func (b *operatorBackend) Keys(ctx context.Context, team task.Team) ([]api.Key, error) {
	kvs, _, err := b.clients.Store.List(ctx, store.GrantedKeysPrefix(string(team)))
	if err != nil {
		return nil, storeError(err)
	}
	var keys []api.Key
	for _, kv := range kvs {
		if granted, err := store.DecodeGrantedKey(kv.Key, kv.Value, kv.ModRevision); err == nil {
			keys = append(keys, keyView(*granted))
		}
	}
	return keys, nil
}

func keyView(k store.GrantedKey) api.Key {
	return api.Key{ID: k.ID, Team: k.Team, Role: string(k.Role), Note: k.Note, GrantedBy: k.GrantedBy, GrantedAt: k.GrantedAt,
		WithdrawnBy: k.WithdrawnBy, WithdrawnAt: k.WithdrawnAt}
}
