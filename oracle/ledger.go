package oracle

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// WorkerLedger is a worker's own record of everything it ever ran. It is the
// evidence against which the time line of the entry instances is checked.
type WorkerLedger struct {
	Worker        string         `json:"worker"`
	Capacity      task.Resources `json:"capacity"`
	OverCapacity  int            `json:"over_capacity"` // starts rejected because they did not fit
	LeavingSince  time.Time      `json:"leaving_since"` // zero while not leaving
	Runs          []Run          `json:"runs"`
	FrozenPeriods []Period       `json:"frozen_periods,omitempty"`
}

// Run is one attempt that a worker ran, by the worker's wall clock.
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

// Period is a span of wall-clock time. End is zero while it lasts.
type Period struct {
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}
