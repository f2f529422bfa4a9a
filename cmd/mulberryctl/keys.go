package main

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/task"
)

type keysCommand struct {
	Grant    keysGrantCommand    `cmd:"" help:"Create a key and print its secret, which cannot be shown again."`
	Withdraw keysWithdrawCommand `cmd:"" help:"Withdraw a key. Every entry instance refuses it within seconds, and its queued work is not run."`
	List     keysListCommand     `cmd:"" help:"List keys, without their secrets."`
}

type keysGrantCommand struct {
	Team string `arg:"" help:"Team that the key may submit work for."`
	Role string `help:"Role, for classes with may_submit."`
	Note string `help:"Note for other operators."`
}

// Help implements kong.HelpProvider.
func (keysGrantCommand) Help() string {
	return `Example:
  mulberryctl keys grant dijle-engineering --role responsible-engineer --note "report server"`
}

// Run creates the key.
func (c keysGrantCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		granted, err := operatorClient.GrantKey(ctx, api.GrantRequest{Team: task.Team(c.Team), Role: c.Role, Note: c.Note})
		if err != nil {
			return err
		}
		return env.show(granted, "id\t"+granted.ID, "secret\t"+granted.Secret)
	})
}

type keysWithdrawCommand struct {
	Team string `arg:"" help:"Team of the key."`
	ID   string `arg:"" help:"ID of the key, as shown by keys list."`
}

// Help implements kong.HelpProvider.
func (keysWithdrawCommand) Help() string {
	return `Example:
  mulberryctl keys withdraw dijle-engineering k-7f3a`
}

// Run withdraws the key.
func (c keysWithdrawCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		key, err := operatorClient.WithdrawKey(ctx, c.Team, c.ID)
		if err != nil {
			return err
		}
		return env.show(key, keyLine(key))
	})
}

type keysListCommand struct {
	Team string `arg:"" optional:"" help:"Team; all teams by default."`
}

// Help implements kong.HelpProvider.
func (keysListCommand) Help() string {
	return `Example:
  mulberryctl keys list dijle-engineering`
}

// Run lists the keys.
func (c keysListCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		list, err := operatorClient.Keys(ctx, c.Team)
		if err != nil {
			return err
		}
		lines := []string{"TEAM\tID\tROLE\tGRANTED\tWITHDRAWN\tNOTE"}
		for _, key := range list.Keys {
			lines = append(lines, keyLine(key))
		}
		return env.show(list, lines...)
	})
}

func keyLine(k api.Key) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", k.Team, k.ID, orNone(k.Role), formatTime(k.GrantedAt), formatTime(k.WithdrawnAt), k.Note)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}
