package main

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
)

type ownershipCommand struct {
	Force ownershipForceCommand `cmd:"" help:"Let any member take over a unit whose owner and successors are gone."`
}

type ownershipForceCommand struct {
	Unit   string `arg:"" help:"Worker partition w/<region>/<n>, or request shard h/<n>."`
	Reason string `help:"Reason to be recorded." required:""`
}

// Help implements kong.HelpProvider.
func (ownershipForceCommand) Help() string {
	return `Example:
  mulberryctl ownership force w/flanders/2 --reason "power of leuven-a and leuven-b lost"

The member that takes over waits until the old owner can no longer act. Use the
command only if the owner and its successors are known to be gone.`
}

// Run forces the takeover.
func (c ownershipForceCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		forced, err := operatorClient.ForceOwnership(ctx, api.ForceOwnershipRequest{Unit: c.Unit, Reason: c.Reason})
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%s\towner %s\tepoch %d\tafter %s", forced.Unit, orNone(forced.Owner), forced.Epoch, time.Duration(forced.TakeoverDelay))
		return env.show(forced, line)
	})
}
