package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
)

// Upper bounds of what parts of a job take in the memory of the owner, in bytes, with their entries in maps.
// TestMemoryOfJobs compares them with the heap.
const (
	jobMemory     = 1400 // without its texts and steps
	specMemory    = 200  // of each step, without its texts
	stepMemory    = 900  // of each step of an active occurrence, without its tasks
	taskMemory    = 600  // of each task, while it runs or after it has succeeded
	failureMemory = 320  // of the failed runs of a task or gang
	adviceMemory  = 180  // of what is known about a step on one worker
	endedMemory   = 400  // of the final state
)

// MaxJobMemory is the most that MemoryOf returns.
const MaxJobMemory = jobMemory + job.MaxSpecBytes + job.MaxTasks*taskMemory +
	job.MaxSteps*(specMemory+stepMemory+3*job.MaxTextBytes+job.MaxSteps*numberBytes)

// numberBytes is the size of an entry of a step's list of earlier steps.
const numberBytes = 8

// MemoryOf returns the memory that a new job takes on the owner, at most, until further occurrences of it are
// active, runs of it have failed or the advice service was called for it.
func MemoryOf(j *job.Job) int64 { return memoryWithoutSpec(j) + int64(len(j.Spec)) }

func memoryWithoutSpec(j *job.Job) int64 {
	bytes := int64(jobMemory)
	for i := range j.Steps {
		s := &j.Steps[i]
		bytes += specMemory + int64(len(s.RequiredLabel)+len(s.Affinity)+len(s.Image)+numberBytes*len(s.After))
	}
	return bytes + occurrenceMemory(j)
}

// occurrenceMemory returns the memory of an active occurrence.
func occurrenceMemory(j *job.Job) int64 {
	return int64(len(j.Steps))*stepMemory + int64(j.TaskCount())*taskMemory
}

// memory returns the memory that a job takes at most without starting a further occurrence.
func (j *jobState) memory() int64 {
	further := int64(max(0, j.activeOccurrences-1))
	return MemoryOf(j.Job) + further*occurrenceMemory(j.Job) + int64(len(j.progress.Failed))*failureMemory + int64(j.adviceEntries)*adviceMemory
}

func (j *jobState) source() holding.Source { return sourceOf(j.Job) }

func sourceOf(j *job.Job) holding.Source { return holding.Source{Queue: j.Queue, Team: j.Team} }

// chargeMemory updates the charge of a job.
func (c *Core) chargeMemory(j *jobState) { c.held.Resize(c.now, j.ID, j.memory()) }

// HoldMemory charges a recorded job that is not accepted yet.
func (c *Core) HoldMemory(j *job.Job) {
	if _, ended := c.finals[j.ID]; ended || c.jobs[j.ID] != nil {
		return
	}
	c.held.Hold(c.now, j.ID, sourceOf(j), MemoryOf(j))
}

// canActivate reports whether there is memory for a further occurrence of a job. The first active one is part
// of the charge of the job, so that a job always makes progress.
func (c *Core) canActivate(j *jobState) bool {
	if j.activeOccurrences == 0 {
		return true
	}
	if j.activeTasks+j.TaskCount() > job.MaxTasks {
		return false // bounds the progress record of the job
	}
	return c.held.Fits(j.ID, occurrenceMemory(j.Job))
}

// occurrenceEnded updates the charge of a job of which all tasks of an occurrence have succeeded.
func (c *Core) occurrenceEnded(j *jobState) {
	j.activeOccurrences--
	c.chargeMemory(j)
}

// memoryLimitRetention is the time for which the smallest limit of any instance is in force after it was last
// reported: an instance that is away for a while may be the next owner.
const memoryLimitRetention = 10 * time.Minute

// memoryLimit is the smallest memory for accepted jobs of any instance, which may be the next owner.
type memoryLimit struct {
	bytes      int64 // 0 for no limit
	reportedAt time.Time
}

// ObserveMemoryLimit applies the memory for accepted jobs of an instance.
func (c *Core) ObserveMemoryLimit(bytes int64) {
	if bytes <= 0 || c.cfg.JobMemory <= 0 {
		return
	}
	smallest := &c.memoryLimit
	if smallest.bytes == 0 || bytes <= smallest.bytes || c.now.Sub(smallest.reportedAt) > memoryLimitRetention {
		if smallest.bytes != bytes {
			c.emit(Decision{Event: "memory_limit", Fields: []any{"limit_kb", bytes >> 10, "former_kb", smallest.bytes >> 10}})
		}
		smallest.bytes, smallest.reportedAt = bytes, c.now
		c.held.SetLimit(bytes)
	}
}

// admitMemory decides whether there is memory for a submission that is not recorded yet, whose spec may be
// missing, and charges it if so.
func (c *Core) admitMemory(submitted *job.Job, specBytes int) Admission {
	v := c.held.Admit(c.now, submitted.ID, sourceOf(submitted), memoryWithoutSpec(submitted)+int64(specBytes))
	if v.Admitted {
		return Admission{}
	}
	return Admission{Rejected: true, Cause: string(v.Cause), RetryAfter: v.RetryAfter}
}

// HeldMemory is the memory that accepted jobs take. It is an Effect.
type HeldMemory struct{ holding.Stats }

func (HeldMemory) isEffect() {}
