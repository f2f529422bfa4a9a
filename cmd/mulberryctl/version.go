package main

import "fmt"

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(env *environment) error {
	_, err := fmt.Fprintln(env.stdout, "mulberryctl development")
	return err
}
