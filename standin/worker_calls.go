package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// start starts a new attempt. It is idempotent: for an attempt that was started before, it returns
// the existing record, or nil if the attempt has been acknowledged. A rejection would mean that the
// attempt did not run.
func (m *machine) start(now time.Time, req worker.StartRequest) (*record, *worker.Rejection) {
	if r := m.records[req.Attempt]; r != nil {
		return r, nil
	}
	if t, ok := m.tombstoneOf(now, req.Attempt); ok && t.ran {
		return nil, nil
	}
	cmd, rejection := m.admit(now, req)
	if rejection != nil {
		return nil, rejection
	}
	r := &record{
		report: worker.TaskReport{
			Attempt: req.Attempt, Team: req.Team, Class: req.Class, Size: req.Size,
			State: worker.Running, HomeInstance: req.HomeInstance, LeaseUntil: req.LeaseUntil,
		},
		result: cmd.result, exitCode: cmd.exitCode, startedAt: now, startBy: req.StartBy,
		runIndex: len(m.ledger.Runs), ended: make(chan struct{}),
	}
	if !cmd.forever {
		r.endsAt = now.Add(cmd.duration)
	}
	m.used = m.used.Add(req.Size)
	m.records[req.Attempt] = r
	m.running[req.Attempt] = r
	m.markChanged(r)
	m.ledger.Runs = append(m.ledger.Runs, oracle.Run{
		Worker: m.config.Name, BootID: m.bootID, Attempt: req.Attempt, Team: req.Team,
		Class: req.Class, Size: req.Size, Owner: req.Owner, Epoch: req.Epoch,
		Start: wallTime(now), State: string(worker.Running), PayloadDigest: worker.Digest(req.Payload),
	})
	m.advance(now)
	return r, nil
}

// admit checks that a start is valid and fits into the free capacity, and returns its parsed
// command.
func (m *machine) admit(now time.Time, req worker.StartRequest) (command, *worker.Rejection) {
	if req.Attempt.Task == "" || req.Attempt.Number == 0 || req.Size.HasNegative() {
		return command{}, m.reject(now, worker.ReasonInvalid, "invalid attempt %s or size %s", req.Attempt, req.Size)
	}
	cmd, err := parseCommand(req.Command, req.Attempt, req.Payload)
	if err != nil {
		return command{}, m.reject(now, worker.ReasonInvalid, "%v", err)
	}
	if m.failTasks {
		cmd = command{exitCode: 1}
	}
	if rejection := m.checkValidity(now, req); rejection != nil {
		return command{}, rejection
	}
	if rejection := m.checkEpoch(now, req.Epoch); rejection != nil {
		return command{}, rejection
	}
	if _, stopped := m.tombstoneOf(now, req.Attempt); stopped {
		return command{}, m.reject(now, worker.ReasonCancelled, "attempt %s was stopped before its start", req.Attempt)
	}
	if free := m.config.Capacity.Sub(m.used); !req.Size.Fits(free) {
		m.ledger.RejectedStarts = append(m.ledger.RejectedStarts, oracle.RejectedStart{
			Attempt: req.Attempt, Size: req.Size, Used: m.used, Epoch: req.Epoch, At: wallTime(now),
		})
		return command{}, m.reject(now, worker.ReasonOverCapacity, "free capacity is %s, the attempt needs %s", free, req.Size)
	}
	return cmd, nil
}

// checkValidity checks the boot id, start_by and the lease of a start.
func (m *machine) checkValidity(now time.Time, req worker.StartRequest) *worker.Rejection {
	clock := m.clock(now)
	switch {
	case m.config.IgnoreValidity:
		return nil
	case req.BootID != m.bootID:
		return m.reject(now, worker.ReasonOtherBoot, "start is for boot %q, the current boot is %q", req.BootID, m.bootID)
	case clock > req.StartBy:
		return m.reject(now, worker.ReasonPastStartBy, "start was valid until %s, the clock is at %s", req.StartBy, clock)
	case clock >= req.LeaseUntil:
		return m.reject(now, worker.ReasonPastStartBy, "lease ended at %s, the clock is at %s", req.LeaseUntil, clock)
	}
	return nil
}

// checkEpoch fences former owners: it rejects an epoch lower than the highest one received, and
// records a higher one.
func (m *machine) checkEpoch(now time.Time, epoch uint64) *worker.Rejection {
	if epoch < m.epoch && !m.config.IgnoreEpoch {
		return m.reject(now, worker.ReasonLowerEpoch, "epoch %d is below %d", epoch, m.epoch)
	}
	m.epoch = max(m.epoch, epoch)
	return nil
}

func (m *machine) reject(now time.Time, reason worker.Reason, format string, args ...any) *worker.Rejection {
	return &worker.Rejection{
		Reason: reason, Message: fmt.Sprintf(format, args...),
		Clock: m.clock(now), BootID: m.bootID,
	}
}

