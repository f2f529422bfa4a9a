package main

import (
	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/demo"
)

type demoCommand struct{}

// Help implements kong.HelpProvider.
func (demoCommand) Help() string {
	return `Example:
  mulberryctl demo

Runs 8 entry instances, 48 stand-in workers and the stand-ins for the platform in
this process on loopback ports, sends work of every kind and requests that must
be refused, and compares each outcome with the promised one. It takes at most
20 s. The exit code is 0 only if every promise was kept and the oracle found no
violation.`
}

const exitPromiseBroken = 1

// Run runs the demo and prints its report.
func (demoCommand) Run(env *environment) error {
	logger := log.NewWithOptions(env.stderr, log.Options{ReportTimestamp: true, Level: log.ErrorLevel})
	report, err := demo.Run(env.ctx, logger)
	if err != nil {
		return err
	}
	if env.Output == "json" {
		err = env.show(report)
	} else {
		err = report.Write(env.stdout)
	}
	if err == nil && !report.OK() {
		return exitError{exitPromiseBroken}
	}
	return err
}
