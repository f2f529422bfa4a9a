package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// TestWorkerCommand guards against a flag that has no effect on the workers. It parses a
// command line, reads the printed lines and sends requests to every worker.
func TestWorkerCommand(t *testing.T) {
	var command WorkerCommand
	parser, err := kong.New(&command)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"--count=3", "--rack-size=2", "--prefix=w", "--region=r", "--slots=5"}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- command.serve(ctx, writer) }()
	client := worker.NewClient(worker.Config{})
	lines := json.NewDecoder(reader)
	for i := range command.Count {
		var line workerInfo
		if err := lines.Decode(&line); err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("w%d rack-%d r", i+1, i/2+1); want != line.Name+" "+line.Rack+" "+line.Region {
			t.Errorf("line %+v, want %s", line, want)
		}
		report, err := client.Sync(t.Context(), worker.Address(line.Address), worker.SyncRequest{})
		if err != nil || report.Worker != line.Name || report.Capacity.Slots != 5 {
			t.Errorf("report of %s: %+v, %v", line.Name, report, err)
		}
		checkLedger(t, client, worker.Address(line.Address), report)
	}
	client.Close()
	stop()
	if err := <-done; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// checkLedger starts a task and checks that the worker's ledger contains its run.
func checkLedger(t *testing.T, client *worker.Client, address worker.Address, report worker.SyncReply) {
	t.Helper()
	start := worker.StartRequest{
		Attempt: task.Attempt{Task: "t", Number: 1}, BootID: report.BootID, Command: "echo",
		StartBy: report.Clock + time.Minute, LeaseUntil: report.Clock + time.Hour,
	}
	if _, err := client.Start(t.Context(), address, start, nil); err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get("http://" + string(address) + "/ledger")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var ledger oracle.WorkerLedger
	if err := json.Unmarshal(body, &ledger); err != nil || len(ledger.Runs) != 1 || ledger.Runs[0].Attempt != start.Attempt {
		t.Errorf("ledger %s, %v", body, err)
	}
}
