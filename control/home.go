package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// home is the part of the state that answers for the jobs of its request shards.
type home struct {
	*outbox
	cfg     *Config
	ledger  *ledger.Ledger
	routing *routing
	chooser *chooser
	keys    keyChecks

	calls        map[uint64]*jobCall           // waiting calls by token
	waiters      map[ledger.JobKey][]uint64    // tokens that wait for the end of a job
	open         map[task.Attempt]*openAttempt // dispatched attempts without an end
	idle         map[taskRef]*idleTask         // tasks that wait to be dispatched
	batches      map[string][]Placement        // to be sent at the end of this Apply, by partition
	reports      map[uint64]*reportCall        // reports that wait for a commit
	nextID       uint64
	expiredAt    time.Time
	rebalancedAt time.Time
}

// keyChecks is what home and owner ask about the key under which work was
// accepted.
type keyChecks struct {
	withdrawn func(KeyName) bool
	fresh     func() bool // whether a withdrawal would be known by now
}

// taskRef names one task of a job.
type taskRef struct {
	job   ledger.JobKey
	index int
}

// jobCall is a caller that waits for a reply about a job.
type jobCall struct {
	job   ledger.JobKey
	until time.Time // when to reply even if the job is not final; zero replies as soon as it is accepted
}

// openAttempt is an attempt that was sent, or is about to be sent, to an owner.
type openAttempt struct {
	ref       taskRef
	partition string
	phase     openPhase
	placedAt  time.Time // when the owner took it; zero before, and once it has started
	askAt     time.Time // when to look the attempt up
	asking    bool
	deadline  time.Time // when to give up waiting for an answer; zero for none
}

type openPhase uint8

const (
	openCommitting openPhase = iota // the intent is not in the store yet
	openSending                     // the placement is on its way
	openPlaced                      // the owner has it
	openUnclear                     // the owner may have it
)

// idleTask is a task without an open attempt.
type idleTask struct {
	tryAt time.Time
	tries int
	avoid []string // partitions that refused it
}

// reportCall is a report of an owner, of which some parts wait for a commit.
type reportCall struct {
	token    uint64
	waiting  int
	recorded []bool
}

func (h *home) shardOf(job ledger.JobKey) string { return ShardOf(job, h.cfg.RequestShards) }

// submit refuses new durable work while the store does not answer: it could not
// be recorded, and its caller would hear nothing until the store is back.
func (s *State) submit(token uint64, req SubmitRequest) {
	job := ledger.KeyOf(&req.Spec)
	shard := s.home.shardOf(job)
	_, isKnown := s.home.ledger.Find(shard, job)
	if s.members.storeDown && req.Spec.Kind.IsDurable() && !isKnown && s.home.ledger.IsActive(shard) {
		err := errkind.New(errkind.StoreUnavailable, "the store does not answer; durable work is not accepted at present").
			WithFate(errkind.FateNotRun).WithRetryAfter(s.cfg.KeepAliveInterval)
		s.event(timeline.Event{Type: timeline.RequestRefused, Team: job.Team, Kind: string(err.Kind), Detail: job.Key})
		s.reply(token, JobReply{Err: err})
		return
	}
	s.home.submit(token, req)
}

// submit accepts a job, or finds the earlier submission with the same key.
func (h *home) submit(token uint64, req SubmitRequest) {
	job := ledger.KeyOf(&req.Spec)
	if err := h.checkKey(&req.Spec); err != nil {
		h.refused(token, job, err)
		return
	}
	step := ledger.Step{Kind: ledger.StepAccepted, Job: job, Token: token}
	record, isNew, err := h.ledger.Submit(h.shardOf(job), req.Spec, step)
	if err != nil {
		h.refused(token, job, err)
		return
	}
	h.calls[token] = &jobCall{job: job, until: h.now.Add(req.Wait)}
	isDurable := req.Spec.Kind.IsDurable()
	if isNew {
		h.dispatchAll(job, record)
	}
	if !isDurable || (!isNew && !h.ledger.HasPending(h.shardOf(job))) {
		if isNew {
			h.accepted(record)
		}
		h.answerOrWait(token, job)
	}
}

