package demo

import (
	"context"
	"embed"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/task"
)

//go:embed documents
var documentFiles embed.FS

// Secrets contains the secrets of the demo's keys, by team.
var Secrets = map[task.Team]string{"leuven": "leuven-demo-secret", "estrie": "estrie-demo-secret"}

// StoreConfiguration writes the documents and keys of the demo directly to a store, for
// tests that do not cover the operator API.
func StoreConfiguration(ctx context.Context, storeAddress string) error {
	client := store.NewClient(store.Config{Address: storeAddress, Instance: "demo"})
	defer client.Close()
	var txn store.Txn
	documents, err := readDocuments()
	if err != nil {
		return err
	}
	for _, d := range documents {
		value, err := store.Encode(document.Record{Source: string(d.source), ChangedBy: "demo", ChangedAt: time.Now(), WriteID: d.name})
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: store.DocumentKey(d.team, d.service), Value: value})
	}
	for team, secret := range Secrets {
		value, err := store.Encode(keyring.Key{ID: "demo-" + string(team), Team: team, Digest: keyring.DigestOf(secret)})
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: store.GrantedKeyKey(string(team), "demo-"+string(team)), Value: value})
	}
	_, err = client.Commit(ctx, txn)
	return eris.Wrap(err, "store the configuration of the demo")
}

// documentFile is an embedded document file.
type documentFile struct {
	name, team, service string
	source              []byte
}

func readDocuments() ([]documentFile, error) {
	entries, err := documentFiles.ReadDir("documents")
	if err != nil {
		return nil, eris.Wrap(err, "read the documents of the demo")
	}
	var files []documentFile
	for _, entry := range entries {
		source, err := documentFiles.ReadFile("documents/" + entry.Name())
		if err != nil {
			return nil, eris.Wrap(err, "read document")
		}
		doc, faults := document.Parse(source)
		if len(faults) > 0 {
			return nil, eris.Errorf("document %s has faults: %v", entry.Name(), faults)
		}
		files = append(files, documentFile{entry.Name(), string(doc.Team), string(doc.Service), source})
	}
	return files, nil
}
