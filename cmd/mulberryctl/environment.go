package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// globals holds the flags that all commands have.
type globals struct {
	Server   []string      `help:"Addresses (host:port) of entry instances for callers." env:"MULBERRYDRUM_SERVER" default:"127.0.0.1:7070"`
	Operator []string      `help:"Addresses (host:port) of entry instances for operators." env:"MULBERRYDRUM_OPERATOR" default:"127.0.0.1:7071"`
	KeyFile  string        `help:"File with the secret of the key. The environment variable MULBERRYDRUM_KEY holds the secret itself; there is no flag for it, because arguments are visible to every user of the machine." env:"MULBERRYDRUM_KEY_FILE"`
	Output   string        `help:"Output format: ${enum}." enum:"text,json" default:"text"`
	Timeout  time.Duration `help:"Timeout of the whole command, to which --wait is added." default:"15s"`
}

// environment holds the global flags, the context and the standard streams of a
// command.
type environment struct {
	globals
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// withCallerClient runs call with a client for the caller addresses. The deadline of
// its context is the timeout of the command plus wait.
func (e *environment) withCallerClient(wait time.Duration, call func(context.Context, *client.Client) error) error {
	return e.withClient(e.Server, wait, call)
}

// withOperatorClient is like withCallerClient, with a client for the operator addresses.
func (e *environment) withOperatorClient(wait time.Duration, call func(context.Context, *client.Client) error) error {
	return e.withClient(e.Operator, wait, call)
}

func (e *environment) withClient(addresses []string, wait time.Duration, call func(context.Context, *client.Client) error) error {
	secret, err := e.secret()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.Timeout+wait)
	defer cancel()
	c := client.New(client.Config{Addresses: addresses, Secret: secret})
	defer c.Close()
	return call(ctx, c)
}

// secret returns the secret from the key file, or from the environment variable if no
// key file is set.
func (e *environment) secret() (string, error) {
	if e.KeyFile == "" {
		return os.Getenv("MULBERRYDRUM_KEY"), nil
	}
	text, err := os.ReadFile(e.KeyFile)
	if err != nil {
		return "", errkind.New(errkind.KeyMissing, "read key file: %v", err).WithField("key-file", "a readable file")
	}
	return strings.TrimSpace(string(text)), nil
}

// show prints v as JSON, or lines as text with their columns aligned.
func (e *environment) show(v any, lines ...string) error {
	if e.Output == "json" {
		encoder := json.NewEncoder(e.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	const padding = 2
	table := tabwriter.NewWriter(e.stdout, 0, 0, padding, ' ', 0)
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

// exitError sets the exit code of a command that has already printed its output.
type exitError struct{ code int }

// Error returns a text with the exit code.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// reportError prints err and returns the exit code for its kind. It prints nothing
// for an exitError.
func (e *environment) reportError(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	detail := errorDetail(err)
	if e.Output == "json" {
		encoder := json.NewEncoder(e.stderr)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(api.ErrorReply{Error: detail})
	} else {
		e.printErrorText(detail)
	}
	return errkind.ResponseFor(detail.Kind).ExitCode
}

func errorDetail(err error) api.Error {
	var replyErr *client.Error
	if errors.As(err, &replyErr) {
		return replyErr.Detail
	}
	return api.ErrorFrom(errkind.From(err))
}

func (e *environment) printErrorText(detail api.Error) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(e.stderr, format+"\n", args...) }
	printLine("mulberryctl: %s: %s", detail.Kind, detail.Message)
	if detail.Field != "" {
		printLine("  field: %s", detail.Field)
	}
	if detail.Limit != "" {
		printLine("  allowed: %s", detail.Limit)
	}
	if detail.RetryAfter > 0 {
		printLine("  retry after: %s", time.Duration(detail.RetryAfter))
	}
	printLine("  work: %s, advice: %s", detail.Fate, detail.Advice)
	for _, fault := range detail.Faults {
		printLine("  %s", fault)
	}
	if detail.Conflict != nil {
		for _, text := range conflictLines(*detail.Conflict) {
			printLine("  %s", text)
		}
	}
}
