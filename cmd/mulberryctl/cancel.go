package main

import (
	"context"

	"github.com/mulberrydrum/mulberrydrum/client"
)

type cancelCommand struct {
	Job string `arg:"" help:"Job, as <team>/<service>/<idempotency key>."`
}

// Help shows how to use the command.
func (cancelCommand) Help() string {
	return `Example:
  mulberryctl cancel leuven-pipes/flexibility/run-77`
}

// Run cancels the job and prints its state. A job that is cancelled is what
// was asked for, so its end is no error here.
func (c cancelCommand) Run(env *environment) error {
	return env.asCaller(0, func(ctx context.Context, callers *client.Client) error {
		job, err := callers.Cancel(ctx, c.Job)
		if err != nil {
			return err
		}
		return env.show(job, jobLines(job)...)
	})
}
