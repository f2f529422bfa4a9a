package main

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
)

// conflictLines returns lines that describe the conflicting change, which was applied
// first.
func conflictLines(c api.Conflict) []string {
	lines := []string{fmt.Sprintf("revision %d is in force, not %d; changed by %s at %s:",
		c.Revision, c.Expected, orUnnamed(c.ChangedBy), c.ChangedAt.Format(time.RFC3339))}
	return append(lines, changeLines(c.Changes)...)
}

func changeLines(changes []api.Change) []string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", change.Path, orNone(change.Before), orNone(change.After)))
	}
	return lines
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func orUnnamed(s string) string {
	if s == "" {
		return "an unnamed operator"
	}
	return s
}
