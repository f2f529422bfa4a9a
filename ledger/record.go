package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// JobKey identifies a job: one submission to one service of a team.
type JobKey struct {
	Team    task.Team    `json:"team"`
	Service task.Service `json:"service"`
	Key     string       `json:"key"` // idempotency key
}

// KeyOf returns the identity of the job that a specification describes.
func KeyOf(spec *task.Spec) JobKey {
	return JobKey{Team: spec.Team, Service: spec.Service, Key: spec.IdempotencyKey}
}

// String returns <team>/<service>/<idempotency key>.
func (k JobKey) String() string { return fmt.Sprintf("%s/%s/%s", k.Team, k.Service, k.Key) }

// Record is the state of one job, kept by its home.
type Record struct {
	Spec       task.Spec    `json:"spec"`
	Tasks      []TaskRecord `json:"tasks"`
	Cancelled  bool         `json:"cancelled,omitempty"`
	FinishedAt time.Time    `json:"finished_at,omitzero"` // wall clock; zero while a task is not final
}

// TaskRecord is the state of one task of a job.
type TaskRecord struct {
	ID         task.ID       `json:"id"`
	State      task.State    `json:"state"`
	Attempt    uint32        `json:"attempt"`                // latest attempt; 0 before the first
	Partition  string        `json:"partition,omitempty"`    // worker partition of the latest attempt
	Worker     string        `json:"worker,omitempty"`       // of the latest attempt; for at-most-once work the only one that may run it
	BootID     string        `json:"boot_id,omitempty"`      // boot of that worker when the start was permitted
	Permitted  bool          `json:"permitted,omitempty"`    // at-most-once work: the start was permitted
	MayHaveRun bool          `json:"may_have_run,omitempty"` // an earlier attempt ran or may have run
	Failures   int           `json:"failures,omitempty"`     // number of attempts that failed
	Outcome    *task.Outcome `json:"outcome,omitempty"`
}

// JobKey returns the identity of the job.
func (r *Record) JobKey() JobKey { return KeyOf(&r.Spec) }

// IsFinal reports whether every task of the job is final.
func (r *Record) IsFinal() bool {
	for i := range r.Tasks {
		if !r.Tasks[i].State.IsFinal() {
			return false
		}
	}
	return true
}

// stateRank orders the states of tasks to derive the state of their job. NotRun ranks
// last, so that a job is not reported as NotRun if any of its tasks ran.
var stateRank = map[task.State]int{task.Accepted: 0, task.Dispatched: 1, task.Running: 2, task.Unknown: 3, task.Finished: 4, task.NotRun: 5}

// State returns the state of the job as a whole, which is that of its least advanced
// task. Among final states, it is Unknown if any task is Unknown, and NotRun only if
// every task is NotRun.
func (r *Record) State() task.State {
	least := task.NotRun
	for i := range r.Tasks {
		if stateRank[r.Tasks[i].State] < stateRank[least] {
			least = r.Tasks[i].State
		}
	}
	return least
}

// AttemptOf returns the latest attempt of the task with the given index.
func (r *Record) AttemptOf(index int) task.Attempt {
	t := &r.Tasks[index]
	return task.Attempt{Task: t.ID, Number: t.Attempt}
}

// newRecord returns the record of a job whose tasks have no attempt yet. The salt makes
// the task IDs of a memory-only job unique: if the job is submitted again after its home
// was lost, its tasks have other IDs.
func newRecord(spec task.Spec, salt string) *Record {
	r := &Record{Spec: spec, Tasks: make([]TaskRecord, max(1, spec.Count))}
	for i := range r.Tasks {
		id := fmt.Sprintf("%s/%s/%s/%d", spec.Team, spec.Service, spec.IdempotencyKey, i)
		if !spec.Kind.IsDurable() {
			id += "@" + salt
		}
		r.Tasks[i] = TaskRecord{ID: task.ID(id), State: task.Accepted}
	}
	return r
}

// ParseTaskID returns the job and the index of the task with the given ID.
func ParseTaskID(id task.ID) (key JobKey, index int, ok bool) {
	team, rest, found := strings.Cut(string(id), "/")
	if !found {
		return JobKey{}, 0, false
	}
	service, rest, found := strings.Cut(rest, "/")
	last := strings.LastIndexByte(rest, '/')
	if !found || last < 0 {
		return JobKey{}, 0, false
	}
	number, _, _ := strings.Cut(rest[last+1:], "@")
	index, err := strconv.Atoi(number)
	if err != nil {
		return JobKey{}, 0, false
	}
	return JobKey{Team: task.Team(team), Service: task.Service(service), Key: rest[:last]}, index, true
}

// HomeOf returns the incarnation of the process that holds the record of a memory-only
// task. It returns false for a durable task.
func HomeOf(id task.ID) (incarnation string, ok bool) {
	_, salt, found := strings.Cut(string(id), "@")
	last := strings.LastIndexByte(salt, '.')
	if !found || last < 0 {
		return "", false
	}
	return salt[:last], true
}

// Clone returns a copy that later changes of r do not affect. The copies share the
// payload and the outcomes, which are never modified in place.
func (r *Record) Clone() Record {
	c := *r
	c.Tasks = append([]TaskRecord(nil), r.Tasks...)
	return c
}
