package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

type submitCommand struct {
	Team    string `arg:"" help:"Team that the work is for."`
	Service string `arg:"" help:"Service of the team."`
	Class   string `arg:"" help:"Class of work that the document of the service defines."`

	IdempotencyKey string        `help:"Idempotency key: a repeated submission with the same key returns this job. By default, a random key is generated and printed."`
	Payload        string        `help:"File with the input of the work, - for standard input." placeholder:"FILE"`
	Count          int           `help:"Number of tasks in the job." default:"1"`
	CPU            int64         `name:"cpu-milli" help:"CPU for each task, in thousandths of a core."`
	Memory         int64         `name:"memory-mb" help:"Memory for each task, in MB."`
	Accelerators   int64         `help:"Accelerators for each task."`
	Slots          int64         `help:"Slots for each task."`
	Connections    int64         `help:"Connections for each task."`
	DeclaredRun    time.Duration `help:"Expected run time."`
	StartWithin    time.Duration `help:"Refuse the job if it cannot start or answer within this time."`
	ReviewBy       time.Time     `help:"Time by which the job must be finished, such as 2026-05-04T09:30:00Z."`
	Region         []string      `help:"Allowed regions, nearest first."`
	Wait           time.Duration `help:"Wait up to this time for the job to end."`
}

// Help implements kong.HelpProvider.
func (submitCommand) Help() string {
	return `Examples:
  mulberryctl submit leuven-pipes nozzles load-check --payload check.json --idempotency-key n-1042
  mulberryctl submit leuven-pipes supports span-lookup --payload span.json --wait 2s --start-within 1s`
}

// Run submits the job and prints its state.
func (c submitCommand) Run(env *environment) error {
	request, err := c.request(env)
	if err != nil {
		return err
	}
	return env.withCallerClient(c.Wait, func(ctx context.Context, callerClient *client.Client) error {
		job, err := callerClient.Submit(ctx, c.Team, c.Service, request, c.Wait)
		if err != nil {
			return err
		}
		return env.showJob(job)
	})
}

func (c submitCommand) request(env *environment) (api.SubmitRequest, error) {
	payload, err := readInput(env, c.Payload)
	if err != nil {
		return api.SubmitRequest{}, err
	}
	request := api.SubmitRequest{
		IdempotencyKey: c.IdempotencyKey,
		Class:          c.Class,
		Count:          c.Count,
		DeclaredRun:    api.Duration(c.DeclaredRun),
		ReviewBy:       c.ReviewBy,
		Regions:        c.Region,
		Payload:        payload,
	}
	if request.IdempotencyKey == "" {
		request.IdempotencyKey = rand.Text()
		// Printed before the call, so that the job can be looked up if no reply arrives.
		_, _ = fmt.Fprintf(env.stderr, "idempotency key: %s\n", request.IdempotencyKey)
	}
	if c.StartWithin > 0 {
		request.Deadline = time.Now().Add(c.StartWithin)
	}
	size := task.Resources{CPUMilli: c.CPU, MemoryMB: c.Memory, Accelerators: c.Accelerators, Slots: c.Slots, Connections: c.Connections}
	if !size.IsZero() {
		request.Size = &size
	}
	return request, nil
}

// readInput reads the file with this name, or standard input if the name is "-". It
// returns nil if the name is empty.
func readInput(env *environment, name string) ([]byte, error) {
	var data []byte
	var err error
	switch name {
	case "":
		return nil, nil
	case "-":
		data, err = io.ReadAll(env.stdin)
	default:
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "read input file: %v", err).WithField(name, "a readable file")
	}
	return data, nil
}