// checkKey looks at the key of a request again, which the front end admitted: the
// request may have been held up on the way here for longer than a withdrawal takes.
func (h *home) checkKey(spec *task.Spec) *errkind.Error {
	switch {
	case spec.KeyID == "":
		return nil
	case h.keys.withdrawn(KeyName{spec.Team, spec.KeyID}):
		return errkind.New(errkind.KeyWithdrawn, "the key was withdrawn")
	case !h.keys.fresh():
		return errkind.New(errkind.KeyStale, "the home of the request cannot confirm its keys at present").WithRetryAfter(h.cfg.KeyFreshness)
	default:
		return nil
	}
}

func (h *home) refused(token uint64, job ledger.JobKey, err *errkind.Error) {
	h.event(timeline.Event{Type: timeline.RequestRefused, Team: job.Team, Kind: string(err.Kind), Detail: job.Key})
	h.reply(token, JobReply{Err: err})
}

// accepted records the acceptance of every task of a job, with the key: the
// oracle compares the key's team, and looks for the end of each task.
func (h *home) accepted(record *ledger.Record) {
	for i := range record.Tasks {
		h.event(timeline.Event{Type: timeline.RequestAccepted, Team: record.Spec.Team, Task: record.Tasks[i].ID,
			Kind: string(record.Spec.Kind), KeyID: record.Spec.KeyID})
	}
}

// query answers a call about a job that was submitted before.
func (h *home) query(token uint64, req QueryRequest) {
	shard := h.shardOf(req.Job)
	_, ok := h.ledger.Find(shard, req.Job)
	if !ok && !h.ledger.IsActive(shard) {
		h.reply(token, JobReply{Err: errkind.New(errkind.NoOwner, "shard %s has no active home here", shard).WithFate(errkind.FateUnknown)})
		return
	}
	if !ok {
		h.reply(token, JobReply{Err: errkind.New(errkind.UnknownTask, "no job %s is recorded", req.Job)})
		return
	}
	h.calls[token] = &jobCall{job: req.Job}
	switch req.Op {
	case QueryCancel:
		h.cancel(token, req.Job)
	case QueryWait:
		h.calls[token].until = h.now.Add(req.Wait)
		h.answerOrWait(token, req.Job)
	default:
		h.answerOrWait(token, req.Job)
	}
}

// answerOrWait replies if the job is final in the store or the caller does not
// wait. A job that is not in the store yet is answered once it is.
func (h *home) answerOrWait(token uint64, job ledger.JobKey) {
	call, ok := h.calls[token]
	if !ok {
		return
	}
	view, ok := h.ledger.View(h.shardOf(job), job)
	switch {
	case !ok:
		h.ledger.After(h.shardOf(job), ledger.Step{Kind: ledger.StepAnswer, Job: job, Token: token})
	case view.IsFinal() || !h.now.Before(call.until):
		h.answer(token, view)
	default:
		h.waiters[job] = append(h.waiters[job], token)
	}
}

func (h *home) answer(token uint64, view ledger.Record) {
	delete(h.calls, token)
	h.reply(token, JobReply{Record: &view})
}

// cancel stops every task of a job that is not final.
func (h *home) cancel(token uint64, job ledger.JobKey) {
	shard := h.shardOf(job)
	record, _ := h.ledger.Find(shard, job)
	h.end(record, errkind.Cancelled)
	if !h.ledger.HasPending(shard) {
		h.answerOrWait(token, job)
		return
	}
	h.ledger.After(shard, ledger.Step{Kind: ledger.StepAnswer, Job: job, Token: token})
}

