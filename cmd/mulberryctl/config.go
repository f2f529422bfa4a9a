package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/settings"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check settings files and documents locally, without connecting to an entry instance."`
}

type configCheckCommand struct {
	File []string `arg:"" help:"Files to check."`
}

// Help implements kong.HelpProvider.
func (configCheckCommand) Help() string {
	return `Examples:
  mulberryctl config check settings.jsonc
  mulberryctl config check examples/*/*.jsonc

Each fault is printed as FILE:LINE:COLUMN, followed by the error and the allowed
values. The exit code is 0 if there are no faults and 1 if there are any.`
}

// fileResult is the result for one file, as printed in the JSON output.
type fileResult struct {
	File   string        `json:"file"`
	Faults []jsonc.Fault `json:"faults"`
}

const exitFaultsFound = 1

// Run checks every file and prints the faults.
func (c configCheckCommand) Run(env *environment) error {
	var files []fileResult
	var lines []string
	for _, name := range c.File {
		faults := checkFile(name)
		files = append(files, fileResult{File: name, Faults: faults})
		for _, fault := range faults {
			lines = append(lines, fmt.Sprintf("%s:%s", name, fault))
		}
	}
	if err := env.show(files, lines...); err != nil {
		return err
	}
	if len(lines) > 0 {
		return exitError{exitFaultsFound}
	}
	return nil
}

func checkFile(name string) []jsonc.Fault {
	src, err := os.ReadFile(name)
	if err != nil {
		return []jsonc.Fault{{Line: 1, Column: 1, Message: err.Error(), Allowed: "a readable file"}}
	}
	return checkSource(src)
}

// checkSource checks src as settings or as a document, depending on which of their
// required fields it has: instance or team. If src has no fields at all, it is
// checked as a document, so that a syntax error is reported with its position.
func checkSource(src []byte) []jsonc.Fault {
	names := jsonc.TopLevelNames(src)
	switch {
	case slices.Contains(names, "instance"):
		_, faults := settings.Parse(src)
		return faults
	case slices.Contains(names, "team") || len(names) == 0:
		_, faults := document.Parse(src)
		return faults
	}
	return []jsonc.Fault{{
		Line: 1, Column: 1,
		Message: "the file is neither settings nor a document",
		Allowed: "an object with instance (settings) or with team (document)",
	}}
}