// startReply returns the reply for a started attempt. r is nil if the attempt has already been
// acknowledged.
func (m *machine) startReply(now time.Time, r *record) worker.StartReply {
	reply := worker.StartReply{Started: true, Clock: m.clock(now), BootID: m.bootID}
	if r == nil || r.report.Outcome == nil {
		return reply
	}
	outcome := *r.report.Outcome
	reply.ResultBytes = r.report.ResultBytes
	if reply.ResultBytes <= worker.MaxInlineResultBytes {
		outcome.Result = r.result
	}
	reply.Outcome = &outcome
	return reply
}

// sync renews leases, deletes acknowledged attempts and returns a report.
func (m *machine) sync(now time.Time, req worker.SyncRequest) (worker.SyncReply, *worker.Rejection) {
	if rejection := m.checkEpoch(now, req.Epoch); rejection != nil {
		return worker.SyncReply{}, rejection
	}
	sameBoot := req.BootID == m.bootID
	if sameBoot {
		m.renew(req.LeaseUntil)
		m.acknowledge(req.Acknowledge)
	}
	m.updateUsage(now)
	full := req.Full || !sameBoot || req.AfterSequence > m.sequence
	return worker.SyncReply{
		Worker: m.config.Name, BootID: m.bootID, Clock: m.clock(now), Sequence: m.sequence, Full: full,
		Capacity: m.config.Capacity, Leaving: m.leaving, Tasks: m.reports(full, req.AfterSequence),
	}, nil
}

// renew extends the leases of all running tasks to until.
func (m *machine) renew(until time.Duration) {
	for _, r := range m.running {
		r.report.LeaseUntil = max(r.report.LeaseUntil, until)
	}
}

// acknowledge deletes the records of ended attempts and adds tombstones for them, so that a
// repeated start does not run them again.
func (m *machine) acknowledge(attempts []task.Attempt) {
	for _, a := range attempts {
		r := m.records[a]
		if r == nil || r.report.State == worker.Running {
			continue
		}
		delete(m.records, a)
		m.tombstones[a] = tombstone{until: r.startBy, ran: true}
	}
}

// reports returns the reports of the attempts that changed after the given sequence number, or of
// all attempts if full is set, in the order of their changes.
func (m *machine) reports(full bool, after uint64) []worker.TaskReport {
	var changed []*record
	for _, r := range m.records {
		if full || r.changeSequence > after {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.changeSequence, b.changeSequence) })
	reports := make([]worker.TaskReport, 0, len(changed))
	for _, r := range changed {
		reports = append(reports, r.report)
	}
	return reports
}

// lookup returns the state of one attempt.
func (m *machine) lookup(now time.Time, a task.Attempt) worker.LookupReply {
	reply := worker.LookupReply{Clock: m.clock(now), BootID: m.bootID}
	if r := m.records[a]; r != nil {
		reply.Found, reply.Report = true, r.report
	}
	return reply
}

// stop ends a running attempt, or adds a tombstone for one whose start has not arrived yet.
func (m *machine) stop(now time.Time, req worker.StopRequest) (worker.LookupReply, *worker.Rejection) {
	if rejection := m.checkEpoch(now, req.Epoch); rejection != nil {
		return worker.LookupReply{}, rejection
	}
	r := m.records[req.Attempt]
	if r == nil {
		m.addTombstone(req)
		return m.lookup(now, req.Attempt), nil
	}
	if r.report.State == worker.Running {
		m.end(now, r, worker.Stopped, string(errkind.Cancelled))
	}
	return m.lookup(now, req.Attempt), nil
}

// addTombstone adds a tombstone for a stopped attempt, or extends its validity. A start for another
// boot needs none, because it is rejected anyway.
func (m *machine) addTombstone(req worker.StopRequest) {
	t, known := m.tombstones[req.Attempt]
	if req.BootID != m.bootID && !m.config.IgnoreValidity || known && t.ran {
		return
	}
	if !known || req.StartBy > t.until {
		m.tombstones[req.Attempt] = tombstone{until: req.StartBy}
	}
}

// tombstoneOf returns the tombstone of an attempt, and whether it is still valid.
func (m *machine) tombstoneOf(now time.Time, a task.Attempt) (tombstone, bool) {
	t, known := m.tombstones[a]
	return t, known && t.until >= m.clock(now)
}

// checkpoint saves the state of a running attempt and ends it.
func (m *machine) checkpoint(now time.Time, req worker.CheckpointRequest) (worker.LookupReply, *worker.Rejection) {
	if rejection := m.checkEpoch(now, req.Epoch); rejection != nil {
		return worker.LookupReply{}, rejection
	}
	if r := m.running[req.Attempt]; r != nil {
		m.end(now, r, worker.Checkpointed, string(errkind.Cancelled))
	}
	return m.lookup(now, req.Attempt), nil
}

// result returns the result of a finished attempt.
func (m *machine) result(now time.Time, a task.Attempt) ([]byte, string, *worker.Rejection) {
	r := m.records[a]
	if r == nil || r.report.Outcome == nil {
		return nil, "", m.reject(now, worker.ReasonNotAvailable, "attempt %s is unknown or has no result", a)
	}
	return r.result, r.report.Outcome.Digest, nil
}
