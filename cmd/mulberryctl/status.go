package main

import (
	"context"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
)

type statusCommand struct {
	Job  string        `arg:"" help:"Job, as <team>/<service>/<idempotency key>."`
	Wait time.Duration `help:"Wait up to this time for the job to end."`
}

// Help implements kong.HelpProvider.
func (statusCommand) Help() string {
	return `Examples:
  mulberryctl status leuven-pipes/nozzles/n-1042
  mulberryctl status leuven-pipes/nozzles/n-1042 --wait 30s --output json`
}

// Run prints the state of the job.
func (c statusCommand) Run(env *environment) error {
	return env.withCallerClient(c.Wait, func(ctx context.Context, callerClient *client.Client) error {
		job, err := c.fetch(ctx, callerClient)
		if err != nil {
			return err
		}
		return env.showJob(job)
	})
}

func (c statusCommand) fetch(ctx context.Context, callerClient *client.Client) (api.Job, error) {
	if c.Wait > 0 {
		return callerClient.Wait(ctx, c.Job, c.Wait)
	}
	return callerClient.Status(ctx, c.Job)
}
