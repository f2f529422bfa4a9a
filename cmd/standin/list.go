package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/standin"
)

type listCommand struct {
	Listen    string        `help:"Address to listen on." default:"127.0.0.1:2390" placeholder:"HOST:PORT"`
	Lag       time.Duration `help:"Time after which a change becomes visible in the list." default:"0s"`
	Instances string        `help:"JSON file with the initial list, in the form of the reply." type:"existingfile" optional:""`
}

// Run serves the list until the process receives SIGINT or SIGTERM.
func (c listCommand) Run() error {
	initial, err := readInstances(c.Instances)
	if err != nil {
		return err
	}
	return serve("list", c.Listen, standin.NewList(c.Lag, initial...))
}

// readInstances reads the initial list from a file. It returns nil if path is empty.
func readInstances(path string) ([]instancelist.Instance, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read initial list")
	}
	var reply instancelist.Reply
	if err := json.Unmarshal(content, &reply); err != nil {
		return nil, eris.Wrapf(err, "decode %s", path)
	}
	return reply.Instances, nil
}
