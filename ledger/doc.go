// Package ledger keeps the job records of request shards at their home, the process
// that owns the shard. It implements idempotent submission, the attempts of tasks,
// at-most-once dispatch and the group commit of durable records to the store.
package ledger
