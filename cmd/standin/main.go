// Command standin runs one of the stand-ins (test doubles) for the platform, which are
// its store, its instance list and workers, or a relay that injects faults into the
// connections between two processes. Faults are controlled over HTTP at run time.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

type commands struct {
	Store   storeCommand   `cmd:"" help:"Run the stand-in for the platform's store."`
	List    listCommand    `cmd:"" help:"Run the stand-in for the instance list."`
	Worker  WorkerCommand  `cmd:"" help:"Run stand-in workers."`
	Relay   relayCommand   `cmd:"" help:"Run a TCP relay that can cut, delay or silence connections."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Println("standin development")
	return err
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("standin"))
	ctx.FatalIfErrorf(ctx.Run())
}
