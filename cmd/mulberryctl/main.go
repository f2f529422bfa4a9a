// Command mulberryctl is described in docs/design.md.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

type commands struct {
	Version versionCommand `cmd:"" help:"Print the version."`
	Load    loadCommand    `cmd:"" help:"Compare scheduling policies on a generated load in virtual time."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Println("mulberryctl development")
	return err
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("mulberryctl"))
	ctx.FatalIfErrorf(ctx.Run())
}
