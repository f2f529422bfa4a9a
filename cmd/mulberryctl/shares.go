package main

import (
	"context"
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
)

type sharesCommand struct {
	Metrics []string `help:"Addresses (host:port) of the metrics of platform instances, to show the past use that the owner among them tracks." placeholder:"ADDRESS"`
}

// Help implements kong.HelpProvider.
func (sharesCommand) Help() string {
	return `Example:
  mulberryctl shares
  mulberryctl shares --metrics 127.0.0.1:8101 --metrics 127.0.0.2:8101

A lowered limit is pending until the running tasks of the team fit within it.

With --metrics, the command shows for each team the average share of the capacity
that it used in its dominant resource, and by how much its waiting work is delayed
in the order of placement.`
}

// Run lists the shares.
func (c sharesCommand) Run(env *environment) error {
	if len(c.Metrics) > 0 {
		return showPastUse(env, c.Metrics)
	}
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		list, err := operatorClient.Shares(ctx)
		if err != nil {
			return err
		}
		lines := []string{"TEAM\tWEIGHT\tENTITLED\tCURRENT\tDECAYED\tWAITING\tRUNNING\tLIMIT\tPENDING"}
		for _, s := range list.Shares {
			lines = append(lines, shareLine(s))
		}
		return env.show(list, lines...)
	})
}

func shareLine(s api.Share) string {
	pending := "-"
	if s.Pending != nil {
		pending = s.Pending.String()
	}
	return fmt.Sprintf("%s\t%g\t%.3f\t%.3f\t%.3f\t%d\t%s\t%s\t%s",
		s.Team, s.Weight, s.Entitled, s.Current, s.Decayed, s.Waiting, s.Running, s.Limit, pending)
}
