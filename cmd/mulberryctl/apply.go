package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

type applyCommand struct {
	File   string        `arg:"" help:"File with the document, - for standard input."`
	Expect int64         `help:"Revision that the change is made to, 0 for a new document. By default the one in the first line that get prints, or else the one in force now." default:"-1"`
	Wait   time.Duration `help:"Wait for the change to be in force on every entry instance for up to this time."`
}

// Help shows how to use the command.
func (applyCommand) Help() string {
	return `Examples:
  mulberryctl get dijle-engineering piping > piping.jsonc
  $EDITOR piping.jsonc
  mulberryctl apply piping.jsonc --wait 11s

If another operator was faster, nothing is changed, their change is shown, and
the exit code is 6.`
}

// Run replaces the document.
func (c applyCommand) Run(env *environment) error {
	source, err := readDocument(env, c.File)
	if err != nil {
		return err
	}
	return env.asOperator(c.Wait, func(ctx context.Context, operators *client.Client) error {
		expected, err := c.expected(ctx, operators, source)
		if err != nil {
			return err
		}
		applied, err := operators.Apply(ctx, source.team, source.service, source.text, expected, c.Wait)
		if err != nil {
			return err
		}
		return env.show(applied, documentLine(applied))
	})
}

// expected is the revision that the change is made to: as told, as the file
// says, or the one in force.
func (c applyCommand) expected(ctx context.Context, operators *client.Client, source documentSource) (int64, error) {
	if c.Expect >= 0 {
		return c.Expect, nil
	}
	if source.hasRevision {
		return source.revision, nil
	}
	current, err := operators.Document(ctx, source.team, source.service)
	if err == nil || isMissing(err) {
		return current.Revision, nil
	}
	return 0, err
}

func isMissing(err error) bool {
	var e *errkind.Error
	return errors.As(err, &e) && (e.Kind == errkind.UnknownTeam || e.Kind == errkind.UnknownService)
}

// documentSource is a file with a document.
type documentSource struct {
	team, service string
	text          []byte
	revision      int64
	hasRevision   bool
}

// readDocument reads and checks a file, so that its faults have the lines of
// the file, which the entry instance does not know.
func readDocument(env *environment, name string) (documentSource, error) {
	whole, err := readInput(env, name)
	if err != nil {
		return documentSource{}, err
	}
	parsed, faults := document.Parse(whole)
	if len(faults) > 0 {
		detail := api.ErrorFrom(errkind.New(errkind.InvalidRequest, "%s has %d faults", name, len(faults)))
		detail.Faults = faults
		return documentSource{}, &client.Error{Detail: detail}
	}
	source := documentSource{team: string(parsed.Team), service: string(parsed.Service)}
	source.text, source.revision, source.hasRevision = splitRevision(whole)
	return source, nil
}

func documentLine(d api.Document) string {
	line := fmt.Sprintf("%s\t%s\trevision %d", d.Team, orNone(string(d.Service)), d.Revision)
	if d.InForce {
		line += "\tin force everywhere"
	}
	return line
}
