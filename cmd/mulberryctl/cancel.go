package main

import (
	"context"

	"github.com/mulberrydrum/mulberrydrum/client"
)

type cancelCommand struct {
	Job string `arg:"" help:"Job, as <team>/<service>/<idempotency key>."`
}

// Help implements kong.HelpProvider.
func (cancelCommand) Help() string {
	return `Example:
  mulberryctl cancel leuven-pipes/flexibility/run-77`
}

// Run cancels the job and prints its state. The exit code is 0 for a cancelled job,
// because cancellation is the requested outcome.
func (c cancelCommand) Run(env *environment) error {
	return env.withCallerClient(0, func(ctx context.Context, callerClient *client.Client) error {
		job, err := callerClient.Cancel(ctx, c.Job)
		if err != nil {
			return err
		}
		return env.show(job, jobLines(job)...)
	})
}
