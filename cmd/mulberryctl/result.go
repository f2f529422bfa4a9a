package main

import (
	"context"
	"os"

	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

type resultCommand struct {
	Job   string `arg:"" help:"Job, as <team>/<service>/<idempotency key>."`
	Index int    `help:"Index of the task in the job." default:"0"`
	To    string `help:"File to write; standard output by default." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (resultCommand) Help() string {
	return `Examples:
  mulberryctl result leuven-pipes/nozzles/n-1042
  mulberryctl result leuven-pipes/flexibility/run-77 --index 3 --to run-77-3.json

The result is written unchanged, regardless of --output. Nothing is written if its
length or digest is wrong.`
}

const resultFileMode = 0o600

// Run writes the result.
func (c resultCommand) Run(env *environment) error {
	return env.withCallerClient(0, func(ctx context.Context, callerClient *client.Client) error {
		result, err := callerClient.Result(ctx, c.Job, c.Index)
		if err != nil {
			return err
		}
		return c.write(env, result.Data)
	})
}

func (c resultCommand) write(env *environment, data []byte) error {
	if c.To == "" {
		_, err := env.stdout.Write(data)
		return err
	}
	if err := os.WriteFile(c.To, data, resultFileMode); err != nil {
		return errkind.New(errkind.InvalidRequest, "write result: %v", err).WithField("to", "a writable file")
	}
	return nil
}
