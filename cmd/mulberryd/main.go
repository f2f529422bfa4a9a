// Command mulberryd runs one entry instance, which serves callers and operators and
// owns request shards and worker partitions.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/daemon"
	"github.com/mulberrydrum/mulberrydrum/platform"
	"github.com/mulberrydrum/mulberrydrum/settings"
)

type commands struct {
	Settings    string `arg:"" optional:"" help:"Settings file, JSON with comments." type:"existingfile"`
	Platform    bool   `help:"Run on the users' platform: an environment variable names the settings file."`
	PrintConfig bool   `help:"Print the settings in force, with their defaults, and exit."`

	platform.Options `group:"On the users' platform"`
}

const description = `Run one entry instance.

Example:
  mulberryd examples/leuvenstress/settings.jsonc

SIGTERM and SIGINT start a planned stop: the instance hands over its units,
completes the requests in flight and exits.`

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("mulberryd"), kong.Description(description))
	ctx.FatalIfErrorf(cli.run())
}

func (c *commands) run() error {
	if c.Platform {
		return platform.Run(os.Stdout, c.Options)
	}
	if c.Settings == "" {
		return errors.New("either a settings file or --platform is required")
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.PrintConfig {
		return printSettings(s)
	}
	logger, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	cfg := daemon.FromSettings(s)
	const softLimitFraction = 0.75 // the rest is for stacks, buffers of the kernel and the program itself
	debug.SetMemoryLimit(int64(softLimitFraction * float64(cfg.MemoryBytes)))
	d, err := daemon.New(cfg, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return d.Run(ctx)
}

func printSettings(s settings.Settings) error {
	text, err := s.JSON()
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(text))
	return err
}

func newLogger(level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Level: parsed}), nil
}
