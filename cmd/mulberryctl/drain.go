package main

import (
	"context"
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
)

type drainCommand struct {
	Instance string `help:"Entry instance that hands over its units and then stops." xor:"what" required:""`
	Worker   string `help:"Worker that receives no more tasks." xor:"what" required:""`
	Undo     bool   `help:"Put a worker back into service, or let the next process of an entry instance start without draining."`
}

// Help implements kong.HelpProvider.
func (drainCommand) Help() string {
	return `Examples:
  mulberryctl drain --worker worker-flanders-17
  mulberryctl drain --worker worker-flanders-17 --undo
  mulberryctl drain --instance entry-flanders-1`
}

// Run starts or ends the drain.
func (c drainCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		drain, err := operatorClient.Drain(ctx, api.DrainRequest{Instance: c.Instance, Worker: c.Worker, Undo: c.Undo})
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%s\tdraining: %t\t%d tasks running\t%d units owned\t%s", drain.Name, drain.Draining, drain.Tasks, drain.Units, drain.Detail)
		return env.show(drain, line)
	})
}
