package main

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/analysis"
)

type analyzeCommand struct {
	File []string `arg:"" help:"Logs of the entry instances of one period, plain or compressed with gzip."`
	Plot string   `help:"File to which the use of the cores over time is written as an SVG image." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (analyzeCommand) Help() string {
	return `Examples:
  mulberryctl analyze entry-*.log
  mulberryctl analyze --plot cores.svg --output json day.log.gz

Reports, for each queue and team, how many jobs ended in time and what the steps of
the others waited for; runs that did not succeed; rejected submissions; takeovers;
the share of the capacity that each team used by the hour, if the instances track
past use; and the cores in use, reserved and idle, stranded and free over time. Lines that
cannot be read are counted and named. The exit code is 1 if a file cannot be read
to its end, if the files are of different days, or if they name no job.`
}

// Run analyzes the files together.
func (c analyzeCommand) Run(env *environment) error {
	analyzer := analysis.NewAnalyzer()
	for _, name := range c.File {
		if err := readLog(analyzer, name); err != nil {
			return env.fail(err)
		}
	}
	report, err := analyzer.Report()
	if err != nil {
		return env.fail(err)
	}
	if c.Plot != "" {
		image, err := report.Plot()
		if err == nil {
			err = os.WriteFile(c.Plot, image, 0o644)
		}
		if err != nil {
			return env.fail(err)
		}
	}
	return env.show(report, report.Text()...)
}

func readLog(analyzer *analysis.Analyzer, name string) (err error) {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return analyzer.Read(name, file)
}

// fail prints an error of a command that only reads local files.
func (e *environment) fail(err error) error {
	if _, writeErr := fmt.Fprintf(e.stderr, "mulberryctl: %v\n", err); writeErr != nil {
		return writeErr
	}
	return exitError{exitFaultsFound}
}
