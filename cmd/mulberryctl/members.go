package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
)

type membersCommand struct {
	Units bool `help:"Print the names of the units instead of their number."`
}

// Help implements kong.HelpProvider.
func (membersCommand) Help() string {
	return `Examples:
  mulberryctl members
  mulberryctl members --units

REVISION is the configuration revision that the member reported in its last
digest. An instance that is in the platform's instance list but not in this one
has no store lease.`
}

// Run lists the members.
func (c membersCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		list, err := operatorClient.Members(ctx)
		if err != nil {
			return err
		}
		lines := []string{"INSTANCE\tSTATE\tREGION\tDOMAIN\tADDRESS\tREVISION\tUNITS"}
		for _, m := range list.Members {
			lines = append(lines, c.line(m))
		}
		return env.show(list, lines...)
	})
}

func (c membersCommand) line(m api.Member) string {
	state := "live"
	if m.Draining {
		state = "draining"
	}
	units := fmt.Sprint(len(m.Units))
	if c.Units {
		units = strings.Join(m.Units, " ")
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%s", m.Instance, state, m.Region, m.FailureDomain, m.Address, m.Revision, units)
}
