package main

import (
	"context"
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/client"
)

type diffCommand struct {
	File string `arg:"" help:"File with a document, - for standard input."`
}

// Help implements kong.HelpProvider.
func (diffCommand) Help() string {
	return `Example:
  mulberryctl diff piping.jsonc

The exit code is 0 if the file and the document in force are the same, and 1 if
they differ.`
}

const exitDiffers = 1

// Run prints the fields that differ.
func (c diffCommand) Run(env *environment) error {
	source, err := readDocument(env, c.File)
	if err != nil {
		return err
	}
	return env.withOperatorClient(0, func(ctx context.Context, operatorClient *client.Client) error {
		diff, err := operatorClient.Diff(ctx, source.team, source.service, source.text)
		if err != nil {
			return err
		}
		lines := append([]string{fmt.Sprintf("revision %d is in force", diff.Revision)}, changeLines(diff.Changes)...)
		if err := env.show(diff, lines...); err != nil {
			return err
		}
		if len(diff.Changes) > 0 {
			return exitError{exitDiffers}
		}
		return nil
	})
}
