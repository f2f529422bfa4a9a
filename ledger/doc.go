// Package ledger keeps the records of requests at their home: idempotency,
// attempts, at-most-once dispatch and what has to be committed to the store.
package ledger
