// Command rig3 plays the cases of the third review: it starts the program of the deploy file as separate
// processes and takes the place of the platform's store, the workers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// scenario plays a case and returns a description of each violation of its rule.
type scenario func(r *rig, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"cancel": playCancel,
	"wedge":  playWedge,
	"stall":  playStall,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that receives the record")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "play the disruption")
	program := flag.String("program", filepath.Join("target", "mulberryd"), "program of an entry instance")
	flag.Parse()
	os.Exit(run(*name, *record, *program, *trouble))
}

func run(name, recordPath, program string, trouble bool) int {
	play, found := scenarios[name]
	if !found {
		fmt.Fprintf(os.Stderr, "rig3: there is no case %q\n", name)
		return exitFailed
	}
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitFailed
	}
	defer rec.close()
	r, err := newRig(rec, program)
	if err != nil {
		rec.log("the case could not run: %v", err)
		return exitFailed
	}
	defer r.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.stop()
		os.Exit(exitFailed)
	}()
	violations, err := play(r, trouble)
	if err != nil {
		rec.log("the case could not run: %v", err)
		return exitFailed
	}
	for _, v := range violations {
		rec.log("BROKEN: %s", v)
	}
	rec.log("%d violations, disruption played: %v, %.1f s", len(violations), trouble, time.Since(rec.start).Seconds())
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
