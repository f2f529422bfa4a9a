package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// home is the part of the state that accepts and tracks the jobs of the request shards that this
// instance owns.
type home struct {
	*outbox
	cfg      *Config
	ledger   *ledger.Ledger
	routing  *routing
	selector *partitionSelector
	keys     keyChecks

	waitingCalls map[uint64]*jobCall           // by token
	waiters      map[ledger.JobKey][]uint64    // tokens of the calls that wait for the end of a job
	openAttempts map[task.Attempt]*openAttempt // dispatched attempts without an outcome
	undispatched map[taskRef]*undispatchedTask // tasks without an open attempt, to be dispatched later
	batches      map[string][]Placement        // to be sent at the end of this Apply, by partition
	reportCalls  map[uint64]*reportCall        // report requests that wait for a commit
	cancelled    *cancelledJobs
	nextReportID uint64
	lastExpiryAt time.Time // last scan for records past their retention
	rebalancedAt time.Time // last scan for attempts to move to another partition
}

// keyChecks are the checks of the key under which work was accepted, for home and owner.
type keyChecks struct {
	isWithdrawn func(KeyRef) bool
	areFresh    func() bool // whether every withdrawal in force is guaranteed to have been applied here
}

// taskRef identifies one task of a job.
type taskRef struct {
	job   ledger.JobKey
	index int
}

// jobCall is a waiting call about a job.
type jobCall struct {
	job   ledger.JobKey
	until time.Time // when to reply even if the job is not final; zero for a call without wait
}

// openAttempt is an attempt that was sent, or is about to be sent, to an owner.
type openAttempt struct {
	ref       taskRef
	partition string
	phase     attemptPhase
	placedAt  time.Time // when the owner accepted it; zero before that and once it has started
	lookupAt  time.Time // when to look up the attempt
	lookingUp bool
	deadline  time.Time // after which an answer ends with an unknown outcome; zero for no deadline
}

// attemptPhase is the progress of an attempt at its home.
type attemptPhase uint8

const (
	phaseCommitting attemptPhase = iota // the intent to dispatch is not in the store yet
	phaseSending                        // the placement call is in progress
	phasePlaced                         // the owner has accepted it
	phaseUnclear                        // no reply was received; the owner may have accepted it
)

// undispatchedTask is a task without an open attempt.
type undispatchedTask struct {
	retryAt time.Time
	retries int
	avoid   []string // partitions that refused the task
}

// reportCall is a report request of an owner. The reply is sent once none of its outcomes waits for
// a commit.
type reportCall struct {
	token       uint64
	uncommitted int    // attempt reports whose outcome is not stored yet
	recorded    []bool // for the reply, by index of the attempt report
}

func (h *home) shardOf(job ledger.JobKey) string { return shardOf(job, h.cfg.RequestShards) }

// submit refuses new durable work while the store does not answer: the work could not be recorded,
// and its caller would get no reply until the store answers again.
func (s *State) submit(token uint64, req SubmitRequest) {
	job := ledger.KeyOf(&req.Spec)
	shard := s.home.shardOf(job)
	_, isKnown := s.home.ledger.Find(shard, job)
	if s.membership.storeDown && req.Spec.Kind.IsDurable() && !isKnown && s.home.ledger.IsActive(shard) {
		err := errkind.New(errkind.StoreUnavailable, "the store does not answer; durable work is currently not accepted").
			WithFate(errkind.FateNotRun).WithRetryAfter(s.cfg.KeepAliveInterval)
		s.recordEvent(timeline.Event{Type: timeline.RequestRefused, Team: job.Team, Kind: string(err.Kind), Detail: job.Key})
		s.reply(token, JobReply{Err: err})
		return
	}
	s.home.submit(token, req)
}

// submit accepts a job. A repeated submission with the same idempotency key is idempotent: it gets
// the record of the first one.
func (h *home) submit(token uint64, req SubmitRequest) {
	job := ledger.KeyOf(&req.Spec)
	if err := h.checkKey(&req.Spec); err != nil {
		h.replyRefusal(token, job, err)
		return
	}
	if _, known := h.ledger.Find(h.shardOf(job), job); !known && h.cancelled.contains(h.now, job) {
		h.replyRefusal(token, job, errkind.New(errkind.Cancelled, "job %s was cancelled before this submission arrived", job))
		return
	}
	step := ledger.PostCommitStep{Kind: ledger.StepAccepted, Job: job, Token: token}
	record, isNew, err := h.ledger.Submit(h.now, h.shardOf(job), req.Spec, step)
	if err != nil {
		h.replyRefusal(token, job, err)
		return
	}
	h.waitingCalls[token] = &jobCall{job: job, until: h.now.Add(req.Wait)}
	isDurable := req.Spec.Kind.IsDurable()
	if isNew {
		h.dispatchAll(job, record)
	}
	if !isDurable || (!isNew && !h.ledger.HasPending(h.shardOf(job))) {
		if isNew {
			h.recordAcceptance(record)
		}
		h.replyOrWait(token, job)
	}
}

