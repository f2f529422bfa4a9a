package job

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// ID identifies a job across the whole fleet. The caller chooses it, which makes
// submissions idempotent.
type ID string

// idLength is the length of an ID in hexadecimal digits.
const idLength = 16

// Valid reports whether the ID has the form that callers must use.
func (id ID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdef", c) {
			return false
		}
	}
	return true
}

// Step is one stage of a job, consisting of identical tasks.
type Step struct {
	Count           int            `json:"n"`
	Size            task.Resources `json:"r"`            // of each task
	Estimate        time.Duration  `json:"e,omitempty"`  // run time that the caller expects
	After           []int          `json:"a,omitempty"`  // steps whose tasks must all have succeeded
	Gang            bool           `json:"g,omitempty"`  // gang scheduling: tasks start together or not at all
	SameRack        bool           `json:"sr,omitempty"` // tasks slow down when spread over racks
	RequiredLabel   string         `json:"nl,omitempty"` // label that the worker must have
	Affinity        string         `json:"af,omitempty"` // label of preferred workers, such as the rack that holds the data
	AntiAffinity    int            `json:"aa,omitempty"` // maximum tasks of the step on one worker; 0 for no limit
	Checkpoints     bool           `json:"cp,omitempty"`
	AllowDuplicates bool           `json:"ad,omitempty"`
	LongLived       bool           `json:"ll,omitempty"` // tasks are restarted regardless of how they end, until the job is cancelled
	BestEffortCPU   bool           `json:"fi,omitempty"` // its CPU is best effort and does not count against a worker's capacity
	Image           string         `json:"im,omitempty"` // image that the tasks run; tasks of the same image behave alike
	TargetLatency   time.Duration  `json:"ta,omitempty"` // upper bound on the tail latency of long-lived tasks
	MaxUnavailable  int            `json:"mu,omitempty"` // maximum number of tasks that the scheduler may preempt at a time
}

// Origin is the queue of a request about a job, and the team to which its API key belongs.
type Origin struct {
	Queue string `json:"q"`
	Team  string `json:"t,omitempty"` // empty for a request without a key, which open queues accept
}

// MayAccess reports whether a request may concern a job that was submitted by the given origin. Jobs of other queues
// and teams are reported as unknown.
func (o Origin) MayAccess(submission Origin) bool {
	return o.Queue == submission.Queue && (o.Team == "" || submission.Team == "" || o.Team == submission.Team)
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID         ID            `json:"id"`
	Queue      string        `json:"q"`
	Team       string        `json:"t"`
	Spec       string        `json:"s"` // passed to the workers unchanged
	Steps      []Step        `json:"st"`
	Repeats    int           `json:"rp,omitempty"` // occurrences; 0 for a job that runs once
	FirstAt    time.Time     `json:"fa,omitzero"`  // when the first occurrence is due
	Interval   time.Duration `json:"iv,omitempty"` // between occurrences
	AcceptedAt time.Time     `json:"at"`           // wall clock of the accepting instance
	Terms      *Terms        `json:"qt,omitempty"` // of the queue when the job was accepted
	AcceptedBy string        `json:"by,omitempty"` // name of the accepting instance, which receives the changes of the job's state
	Work       string        `json:"w,omitempty"`  // see WorkDigest; empty in records of earlier versions
}

// Limits of a job. They keep its record far below the store's limit on values and bound
// the owner's work for one job.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasks       = 10_000 // of all steps of one occurrence; occurrences with more unfinished tasks together are not active at the same time
	MaxOccurrences = 10_000
)

// Origin returns who has submitted the job.
func (j *Job) Origin() Origin { return Origin{Queue: j.Queue, Team: j.Team} }

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// DueAt returns the earliest start time of an occurrence; zero for immediately.
func (j *Job) DueAt(occurrence int) time.Time {
	if j.Repeats == 0 {
		return time.Time{}
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Interval)
}

