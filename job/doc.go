// Package job defines the types of scheduled work: queues and their catalog, jobs and
// their steps, the names of tasks, and the records of a job's progress. It contains no
// policy. The decisions are made in packages schedule and cell; the packages for callers,
// workers and the store convert their messages and records to and from these types.
package job
