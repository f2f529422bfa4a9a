package main

import (
	"context"
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
)

type sharesCommand struct{}

// Help implements kong.HelpProvider.
func (sharesCommand) Help() string {
	return `Example:
  mulberryctl shares

A lowered limit is pending until the running tasks of the team fit within it.`
}

// Run lists the shares.
func (sharesCommand) Run(env *environment) error {
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
