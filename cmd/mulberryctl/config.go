package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/platform/operator"
	"github.com/mulberrydrum/mulberrydrum/settings"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check settings files and documents locally, without connecting to an entry instance."`
}

type configCheckCommand struct {
	File    []string `arg:"" help:"Files to check."`
	Against string   `placeholder:"FILE" help:"Configuration of the platform that is in force; print what the checked one changes."`
}

// Help implements kong.HelpProvider.
func (configCheckCommand) Help() string {
	return `Examples:
  mulberryctl config check settings.jsonc
  mulberryctl config check examples/*/*.jsonc
  mulberryctl config check next.json --against in-force.json

The kind of a file is recognised by its fields: settings have an instance,
documents have a team, and the configuration that operators write on the platform
has routes or tenants. Each fault is printed as FILE:LINE:COLUMN, followed by the
error and the allowed values. With --against, each difference is printed as
changes: FIELD: BEFORE -> AFTER; API keys are counted and never printed. The exit
code is 0 if there are no faults and 1 if there are any; differences do not change
it.`
}

// fileResult is the result for one file, as printed in the JSON output.
type fileResult struct {
	File   string        `json:"file"`
	Faults []jsonc.Fault `json:"faults"`
	// Changes are the differences from the configuration in force.
	Changes []operator.Difference `json:"changes,omitempty"`
}

const exitFaultsFound = 1

// Run checks every file and prints the faults.
func (c configCheckCommand) Run(env *environment) error {
	var files []fileResult
	var lines []string
	found := false
	for _, name := range c.File {
		result := c.checkFile(name)
		files = append(files, result)
		for _, fault := range result.Faults {
			found = true
			lines = append(lines, fmt.Sprintf("%s:%s", name, fault))
		}
		for _, change := range result.Changes {
			lines = append(lines, fmt.Sprintf("changes: %s", change))
		}
	}
	if err := env.show(files, lines...); err != nil {
		return err
	}
	if found {
		return exitError{exitFaultsFound}
	}
	return nil
}

func (c configCheckCommand) checkFile(name string) fileResult {
	src, err := os.ReadFile(name)
	if err != nil {
		return fileResult{File: name, Faults: []jsonc.Fault{unreadableFault(err.Error())}}
	}
	result := fileResult{File: name, Faults: checkSource(src)}
	if c.Against == "" {
		return result
	}
	inForce, err := os.ReadFile(c.Against)
	if err != nil {
		result.Faults = append(result.Faults, unreadableFault(err.Error()))
		return result
	}
	changes, faults, err := operator.CheckAgainst(src, inForce)
	if err != nil && len(result.Faults) == 0 {
		faults = []jsonc.Fault{{Line: 1, Column: 1, Message: err.Error(), Allowed: "two configurations of the platform"}}
	}
	result.Changes = changes
	result.Faults = append(result.Faults, faults...)
	return result
}

func unreadableFault(message string) jsonc.Fault {
	return jsonc.Fault{Line: 1, Column: 1, Message: message, Allowed: "a readable file"}
}

// checkSource checks src as settings, as a document or as a configuration of the
// platform, depending on which of their required fields it has. If src has no fields
// at all, it is checked as a document, so that a syntax error is reported with its
// position.
func checkSource(src []byte) []jsonc.Fault {
	names := jsonc.TopLevelNames(src)
	switch {
	case slices.Contains(names, "instance"):
		_, faults := settings.Parse(src)
		return faults
	case slices.Contains(names, "team") || len(names) == 0:
		_, faults := document.Parse(src)
		return faults
	case operator.IsConfiguration(names):
		return operator.Check(src)
	}
	return []jsonc.Fault{{
		Line: 1, Column: 1,
		Message: "the file is neither settings nor a document nor a configuration of the platform",
		Allowed: "an object with instance (settings), with team (document), or with routes or tenants (configuration)",
	}}
}
