// Package queue holds the work that waits at the owner of a worker partition in
// bounded queues, one for each team, and refuses early what cannot start in time.
package queue
