// Command mulberryctl is the command-line client for callers and operators. Its
// commands connect to entry instances only; config check makes no connection.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/mulberrydrum/mulberrydrum/errkind"
)

type commands struct {
	globals

	Submit    submitCommand    `cmd:"" help:"Submit a job to a service of a team."`
	Status    statusCommand    `cmd:"" help:"Show the state of a job, or wait for its end."`
	Cancel    cancelCommand    `cmd:"" help:"Cancel a job."`
	Result    resultCommand    `cmd:"" help:"Write the result of one task of a job."`
	Apply     applyCommand     `cmd:"" help:"Apply a document, unless another operator has changed it."`
	Get       getCommand       `cmd:"" help:"Show a document, or list all documents."`
	Diff      diffCommand      `cmd:"" help:"Compare a file with the document in force, field by field."`
	Keys      keysCommand      `cmd:"" help:"Grant, withdraw and list the keys of teams."`
	Drain     drainCommand     `cmd:"" help:"Take an entry instance or a worker out of service, or put it back."`
	Workers   workersCommand   `cmd:"" help:"List the workers."`
	Shares    sharesCommand    `cmd:"" help:"List the shares, usage and limits of the teams."`
	Members   membersCommand   `cmd:"" help:"List the live entry instances."`
	Metrics   metricsCommand   `cmd:"" help:"Show the metrics of the entry instance that serves the request."`
	Timeline  timelineCommand  `cmd:"" help:"Show the merged events of all entry instances."`
	Ownership ownershipCommand `cmd:"" help:"Change the ownership of worker partitions and request shards."`
	Config    configCommand    `cmd:"" help:"Work with configuration files."`
	Analyze   analyzeCommand   `cmd:"" help:"Report from the logs of entry instances where time and capacity were lost."`
	Load      loadCommand      `cmd:"" help:"Compare scheduling policies on a generated load in virtual time."`
	Demo      demoCommand      `cmd:"" help:"Run a small deployment in this process and check the outcome of work of every kind."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments, runs the command and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var cli commands
	code, exited := 0, false
	parser := kong.Must(&cli,
		kong.Name("mulberryctl"),
		kong.Description("Command-line client of a mulberrydrum cluster. The error table in docs/api.md lists the exit codes."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	parsed, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		parser.Errorf("%s", err)
		return errkind.ResponseFor(errkind.InvalidRequest).ExitCode
	}
	env := &environment{ctx: ctx, globals: cli.globals, stdin: stdin, stdout: stdout, stderr: stderr}
	if err := parsed.Run(env); err != nil {
		return env.reportError(err)
	}
	return 0
}