// checkKey repeats the key check of the front end, because the request may have been delayed in
// transit for longer than a withdrawal takes to come into force.
func (h *home) checkKey(spec *task.Spec) *errkind.Error {
	switch {
	case spec.KeyID == "":
		return nil
	case h.keys.isWithdrawn(KeyRef{spec.Team, spec.KeyID}):
		return errkind.New(errkind.KeyWithdrawn, "key %s of team %s was withdrawn", spec.KeyID, spec.Team)
	case !h.keys.areFresh():
		return errkind.New(errkind.KeyStale, "the home of the job currently cannot confirm that key %s of team %s is valid", spec.KeyID, spec.Team).WithRetryAfter(h.cfg.KeyFreshness)
	default:
		return nil
	}
}

func (h *home) replyRefusal(token uint64, job ledger.JobKey, err *errkind.Error) {
	h.recordEvent(timeline.Event{Type: timeline.RequestRefused, Team: job.Team, Kind: string(err.Kind), Detail: job.Key})
	h.reply(token, JobReply{Err: err})
}

// recordAcceptance records the acceptance of every task of a job in the timeline, with the key.
// Package oracle checks that the key belongs to the team and that each task ends.
func (h *home) recordAcceptance(record *ledger.Record) {
	for i := range record.Tasks {
		h.recordEvent(timeline.Event{Type: timeline.RequestAccepted, Team: record.Spec.Team, Task: record.Tasks[i].ID,
			Kind: string(record.Spec.Kind), KeyID: record.Spec.KeyID})
	}
}

// query handles a call about a job that was submitted earlier.
func (h *home) query(token uint64, req QueryRequest) {
	shard := h.shardOf(req.Job)
	_, ok := h.ledger.Find(shard, req.Job)
	if !ok && !h.ledger.IsActive(shard) {
		h.reply(token, JobReply{Err: errkind.New(errkind.NoOwner, "this instance is not the active home of shard %s", shard).WithFate(errkind.FateUnknown)})
		return
	}
	if !ok {
		err := errkind.New(errkind.UnknownTask, "no job %s is recorded", req.Job)
		if req.Op == QueryCancel {
			if limited := h.cancelled.add(h.now, req.Job); limited != nil {
				err = limited
			}
		}
		h.reply(token, JobReply{Err: err})
		return
	}
	h.waitingCalls[token] = &jobCall{job: req.Job}
	switch req.Op {
	case QueryCancel:
		h.cancel(token, req.Job)
	case QueryWait:
		h.waitingCalls[token].until = h.now.Add(req.Wait)
		h.replyOrWait(token, req.Job)
	default:
		h.replyOrWait(token, req.Job)
	}
}

// replyOrWait replies if the job is final in the store or the caller does not wait any longer. If
// the job is not in the store yet, the reply is deferred until it is.
func (h *home) replyOrWait(token uint64, job ledger.JobKey) {
	call, ok := h.waitingCalls[token]
	if !ok {
		return
	}
	view, ok := h.ledger.View(h.shardOf(job), job)
	switch {
	case !ok:
		h.ledger.QueueAfterCommit(h.shardOf(job), ledger.PostCommitStep{Kind: ledger.StepAnswer, Job: job, Token: token})
	case view.IsFinal() || !h.now.Before(call.until):
		h.replyRecord(token, view)
	default:
		h.waiters[job] = append(h.waiters[job], token)
	}
}

func (h *home) replyRecord(token uint64, view ledger.Record) {
	delete(h.waitingCalls, token)
	h.reply(token, JobReply{Record: &view})
}

// cancel cancels every task of a job that is not final, and replies once the cancellation is
// stored.
func (h *home) cancel(token uint64, job ledger.JobKey) {
	shard := h.shardOf(job)
	record, _ := h.ledger.Find(shard, job)
	if !record.Spec.Kind.IsDurable() {
		// The record may be deleted before a repeated submission arrives. Beyond the limit, the cancellation of a
		// recorded job still takes effect.
		_ = h.cancelled.add(h.now, job)
	}
	h.terminate(record, errkind.Cancelled)
	if !h.ledger.HasPending(shard) {
		h.replyOrWait(token, job)
		return
	}
	h.ledger.QueueAfterCommit(shard, ledger.PostCommitStep{Kind: ledger.StepAnswer, Job: job, Token: token})
}

