// Package ledger keeps the request records of each request shard. The process that owns a
// shard is the home of its jobs. The package implements idempotent submission, the attempts of
// tasks, at-most-once dispatch and the group commit of durable records to the store.
package ledger
