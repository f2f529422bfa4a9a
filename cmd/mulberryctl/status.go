package main

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
)

type statusCommand struct {
	Job  string        `arg:"" help:"Job, as <team>/<service>/<idempotency key>."`
	Wait time.Duration `help:"Wait for the end of the job for up to this time."`
}

// Help shows how to use the command.
func (statusCommand) Help() string {
	return `Examples:
  mulberryctl status leuven-pipes/nozzles/n-1042
  mulberryctl status leuven-pipes/nozzles/n-1042 --wait 30s --output json`
}

// Run prints the state of the job.
func (c statusCommand) Run(env *environment) error {
	callers, ctx, cancel, err := env.caller(c.Wait)
	if err != nil {
		return err
	}
	defer cancel()
	defer callers.Close()
	var job api.Job
	if c.Wait > 0 {
		job, err = callers.Wait(ctx, c.Job, c.Wait)
	} else {
		job, err = callers.Status(ctx, c.Job)
	}
	if err != nil {
		return err
	}
	return env.showJob(job)
}
