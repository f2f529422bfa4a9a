package main

import (
	"context"

	"github.com/mulberrydrum/mulberrydrum/client"
)

type getCommand struct {
	Team    string `arg:"" optional:"" help:"Team; without it, all documents are listed."`
	Service string `arg:"" optional:"" help:"Service; without it, the document of the whole team is shown."`
}

// Help implements kong.HelpProvider.
func (getCommand) Help() string {
	return `Examples:
  mulberryctl get
  mulberryctl get dijle-engineering
  mulberryctl get dijle-engineering piping > piping.jsonc

The first line of the output is the revision of the document, which apply reads.`
}

// Run prints the document or the list.
func (c getCommand) Run(env *environment) error {
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		if c.Team == "" {
			return c.list(ctx, env, operatorClient)
		}
		document, err := operatorClient.Document(ctx, c.Team, c.Service)
		if err != nil {
			return err
		}
		if env.Output == "json" {
			return env.show(document)
		}
		_, err = env.stdout.Write(withRevision(document))
		return err
	})
}

func (getCommand) list(ctx context.Context, env *environment, operatorClient *client.Client) error {
	list, err := operatorClient.Documents(ctx)
	if err != nil {
		return err
	}
	lines := make([]string, len(list.Documents))
	for i, d := range list.Documents {
		lines[i] = documentLine(d)
	}
	return env.show(list, lines...)
}