// terminate cancels a job for a reason and withdraws its open attempts from their owners.
func (h *home) terminate(record *ledger.Record, reason errkind.Kind) {
	job := record.JobKey()
	open, awaitsCommit, _ := h.ledger.Cancel(h.now, h.shardOf(job), job, reason, ledger.PostCommitStep{Kind: ledger.StepFinished, Job: job})
	for i := range record.Tasks {
		delete(h.undispatched, taskRef{job, i})
	}
	h.withdraw(job, record, open, reason)
	if !awaitsCommit {
		h.completeIfFinal(job)
	}
}

// withdraw requests that the owners dequeue or stop the latest attempts of the given tasks of a
// job.
func (h *home) withdraw(job ledger.JobKey, record *ledger.Record, indexes []int, reason errkind.Kind) {
	byPartition := map[string][]task.Attempt{}
	var partitions []string
	for _, i := range indexes {
		partition := record.Tasks[i].Partition
		if _, seen := byPartition[partition]; !seen {
			partitions = append(partitions, partition)
		}
		byPartition[partition] = append(byPartition[partition], record.AttemptOf(i))
	}
	for _, partition := range partitions {
		if owner, _, ok := h.routing.ownerOf(partition); ok {
			h.send(owner, WithdrawRequest{Attempts: byPartition[partition], Reason: reason})
		}
	}
}

// withdrawDone ends the attempts that an owner withdrew before they ran. After a failed call the
// attempts are looked up; the lookup repeats the withdrawal if the job is cancelled.
func (h *home) withdrawDone(req WithdrawRequest, reply PeerReply, err error) {
	if err != nil {
		for _, a := range req.Attempts {
			if o, ok := h.openAttempts[a]; ok {
				o.phase = phaseUnclear
				o.lookupAt = h.now.Add(h.cfg.RetryInterval)
			}
		}
		return
	}
	for _, a := range reply.(WithdrawReply).NotRun {
		h.finish(a, task.Outcome{Attempt: a, State: task.NotRun, Reason: string(req.Reason)}, 0)
	}
}

// completeIfFinal replies to every caller that waits for a job, if the job is final in the store.
func (h *home) completeIfFinal(job ledger.JobKey) {
	view, ok := h.ledger.View(h.shardOf(job), job)
	if !ok || !view.IsFinal() {
		return
	}
	for _, token := range h.waiters[job] {
		if _, waiting := h.waitingCalls[token]; waiting {
			h.replyRecord(token, view)
		}
	}
	delete(h.waiters, job)
	for i := range view.Tasks {
		t := &view.Tasks[i]
		h.recordEvent(timeline.Event{Type: timeline.RequestAnswered, Team: job.Team, Task: t.ID, Kind: string(t.State)})
	}
	if !view.Spec.Kind.IsDurable() && view.State() == task.NotRun {
		h.ledger.DeleteMemoryOnly(h.now, job)
	}
}

// cancelCall deletes a waiting call whose caller no longer waits.
func (h *home) cancelCall(token uint64) { delete(h.waitingCalls, token) }

// runStep continues the work that waited for the commit of a change.
func (h *home) runStep(s ledger.PostCommitStep) {
	shard := h.shardOf(s.Job)
	record, ok := h.ledger.Find(shard, s.Job)
	if !ok {
		return
	}
	switch s.Kind {
	case ledger.StepAccepted:
		h.recordAcceptance(record)
		h.completeIfFinal(s.Job)
		h.replyOrWait(s.Token, s.Job)
	case ledger.StepAnswer:
		h.replyOrWait(s.Token, s.Job)
	case ledger.StepDispatch:
		h.batchPlacement(s.Job, record, s.Index)
	case ledger.StepPermitted:
		h.recordEvent(timeline.Event{Type: timeline.IntentCommitted, Team: s.Job.Team, Task: record.Tasks[s.Index].ID,
			Attempt: record.Tasks[s.Index].Attempt, Worker: record.Tasks[s.Index].Worker})
		h.reply(s.Token, PermitReply{Granted: !record.Cancelled})
	case ledger.StepFinished:
		h.completeIfFinal(s.Job)
		h.attemptReportRecorded(s.Token)
	}
}

// send calls another instance or this one.
func (h *home) send(to membership.Member, req PeerRequest) {
	h.emit(Send{To: to, Request: req, Timeout: h.cfg.CallTimeout, SentAt: h.now})
}
