package storetest

import (
	"fmt"
	"slices"
	"sort"

	"github.com/mulberrydrum/mulberrydrum/store"
)

// record appends changes to the history as the next revision and drops the oldest revisions while the
// history exceeds its limits.
func (m *Machine) record(changes []store.Change) {
	if len(changes) == 0 {
		return
	}
	m.revision++
	batch := store.WatchBatch{Revision: m.revision, Changes: changes}
	m.history = append(m.history, batch)
	m.historyBytes += batchSize(batch)
	for len(m.history) > m.limits.HistoryRevisions || m.historyBytes > m.limits.HistoryBytes {
		m.dropOldest()
	}
}

func (m *Machine) dropOldest() {
	m.compacted = m.history[0].Revision
	m.historyBytes -= batchSize(m.history[0])
	m.history[0] = store.WatchBatch{} // releases the values for garbage collection
	m.history = m.history[1:]
}

func batchSize(batch store.WatchBatch) int {
	total := 0
	for _, change := range batch.Changes {
		total += len(change.Key) + len(change.Value)
	}
	return total
}

// Compact drops the history up to and including revision.
func (m *Machine) Compact(revision int64) error {
	if revision <= m.compacted {
		return fmt.Errorf("%w: %d", store.ErrCompacted, revision)
	}
	if revision > m.revision {
		return fmt.Errorf("%w: revision %d is higher than the current revision %d", store.ErrRejected, revision, m.revision)
	}
	for len(m.history) > 0 && m.history[0].Revision <= revision {
		m.dropOldest()
	}
	m.compacted = revision
	return nil
}

// Compacted returns the highest revision that is no longer in the history.
func (m *Machine) Compacted() int64 { return m.compacted }

// ChangesSince returns up to limit batches of changes in the range, starting at revision from, and the
// revision from which the next call continues.
func (m *Machine) ChangesSince(start, end string, from int64, limit int) ([]store.WatchBatch, int64, error) {
	if from <= m.compacted {
		return nil, 0, fmt.Errorf("%w: history starts after revision %d", store.ErrCompacted, m.compacted)
	}
	first := sort.Search(len(m.history), func(i int) bool { return m.history[i].Revision >= from })
	var batches []store.WatchBatch
	for _, batch := range m.history[first:] {
		changes := selectChanges(batch.Changes, start, end)
		if len(changes) == 0 {
			continue
		}
		batches = append(batches, store.WatchBatch{Revision: batch.Revision, Changes: changes})
		if len(batches) == limit {
			return batches, batch.Revision + 1, nil
		}
	}
	return batches, max(from, m.revision+1), nil
}

func selectChanges(changes []store.Change, start, end string) []store.Change {
	var selected []store.Change
	for _, change := range changes {
		if inRange(change.Key, start, end) {
			selected = append(selected, change)
		}
	}
	return slices.Clip(selected)
}
