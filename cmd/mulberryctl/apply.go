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
	Expect int64         `help:"Revision that the change is based on, 0 for a new document. Defaults to the revision in the first line of the file, as get prints it, or else to the revision in force." default:"-1"`
	Wait   time.Duration `help:"Wait up to this time for the change to be in force on every entry instance."`
}

// Help implements kong.HelpProvider.
func (applyCommand) Help() string {
	return `Examples:
  mulberryctl get dijle-engineering piping > piping.jsonc
  $EDITOR piping.jsonc
  mulberryctl apply piping.jsonc --wait 11s

If another operator changed the document first, nothing is changed, their change
is shown, and the exit code is 6.`
}

// Run applies the document.
func (c applyCommand) Run(env *environment) error {
	source, err := readDocument(env, c.File)
	if err != nil {
		return err
	}
	return env.withOperatorClient(c.Wait, func(ctx context.Context, operatorClient *client.Client) error {
		expected, err := c.expectedRevision(ctx, operatorClient, source)
		if err != nil {
			return err
		}
		applied, err := operatorClient.Apply(ctx, source.team, source.service, source.text, expected, c.Wait)
		if err != nil {
			return err
		}
		return env.show(applied, documentLine(applied))
	})
}

// expectedRevision returns the revision that the change is based on: the one in the
// flag if it is set, else the one in the revision line of the file if there is one,
// else the one in force.
func (c applyCommand) expectedRevision(ctx context.Context, operatorClient *client.Client, source documentSource) (int64, error) {
	if c.Expect >= 0 {
		return c.Expect, nil
	}
	if source.hasRevision {
		return source.revision, nil
	}
	current, err := operatorClient.Document(ctx, source.team, source.service)
	if err == nil || isNotFound(err) {
		return current.Revision, nil
	}
	return 0, err
}

func isNotFound(err error) bool {
	var e *errkind.Error
	return errors.As(err, &e) && (e.Kind == errkind.UnknownTeam || e.Kind == errkind.UnknownService)
}

// documentSource is the content of a document file.
type documentSource struct {
	team, service string
	text          []byte // without the revision line
	revision      int64
	hasRevision   bool
}

// readDocument reads and checks a file. The check is local because the entry instance
// receives the text without the revision line, so the line numbers in its errors would
// differ from those of the file.
func readDocument(env *environment, name string) (documentSource, error) {
	content, err := readInput(env, name)
	if err != nil {
		return documentSource{}, err
	}
	parsed, faults := document.Parse(content)
	if len(faults) > 0 {
		detail := api.ErrorFrom(errkind.New(errkind.InvalidRequest, "%s has %d faults", name, len(faults)))
		detail.Faults = faults
		return documentSource{}, &client.Error{Detail: detail}
	}
	source := documentSource{team: string(parsed.Team), service: string(parsed.Service)}
	source.text, source.revision, source.hasRevision = splitRevision(content)
	return source, nil
}

func documentLine(d api.Document) string {
	line := fmt.Sprintf("%s\t%s\trevision %d", d.Team, orNone(string(d.Service)), d.Revision)
	if d.InForce {
		line += "\tin force everywhere"
	}
	return line
}
