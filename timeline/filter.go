package timeline

import (
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Filter selects events. A field with the zero value does not restrict the selection.
type Filter struct {
	Team      task.Team `json:"team,omitempty"`
	Task      task.ID   `json:"task,omitempty"`
	Worker    string    `json:"worker,omitempty"`
	Partition string    `json:"partition,omitempty"`
	Types     []Type    `json:"types,omitempty"`
	From      time.Time `json:"from"`             // inclusive
	Until     time.Time `json:"until"`            // exclusive
	Limit     int       `json:"latest,omitempty"` // maximum number of events, the latest ones; 0 for all
}

// Matches reports whether f selects e.
func (f Filter) Matches(e Event) bool {
	switch {
	case f.Team != "" && f.Team != e.Team,
		f.Task != "" && f.Task != e.Task,
		f.Worker != "" && f.Worker != e.Worker,
		f.Partition != "" && f.Partition != e.Partition,
		len(f.Types) > 0 && !slices.Contains(f.Types, e.Type),
		!f.From.IsZero() && e.Clock.Wall.Before(f.From),
		!f.Until.IsZero() && !e.Clock.Wall.Before(f.Until):
		return false
	}
	return true
}

func (f Filter) truncate(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}
