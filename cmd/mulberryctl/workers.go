package main

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/client"
)

type workersCommand struct{}

// Help implements kong.HelpProvider.
func (workersCommand) Help() string {
	return `Examples:
  mulberryctl workers
  mulberryctl workers --output json`
}

// Run lists the workers.
func (workersCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		list, err := operatorClient.Workers(ctx)
		if err != nil {
			return err
		}
		lines := []string{"WORKER\tSTATE\tREGION\tRACK\tPARTITION\tOWNER\tTASKS\tREPORT\tRESERVED\tCAPACITY"}
		for _, w := range list.Workers {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s ago\t%s\t%s",
				w.Name, w.State, w.Region, w.Rack, w.Partition, w.Owner, w.Tasks, time.Duration(w.ReportAge), w.Reserved, w.Capacity))
		}
		return env.show(list, lines...)
	})
}
