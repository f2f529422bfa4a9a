package main

import (
	"github.com/mulberrydrum/mulberrydrum/standin"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

type storeCommand struct {
	Listen           string `help:"Address to listen on." default:"127.0.0.1:2379" placeholder:"HOST:PORT"`
	HistoryRevisions int    `help:"Number of revisions kept for watches." default:"10000"`
}

// Run serves the store until the process receives SIGINT or SIGTERM.
func (c storeCommand) Run() error {
	store := standin.NewStore(storetest.Limits{HistoryRevisions: c.HistoryRevisions})
	defer store.Close()
	return serve("store", c.Listen, store)
}
