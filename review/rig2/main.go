// Command rig2 plays the cases of the second review: it starts entry instances as the deploy file says,
// against stand-ins for the store, the workers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(f *fleet, trouble bool){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD FOLDER")
		return 2
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(rec, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stopAll()
	giveUp := func(why string) {
		rec.fail("%s", why)
		code := rec.exitCode()
		f.stopAll()
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { giveUp("stopped by signal " + (<-signals).String()) }()
	time.AfterFunc(110*time.Second, func() { giveUp("the case takes longer than 110 s") })
	play(f, os.Getenv("TROUBLE") != "0")
	return rec.exitCode()
}

// deploy writes the first configuration and starts instances and workers, then waits until they are ready.
func (f *fleet) deploy(nodes, workers int) bool {
	f.configure()
	for i := range workers {
		wk, err := startWorker(f.w, f.store, fmt.Sprintf("i-%04d", i+1), zones[i%len(zones)], fmt.Sprintf("r%d-1", 1+i%3), 32000, 131072)
		if err != nil {
			f.rec.fail("start a worker: %v", err)
			return false
		}
		f.workers = append(f.workers, wk)
	}
	for range nodes {
		if _, err := f.addNode(); err != nil {
			f.rec.fail("start an instance: %v", err)
			return false
		}
	}
	return f.waitReady(15 * time.Second)
}
