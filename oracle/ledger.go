package oracle

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// WorkerLedger is a worker's record of all its runs. The timeline of the entry
// instances is checked against it.
type WorkerLedger struct {
	Worker         string          `json:"worker"`
	Capacity       task.Resources  `json:"capacity"`
	Runs           []Run           `json:"runs"`
	RejectedStarts []RejectedStart `json:"over_capacity,omitempty"` // starts rejected because they did not fit
	Leaving        []Period        `json:"leaving,omitempty"`       // while the worker reported that it was leaving
	Frozen         []Period        `json:"frozen,omitempty"`
}

// Run is one attempt that a worker ran. Its times are those of the worker's wall
// clock.
type Run struct {
	Worker        string         `json:"worker"`
	BootID        string         `json:"boot_id"`
	Attempt       task.Attempt   `json:"attempt"`
	Team          task.Team      `json:"team"`
	Class         string         `json:"class"`
	Size          task.Resources `json:"size"`
	Owner         string         `json:"owner"`
	Epoch         uint64         `json:"epoch"`
	Start         time.Time      `json:"start"`
	End           time.Time      `json:"end"` // zero while running
	State         string         `json:"state"`
	PayloadDigest string         `json:"payload_digest"`
	ResultDigest  string         `json:"result_digest,omitempty"`
	ResultBytes   int64          `json:"result_bytes,omitempty"`
}

// String formats the run on one line.
func (r Run) String() string {
	return fmt.Sprintf("%s on %s (boot %s, epoch %d) team=%s [%s] from %s to %s: %s", r.Attempt, r.Worker, r.BootID,
		r.Epoch, r.Team, r.Size, formatTime(r.Start), formatTime(r.End), r.State)
}

// RejectedStart is a start that a worker rejected because it did not fit.
type RejectedStart struct {
	Attempt task.Attempt   `json:"attempt"`
	Size    task.Resources `json:"size"`
	Used    task.Resources `json:"used"`
	Epoch   uint64         `json:"epoch"`
	At      time.Time      `json:"at"`
}

// Period is a span of wall-clock time. End is zero while it lasts.
type Period struct {
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

// formatTime formats a time. The zero time, the end of a period that has not
// ended, is formatted as "now".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "now"
	}
	return t.UTC().Format("15:04:05.000000")
}
