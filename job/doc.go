// Package job defines the types of scheduled work: queues and their catalog, jobs and
// their steps, the names of tasks, and the records of a job's progress. It contains no
// policy. Packages schedule and cell make decisions on these types, and the adapters for
// callers, workers and the store convert to and from them.
package job
