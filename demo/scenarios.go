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

// submitTwice submits the same at-most-once job to two instances concurrently, like a
// caller that retries because it received no reply.
func submitTwice(ctx context.Context, s *session) (string, bool) {
	j := job{team: leuven, service: "piping", class: "stress-report", idempotencyKey: "report-1"}.withDefaults()
	type result struct {
		job api.Job
		err error
	}
	results := make(chan result, 1)
	go func() {
		reply, err := s.submit(ctx, j, requestTimeout)
		results <- result{reply, err}
	}()
	retry := j
	retry.instance = 5
	second, err := s.submit(ctx, retry, requestTimeout)
	first := <-results
	if err != nil || first.err != nil {
		return fmt.Sprintf("%v, %v", err, first.err), false
	}
	if !j.outcomeMatches(second) || !j.outcomeMatches(first.job) {
		return describeJob(first.job) + "; " + describeJob(second), false
	}
	firstTask, secondTask := first.job.Tasks[0], second.Tasks[0]
	runs := s.countTaskRuns(firstTask.ID)
	sameAttempt := firstTask.ID == secondTask.ID && firstTask.Attempt == secondTask.Attempt && firstTask.Digest == secondTask.Digest
	oneRepeated := first.job.Repeated != second.Repeated
	return fmt.Sprintf("%d run, both with attempt %d, one repeated: %t", runs, firstTask.Attempt, oneRepeated), sameAttempt && runs == 1 && oneRepeated
}

// countTaskRuns counts the runs of a task in the ledgers of all workers.
func (s *session) countTaskRuns(id task.ID) int {
	return s.countRuns(func(otherID task.ID) bool { return otherID == id })
}

// countRuns counts the runs in the ledgers of all workers for whose task matches returns
// true. It returns -1 if a ledger cannot be read.
func (s *session) countRuns(matches func(task.ID) bool) int {
	runs := 0
	for _, w := range s.cluster.Workers {
		workerLedger, err := w.Ledger()
		if err != nil {
			return -1
		}
		for _, r := range workerLedger.Runs {
			if matches(r.Attempt.Task) {
				runs++
			}
		}
	}
	return runs
}

// submitConflictingBody submits two different bodies with the same idempotency key.
func submitConflictingBody(ctx context.Context, s *session) (string, bool) {
	j := job{team: estrie, service: "shop", class: "parts-order", idempotencyKey: "order-1"}.withDefaults()
	if _, err := s.submit(ctx, j, requestTimeout); err != nil {
		return "first body: " + describeError(err), false
	}
	j.payload, j.instance = "another body", 3
	reply, err := s.submit(ctx, j, requestTimeout)
	if err == nil {
		return describeJob(reply), false
	}
	return describeError(err), isRefusal(err, errkind.IdempotencyConflict)
}

// cancelService starts a long-running service, cancels it and waits until it has ended.
func cancelService(ctx context.Context, s *session) (string, bool) {
	j := job{team: leuven, service: "piping", class: "span-tables"}.withDefaults()
	started, err := s.submit(ctx, j, 0)
	if err != nil {
		return describeError(err), false
	}
	for ctx.Err() == nil && s.countTaskRuns(started.Tasks[0].ID) == 0 {
		sleep(ctx, pollInterval)
	}
	caller := s.callerClient(j)
	defer caller.Close()
	if _, err := caller.Cancel(ctx, started.ID); err != nil {
		return "cancel: " + describeError(err), false
	}
	reply, err := caller.Wait(ctx, started.ID, requestTimeout)
	if err != nil {
		return "wait: " + describeError(err), false
	}
	t := reply.Tasks[0]
	runs := s.countTaskRuns(t.ID)
	return fmt.Sprintf("%d run, %s, %s", runs, t.State, t.Reason), runs == 1 && t.State == task.Finished && t.Reason == string(errkind.Cancelled)
}

// exceedDeadline submits a job that runs past its deadline. The reply may be "not run"
// only if no worker started the job.
func exceedDeadline(ctx context.Context, s *session) (string, bool) {
	j := job{team: leuven, service: "piping", class: "slow-lookup"}.withDefaults()
	caller := s.callerClient(j)
	defer caller.Close()
	reply, err := caller.Submit(ctx, j.team, j.service, api.SubmitRequest{IdempotencyKey: j.idempotencyKey, Class: j.class,
		Payload: []byte(j.payload), Deadline: time.Now().Add(time.Second)}, requestTimeout)
	if err == nil {
		return describeJob(reply), false
	}
	runs := s.countRuns(func(id task.ID) bool {
		key, _, ok := ledger.ParseTaskID(id)
		return ok && key.Key == j.idempotencyKey
	})
	asPromised := isRefusal(err, errkind.OutcomeUnknown) && runs <= 1 || isRefusal(err, errkind.DeadlineExceeded) && runs == 0
	return fmt.Sprintf("%s; %d run", describeError(err), runs), asPromised
}

// withdrawKey grants a key, uses it, withdraws it, and submits jobs to each instance until
// all of them refuse the key.
func withdrawKey(ctx context.Context, s *session) (string, bool) {
	operator := s.operatorClient()
	defer operator.Close()
	granted, err := operator.GrantKey(ctx, api.GrantRequest{Team: leuven, Note: "to be withdrawn"})
	if err != nil {
		return "grant: " + describeError(err), false
	}
	j := job{team: leuven, service: "piping", class: "span-lookup", secret: granted.Secret}.withDefaults()
	if err := s.waitUntilAccepted(ctx, j); err != nil {
		return "first use: " + describeError(err), false
	}
	withdrawnAt := time.Now()
	if _, err := operator.WithdrawKey(ctx, leuven, granted.ID); err != nil {
		return "withdraw: " + describeError(err), false
	}
	for i := range s.cluster.Entries {
		j.instance, j.idempotencyKey = i, fmt.Sprintf("withdrawn-%d", i)
		for _, err := s.submit(ctx, j, requestTimeout); !isRefusal(err, errkind.KeyWithdrawn); _, err = s.submit(ctx, j, requestTimeout) {
			if time.Since(withdrawnAt) > keyFreshness {
				return fmt.Sprintf("instance %d: %v", i, err), false
			}
			sleep(ctx, pollInterval)
		}
	}
	return fmt.Sprintf("%s by all after %.2f s", errkind.KeyWithdrawn, time.Since(withdrawnAt).Seconds()), time.Since(withdrawnAt) <= keyFreshness
}

// waitUntilAccepted repeats a submission until the instance accepts the key of j, which
// has only just been granted.
func (s *session) waitUntilAccepted(ctx context.Context, j job) error {
	j.idempotencyKey = "withdrawn-key"
	for {
		reply, err := s.submit(ctx, j, requestTimeout)
		switch {
		case err == nil && j.outcomeMatches(reply):
			return nil
		case err == nil:
			return errkind.New(errkind.Internal, "%s", describeJob(reply))
		case ctx.Err() != nil || errkind.From(err).Kind != errkind.KeyRefused:
			return err
		}
		sleep(ctx, pollInterval)
	}
}
