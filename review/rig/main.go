// Command rig runs the cases of the independent review that are scripts. It contains the stand-ins
// for the platform's store, the workers, the operator and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// trouble is the value of the variable TROUBLE, which the scripts check: "0" for a run without the
// disruption, "1" for one with all disruptions of the case, or the name of one of them for a run with
// this one alone.
type trouble string

func (t trouble) has(disruption string) bool { return t == "1" || string(t) == disruption }

// scenarios are the cases by name. Each returns the violations of its rule.
var scenarios = map[string]func(d *deployment, t trouble) []string{
	"many-ends":       manyEnds,
	"lasting-probe":   lastingProbe,
	"lasting-grey":    lastingGrey,
	"same-id":         sameID,
	"late-acceptance": lateAcceptance,
	"advised-route":   advisedRoute,
	"removed-route":   removedRoute,
	"full-queue":      fullQueue,
	"new-workers":     newWorkers,
	"stale-order":     staleOrder,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		runWorker(os.Args[2])
		return
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	t := trouble(os.Getenv("TROUBLE"))
	if t == "" {
		t = "1"
	}
	os.Exit(runCase(os.Args[1], os.Args[2], t))
}

func runCase(name, record string, t trouble) (code int) {
	var d *deployment
	defer func() {
		if d != nil {
			d.close()
		}
		if failure := recover(); failure != nil {
			err, _ := failure.(error)
			if !errors.Is(err, errCannotRun) {
				fmt.Fprintln(os.Stderr, "failed:", failure)
			} else {
				fmt.Fprintln(os.Stderr, err)
			}
			code = 2
		}
	}()
	d = newDeployment(record)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(2)
	}()
	go func() { // no case may run for longer
		time.Sleep(115 * time.Second)
		fmt.Fprintln(os.Stderr, "the case took too long")
		d.close()
		os.Exit(2)
	}()
	d.rec.write("case", "name", name, "trouble", t)
	broken := scenarios[name](d, t)
	slices.Sort(broken)
	for n, text := range broken {
		d.rec.write("broken", "what", text)
		if n < 5 {
			fmt.Println("broken:", text)
		}
	}
	fmt.Printf("%s: %d violations\n", name, len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}