// SameWork reports whether two submissions request the same work, regardless of when they
// were accepted.
func (j *Job) SameWork(other *Job) bool {
	if j.Queue != other.Queue || j.Team != other.Team || j.Spec != other.Spec || len(j.Steps) != len(other.Steps) {
		return false
	}
	for i := range j.Steps {
		a, b := &j.Steps[i], &other.Steps[i]
		if a.Count != b.Count || a.Size != b.Size || a.Estimate != b.Estimate {
			return false
		}
	}
	return j.Repeats == other.Repeats && j.FirstAt.Equal(other.FirstAt) && j.Interval == other.Interval
}

// WorkDigest returns a digest of what SameWork compares. The record of the job's end contains it.
func (j *Job) WorkDigest() string {
	hash := sha256.New()
	number := func(n int64) { _, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) } // a hash never fails
	for _, text := range []string{j.Queue, j.Team, j.Spec} {
		number(int64(len(text)))
		_, _ = io.WriteString(hash, text)
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, n := range []int64{int64(s.Count), s.Size.CPUMilli, s.Size.MemoryMB, s.Size.Accelerators, s.Size.Slots, s.Size.Connections, int64(s.Estimate)} {
			number(n)
		}
	}
	number(int64(j.Repeats))
	number(j.FirstAt.Unix())
	number(int64(j.FirstAt.Nanosecond()))
	number(int64(j.Interval))
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// digestBytes is the length of a digest of work. It need not withstand an attack: a caller could only mistake its
// own work.
const digestBytes = 8

// Check validates the job. It returns the first violation, or nil.
func (j *Job) Check() error {
	if !j.ID.Valid() {
		return fmt.Errorf("the job ID is not %d lower-case hexadecimal digits", idLength)
	}
	if len(j.Spec) > MaxSpecBytes {
		return fmt.Errorf("the spec has %d bytes, %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("the job has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repeats < 0 || j.Repeats > MaxOccurrences {
		return fmt.Errorf("the job has %d occurrences, 0 to %d are allowed", j.Repeats, MaxOccurrences)
	}
	if j.Interval < 0 {
		return fmt.Errorf("the interval between occurrences is negative: %s", j.Interval)
	}
	totalTasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		totalTasks += j.Steps[i].Count
	}
	if totalTasks > MaxTasks {
		return fmt.Errorf("the job has %d tasks, %d are allowed", totalTasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fmt.Errorf("step %d has %d tasks, 1 to %d are allowed", index, s.Count, MaxTasks)
	case s.Size.HasNegative():
		return fmt.Errorf("step %d requests a negative amount of a resource: %s", index, s.Size)
	case s.Estimate < 0 || s.AntiAffinity < 0 || s.MaxUnavailable < 0:
		return fmt.Errorf("step %d has a negative run time estimate (%s), anti-affinity limit (%d) or limit of unavailable tasks (%d)",
			index, s.Estimate, s.AntiAffinity, s.MaxUnavailable)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("step %d depends on step %d, which is not an earlier step", index, earlier)
		}
	}
	return nil
}

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns the name of the step that workers and the advice service use.
func (k StepKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// TaskKey identifies one task.
type TaskKey struct {
	StepKey
	Index int
}

// String returns the name of the task that workers use.
func (k TaskKey) String() string { return k.StepKey.String() + "." + strconv.Itoa(k.Index) }

// ParseTaskKey is the inverse of TaskKey.String.
func ParseTaskKey(name string) (TaskKey, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || !ID(parts[0]).Valid() {
		return TaskKey{}, fmt.Errorf("task name %q does not have the form job.occurrence.step.index", name)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskKey{}, fmt.Errorf("task name %q: %q is not a non-negative integer", name, part)
		}
		numbers[i] = n
	}
	return TaskKey{StepKey: StepKey{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}, Index: numbers[2]}, nil
}

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Pending   State = "pending"   // no task has started
	Running   State = "running"   // a task has started
	Completed State = "completed" // all tasks succeeded
	Failed    State = "failed"    // a task or a gang reached the maximum number of failed runs of its queue
	Cancelled State = "cancelled"
)

// IsFinal reports whether s is a terminal state.
func (s State) IsFinal() bool { return s == Completed || s == Failed || s == Cancelled }
