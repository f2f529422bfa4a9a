// Package queue holds the work that waits at the owner of a worker partition in
// bounded queues, one for each team. It orders the work of a team, refuses
// early what cannot start in time, and learns run times and start rates.
// Package control calls it from the control goroutine only.
package queue
