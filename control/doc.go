// Package control combines the packages that make scheduling decisions into the control state of
// one entry instance. The goroutine of Loop owns the State: it applies events one at a time and
// passes on the resulting effects, which other goroutines execute. Those goroutines read immutable
// snapshots of the state and post the results as further events.
//
// An instance holds units, which are request shards and worker partitions, each under an epoch and
// until the end of a term. As the home of a request shard it accepts jobs and tracks their tasks.
// As the owner of a worker partition it queues the attempts of tasks and starts them on the workers
// of the partition.
//
// Durable jobs are recorded in the store. An answer, a job of kind task.Answer, is held only in the
// memory of the home that accepted it, and its caller waits for the result.
package control
