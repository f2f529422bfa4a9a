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
	Check configCheckCommand `cmd:"" help:"Check a file with settings or a document, without asking an entry instance."`
}

type configCheckCommand struct {
	File []string `arg:"" help:"Files to check."`
}

// Help shows how to use the command.
func (configCheckCommand) Help() string {
	return `Examples:
  mulberryctl config check settings.jsonc
  mulberryctl config check examples/*/*.jsonc

Each fault is printed as FILE:LINE:COLUMN: what is wrong and what is allowed.
The exit code is 0 without a fault and 1 with one.`
}

// checkedFile is a checked file in the output as JSON.
type checkedFile struct {
	File   string        `json:"file"`
	Faults []jsonc.Fault `json:"faults"`
}

const faultsFound = 1

// Run checks every file and prints their faults.
func (c configCheckCommand) Run(env *environment) error {
	var files []checkedFile
	var lines []string
	for _, name := range c.File {
		faults := checkFile(name)
		files = append(files, checkedFile{File: name, Faults: faults})
		for _, fault := range faults {
			lines = append(lines, fmt.Sprintf("%s:%s", name, fault))
		}
	}
	if err := env.show(files, lines...); err != nil {
		return err
	}
	if len(lines) > 0 {
		return exitError{faultsFound}
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

// checkSource tells settings from a document by the name that either must have.
// Text that names neither is checked as a document where it has no names at all,
// so that a syntax error is reported with its position.
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
