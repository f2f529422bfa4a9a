// Package queue holds the pending work of one owner of worker partitions in bounded queues, one per
// team. It orders the work of a team, performs admission control by queue length and deadline, and
// estimates run times and drain rates. Package control calls it from the control goroutine only.
package queue
