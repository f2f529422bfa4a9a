package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// repeated submits work that must run at most once through two instances at the
// same time, as a caller does that had no answer to its first try.
func repeated(ctx context.Context, s *session) (string, bool) {
	j := job{team: leuven, service: "piping", class: "stress-report", idempotencyKey: "report-1"}.withDefaults()
	type reply struct {
		job api.Job
		err error
	}
	first := make(chan reply, 1)
	go func() {
		done, err := s.submit(ctx, j, answerBound)
		first <- reply{done, err}
	}()
	again := j
	again.instance = 5
	second, err := s.submit(ctx, again, answerBound)
	other := <-first
	if err != nil || other.err != nil {
		return fmt.Sprintf("%v, %v", err, other.err), false
	}
	if !j.isMetBy(second) || !j.isMetBy(other.job) {
		return describe(other.job) + "; " + describe(second), false
	}
	a, b := other.job.Tasks[0], second.Tasks[0]
	runs := s.runsOfTask(a.ID)
	same := a.ID == b.ID && a.Attempt == b.Attempt && a.Digest == b.Digest
	oneRepeats := other.job.Repeated != second.Repeated
	return fmt.Sprintf("%d run, both with attempt %d, one repeated: %t", runs, a.Attempt, oneRepeats), same && runs == 1 && oneRepeats
}

// runsOfTask counts the runs of a task in the ledgers of all workers.
func (s *session) runsOfTask(id task.ID) int {
	return s.runsOf(func(other task.ID) bool { return other == id })
}

func (s *session) runsOf(isCounted func(task.ID) bool) int {
	runs := 0
	for _, w := range s.cluster.Workers {
		kept, err := w.Ledger()
		if err != nil {
			return -1
		}
		for _, r := range kept.Runs {
			if isCounted(r.Attempt.Task) {
				runs++
			}
		}
	}
	return runs
}

// otherBody submits a second body under the idempotency key of a first one.
func otherBody(ctx context.Context, s *session) (string, bool) {
	j := job{team: estrie, service: "shop", class: "parts-order", idempotencyKey: "order-1"}.withDefaults()
	if _, err := s.submit(ctx, j, answerBound); err != nil {
		return "first body: " + observedError(err), false
	}
	j.payload, j.instance = "another body", 3
	done, err := s.submit(ctx, j, answerBound)
	if err == nil {
		return describe(done), false
	}
	return observedError(err), isRefusal(err, errkind.IdempotencyConflict)
}

// cancelled runs a long-lived service, cancels it and waits for its end.
func cancelled(ctx context.Context, s *session) (string, bool) {
	j := job{team: leuven, service: "piping", class: "span-tables"}.withDefaults()
	started, err := s.submit(ctx, j, 0)
	if err != nil {
		return observedError(err), false
	}
	for ctx.Err() == nil && s.runsOfTask(started.Tasks[0].ID) == 0 {
		pause(ctx, pollEvery)
	}
	caller := s.caller(j)
	defer caller.Close()
	if _, err := caller.Cancel(ctx, started.ID); err != nil {
		return "cancel: " + observedError(err), false
	}
	done, err := caller.Wait(ctx, started.ID, answerBound)
	if err != nil {
		return "wait: " + observedError(err), false
	}
	t := done.Tasks[0]
	runs := s.runsOfTask(t.ID)
	return fmt.Sprintf("%d run, %s, %s", runs, t.State, t.Reason), runs == 1 && t.State == task.Finished && t.Reason == string(errkind.Cancelled)
}

// deadlinePassed asks for an answer that takes longer than its deadline. "Not
// run" is promised only of work that no worker started.
func deadlinePassed(ctx context.Context, s *session) (string, bool) {
	j := job{team: leuven, service: "piping", class: "slow-lookup"}.withDefaults()
	caller := s.caller(j)
	defer caller.Close()
	done, err := caller.Submit(ctx, j.team, j.service, api.SubmitRequest{IdempotencyKey: j.idempotencyKey, Class: j.class,
		Payload: []byte(j.payload), Deadline: time.Now().Add(time.Second)}, answerBound)
	if err == nil {
		return describe(done), false
	}
	runs := s.runsOf(func(id task.ID) bool {
		key, _, ok := ledger.ParseID(id)
		return ok && key.Key == j.idempotencyKey
	})
	kept := isRefusal(err, errkind.OutcomeUnknown) && runs <= 1 || isRefusal(err, errkind.DeadlineExceeded) && runs == 0
	return fmt.Sprintf("%s; %d run", observedError(err), runs), kept
}

// withdrawnKey uses a key, has an operator withdraw it, and asks every instance
// until all refuse it.
func withdrawnKey(ctx context.Context, s *session) (string, bool) {
	operator := s.operator()
	defer operator.Close()
	granted, err := operator.GrantKey(ctx, api.GrantRequest{Team: leuven, Note: "to be withdrawn"})
	if err != nil {
		return "grant: " + observedError(err), false
	}
	j := job{team: leuven, service: "piping", class: "span-lookup", secret: granted.Secret}.withDefaults()
	if err := s.useKey(ctx, j); err != nil {
		return "first use: " + observedError(err), false
	}
	withdrawnAt := time.Now()
	if _, err := operator.WithdrawKey(ctx, leuven, granted.ID); err != nil {
		return "withdraw: " + observedError(err), false
	}
	for i := range s.cluster.Entries {
		j.instance, j.idempotencyKey = i, fmt.Sprintf("withdrawn-%d", i)
		for _, err := s.submit(ctx, j, answerBound); !isRefusal(err, errkind.KeyWithdrawn); _, err = s.submit(ctx, j, answerBound) {
			if time.Since(withdrawnAt) > keyFreshness {
				return fmt.Sprintf("instance %d: %v", i, err), false
			}
			pause(ctx, pollEvery)
		}
	}
	return fmt.Sprintf("%s by all after %.2f s", errkind.KeyWithdrawn, time.Since(withdrawnAt).Seconds()), time.Since(withdrawnAt) <= keyFreshness
}

// useKey submits until the key, which was just granted, is known.
func (s *session) useKey(ctx context.Context, j job) error {
	j.idempotencyKey = "withdrawn-key"
	for {
		done, err := s.submit(ctx, j, answerBound)
		switch {
		case err == nil && j.isMetBy(done):
			return nil
		case err == nil:
			return errkind.New(errkind.Internal, "%s", describe(done))
		case ctx.Err() != nil || errkind.From(err).Kind != errkind.KeyRefused:
			return err
		}
		pause(ctx, pollEvery)
	}
}
