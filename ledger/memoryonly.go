package ledger

import (
	"container/list"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Upper bounds of the memory of a record, in bytes.
const (
	memoryOnlyRecordBytes = 2000 // without its payload, tasks and results
	memoryOnlyTaskBytes   = 800
)

// memoryOnly holds the jobs whose records are not stored. Their memory is limited: the records of jobs that have
// ended are deleted early if others need it, those that ended first before the others.
type memoryOnly struct {
	records map[JobKey]*Record // kept when their shard moves to another home
	memory  *holding.Budget[JobKey]
	ended   map[task.Team]*list.List // keys of the records that are final, in the order in which they became so
	element map[JobKey]*list.Element // of these lists
}

func newMemoryOnly(limit int64) *memoryOnly {
	return &memoryOnly{
		records: make(map[JobKey]*Record), memory: holding.New[JobKey](holding.Limits{Bytes: limit}),
		ended: make(map[task.Team]*list.List), element: make(map[JobKey]*list.Element),
	}
}

func (m *memoryOnly) size(r *Record) int64 {
	bytes := memoryOnlyRecordBytes + int64(len(r.Tasks))*memoryOnlyTaskBytes + int64(len(r.Spec.Payload))
	for i := range r.Tasks {
		if outcome := r.Tasks[i].Outcome; outcome != nil {
			bytes += int64(len(outcome.Result))
		}
	}
	return bytes
}

// add adds the record of a new job, or refuses it if there is no memory for it.
func (m *memoryOnly) add(now time.Time, r *Record) *errkind.Error {
	key := r.JobKey()
	from := holding.Source{Queue: string(key.Service), Team: string(key.Team)}
	for {
		verdict := m.memory.Admit(now, key, from, m.size(r))
		if verdict.Admitted {
			break
		}
		if !m.deleteEnded(now, verdict.Cause, key.Team) {
			return errkind.New(errkind.Overloaded, "the memory for short work is exhausted (%s)", verdict.Cause).WithRetryAfter(verdict.RetryAfter)
		}
	}
	m.memory.Hold(now, key, from, m.size(r))
	m.memory.Expire(now)
	m.records[key] = r
	return nil
}

// deleteEnded deletes the record of the job that ended first, of the team if its own share is exhausted.
func (m *memoryOnly) deleteEnded(now time.Time, cause holding.Cause, team task.Team) bool {
	var first JobKey
	var endedAt time.Time
	for of, keys := range m.ended {
		if cause == holding.CauseTeam && of != team {
			continue
		}
		key := keys.Front().Value.(JobKey)
		if at := m.records[key].FinishedAt; endedAt.IsZero() || at.Before(endedAt) {
			first, endedAt = key, at
		}
	}
	if endedAt.IsZero() {
		return false
	}
	m.delete(now, first)
	return true
}

// changed updates the charge of a job whose tasks have changed. Of a job that has ended, the payload is dropped:
// repeated submissions are compared by its digest. Records of jobs that have ended make room for the result.
func (m *memoryOnly) changed(now time.Time, r *Record) {
	key := r.JobKey()
	if r.IsFinal() {
		r.Spec.Payload = nil
	}
	m.memory.Resize(now, key, m.size(r))
	for limit := m.memory.Limit(); limit > 0 && m.memory.Stats().Bytes > limit && m.deleteEnded(now, holding.CauseTotal, ""); {
	}
	if m.records[key] != r {
		return // its own record was the first to be deleted
	}
	if _, known := m.element[key]; r.IsFinal() && !known {
		keys := m.ended[key.Team]
		if keys == nil {
			keys = list.New()
			m.ended[key.Team] = keys
		}
		m.element[key] = keys.PushBack(key)
	}
}

func (m *memoryOnly) delete(now time.Time, key JobKey) {
	if element := m.element[key]; element != nil {
		keys := m.ended[key.Team]
		keys.Remove(element)
		if keys.Len() == 0 {
			delete(m.ended, key.Team)
		}
		delete(m.element, key)
	}
	delete(m.records, key)
	m.memory.Release(now, key)
}

// MemoryOnlyStats returns the memory of the jobs whose records are not stored.
func (l *Ledger) MemoryOnlyStats() holding.Stats { return l.memoryOnly.memory.Stats() }