// end cancels a job for a reason and asks the owners of its open attempts to
// take them back or stop them.
func (h *home) end(record *ledger.Record, reason errkind.Kind) {
	job := record.JobKey()
	open, waits, _ := h.ledger.Cancel(h.now, h.shardOf(job), job, reason, ledger.Step{Kind: ledger.StepFinished, Job: job})
	for i := range record.Tasks {
		delete(h.idle, taskRef{job, i})
	}
	h.withdraw(job, record, open, reason)
	if !waits {
		h.settle(job)
	}
}

// withdraw asks the owners to take back or stop the open attempts of a job.
func (h *home) withdraw(job ledger.JobKey, record *ledger.Record, indexes []int, reason errkind.Kind) {
	byPartition := map[string][]task.Attempt{}
	var order []string
	for _, i := range indexes {
		partition := record.Tasks[i].Partition
		if _, seen := byPartition[partition]; !seen {
			order = append(order, partition)
		}
		byPartition[partition] = append(byPartition[partition], record.AttemptOf(i))
	}
	for _, partition := range order {
		if owner, _, ok := h.routing.ownerOf(partition); ok {
			h.send(owner, WithdrawRequest{Attempts: byPartition[partition], Reason: reason})
		}
	}
}

// withdrawDone applies the attempts that an owner took back. A withdrawal that
// failed is repeated when the attempt is looked up.
func (h *home) withdrawDone(req WithdrawRequest, reply PeerReply, err error) {
	if err != nil {
		for _, a := range req.Attempts {
			if o, ok := h.open[a]; ok {
				o.phase = openUnclear
				o.askAt = h.now.Add(h.cfg.RetryInterval)
			}
		}
		return
	}
	for _, a := range reply.(WithdrawReply).NotRun {
		h.finish(a, task.Outcome{Attempt: a, State: task.NotRun, Reason: string(req.Reason)}, 0)
	}
}

// settle replies to every caller that waits for a job, if the job is final in the
// store.
func (h *home) settle(job ledger.JobKey) {
	view, ok := h.ledger.View(h.shardOf(job), job)
	if !ok || !view.IsFinal() {
		return
	}
	for _, token := range h.waiters[job] {
		if _, waiting := h.calls[token]; waiting {
			h.answer(token, view)
		}
	}
	delete(h.waiters, job)
	for i := range view.Tasks {
		t := &view.Tasks[i]
		h.event(timeline.Event{Type: timeline.RequestAnswered, Team: job.Team, Task: t.ID, Kind: string(t.State)})
	}
	if !view.Spec.Kind.IsDurable() && view.State() == task.NotRun {
		h.ledger.Forget(job)
	}
}

// forget drops a call whose caller has gone.
func (h *home) forget(token uint64) { delete(h.calls, token) }

// step continues work that waited for a commit.
func (h *home) step(s ledger.Step) {
	shard := h.shardOf(s.Job)
	record, ok := h.ledger.Find(shard, s.Job)
	if !ok {
		return
	}
	switch s.Kind {
	case ledger.StepAccepted:
		h.accepted(record)
		h.settle(s.Job)
		h.answerOrWait(s.Token, s.Job)
	case ledger.StepAnswer:
		h.answerOrWait(s.Token, s.Job)
	case ledger.StepDispatch:
		h.place(s.Job, record, s.Index)
	case ledger.StepPermitted:
		h.event(timeline.Event{Type: timeline.IntentCommitted, Team: s.Job.Team, Task: record.Tasks[s.Index].ID,
			Attempt: record.Tasks[s.Index].Attempt, Worker: record.Tasks[s.Index].Worker})
		h.reply(s.Token, PermitReply{Granted: !record.Cancelled})
	case ledger.StepFinished:
		h.settle(s.Job)
		h.recorded(s.Token)
	}
}

// send makes a call to another instance or to this one.
func (h *home) send(to membership.Member, req PeerRequest) {
	h.emit(Send{To: to, Request: req, Timeout: h.cfg.CallTimeout, SentAt: h.now})
}
