// Package processtest runs a small deployment as separate processes on
// loopback, for tests with real signals: stand-ins for the platform and entry
// instances, each built from this repository.
package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/oracle"
	"github.com/mulberrydrum/mulberrydrum/settings"
)

// Options describe the deployment. Adjust changes the settings of one instance.
type Options struct {
	Entries int
	Workers int // per region
	Regions []string
	Adjust  func(i int, s *settings.Settings)
}

// Cluster is a deployment of processes. Everything ends with the test.
type Cluster struct {
	Entries   []*Entry
	StoreAddr string
	ListAddr  string
	Workers   []instancelist.Instance

	t       *testing.T
	dir     string
	options Options
	store   *Process
}

// Entry is one entry instance. Its addresses stay the same over restarts.
type Entry struct {
	*Process
	Settings settings.Settings
	path     string
}

// Process is one process that this test started.
type Process struct {
	cmd    *exec.Cmd
	output *os.File
	ended  chan struct{}
}

// Start builds the commands and starts every process.
func Start(t *testing.T, options Options) *Cluster {
	t.Helper()
	c := &Cluster{t: t, dir: t.TempDir(), options: options, StoreAddr: freeAddress(t), ListAddr: freeAddress(t)}
	build := exec.Command("go", "build", "-o", c.dir+"/", "github.com/mulberrydrum/mulberrydrum/cmd/mulberryd", "github.com/mulberrydrum/mulberrydrum/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the commands: %v\n%s", err, out)
	}
	t.Cleanup(func() { c.dumpOnFailure() })
	c.store = c.start("store", "standin", "store", "--listen", c.StoreAddr)
	c.start("list", "standin", "list", "--listen", c.ListAddr)
	c.await(c.StoreAddr)
	c.await(c.ListAddr)
	for i, region := range options.Regions {
		c.startWorkers(i, region)
	}
	c.postList(c.Workers)
	if err := demo.StoreConfiguration(context.Background(), c.StoreAddr); err != nil {
		t.Fatal(err)
	}
	for i := range options.Entries {
		c.addEntry(i)
	}
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs one of the built commands with its output in a file.
func (c *Cluster) start(name, command string, args ...string) *Process {
	c.t.Helper()
	output, err := os.CreateTemp(c.dir, name+"-*.log")
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(c.dir, command), args...)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		c.t.Fatalf("start %s: %v", name, err)
	}
	p := &Process{cmd: cmd, output: output, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	c.t.Cleanup(p.Kill)
	return p
}

// await returns when an address accepts connections.
func (c *Cluster) await(address string) {
	c.t.Helper()
	c.Eventually(10*time.Second, "listen on "+address, func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// Eventually fails the test unless the condition holds within the bound.
func (c *Cluster) Eventually(bound time.Duration, what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *Cluster) startWorkers(index int, region string) {
	p := c.start("workers-"+region, "standin", "worker", "--count", fmt.Sprint(c.options.Workers), "--prefix", region+"-worker-",
		"--region", region, "--failure-domain", fmt.Sprintf("domain-%d", index), "--rack-prefix", region+"-rack-", "--rack-size", "2")
	var found []instancelist.Instance
	c.Eventually(10*time.Second, "workers of "+region, func() bool {
		found = readWorkers(p.output.Name())
		return len(found) == c.options.Workers
	})
	c.Workers = append(c.Workers, found...)
}

func readWorkers(path string) []instancelist.Instance {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer file.Close()
	var found []instancelist.Instance
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var instance instancelist.Instance
		if json.Unmarshal(lines.Bytes(), &instance) == nil {
			instance.Role, instance.State = instancelist.RoleWorker, instancelist.StateLive
			found = append(found, instance)
		}
	}
	return found
}

func (c *Cluster) postList(instances []instancelist.Instance) {
	c.t.Helper()
	body, _ := json.Marshal(instancelist.Reply{Instances: instances})
	c.Post("http://"+c.ListAddr+instancelist.PathInstances, string(body))
}

// Post sends a JSON body and fails the test unless it is accepted.
func (c *Cluster) Post(url, body string) {
	c.t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		c.t.Fatalf("post to %s: %v", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		c.t.Fatalf("post to %s: status %d", url, response.StatusCode)
	}
}

func (c *Cluster) addEntry(i int) {
	s := settings.Default()
	s.Instance = fmt.Sprintf("entry-%d", i)
	s.Regions = c.options.Regions
	s.Region = c.options.Regions[i%len(c.options.Regions)]
	s.FailureDomain = fmt.Sprintf("domain-%d", i)
	s.CallerAddress, s.OperatorAddress, s.EntryAddress = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	s.StoreEndpoints = []string{c.StoreAddr}
	s.InstanceListEndpoint = c.ListAddr
	s.WorkerPartitions = 2
	if c.options.Adjust != nil {
		c.options.Adjust(i, &s)
	}
	text, err := s.JSON()
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.dir, s.Instance+".jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
	e := &Entry{Settings: s, path: path}
	c.Entries = append(c.Entries, e)
	c.StartEntry(e)
}

// StartEntry starts the process of an entry instance, again after it has ended.
func (c *Cluster) StartEntry(e *Entry) {
	e.Process = c.start(e.Settings.Instance, "mulberryd", e.path)
	c.await(e.Settings.CallerAddress)
	body, _ := json.Marshal(instancelist.Instance{Name: e.Settings.Instance, Address: e.Settings.EntryAddress, Role: instancelist.RoleEntry,
		Region: e.Settings.Region, FailureDomain: e.Settings.FailureDomain, State: instancelist.StateLive})
	request, _ := http.NewRequest(http.MethodPut, "http://"+c.ListAddr+instancelist.PathInstances+"/"+e.Settings.Instance, strings.NewReader(string(body)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// Ledgers reads the ledgers of all workers.
func (c *Cluster) Ledgers() []oracle.WorkerLedger {
	c.t.Helper()
	var ledgers []oracle.WorkerLedger
	for _, w := range c.Workers {
		response, err := http.Get("http://" + w.Address + "/ledger")
		if err != nil {
			c.t.Fatal(err)
		}
		var ledger oracle.WorkerLedger
		err = json.NewDecoder(response.Body).Decode(&ledger)
		_ = response.Body.Close()
		if err != nil {
			c.t.Fatalf("ledger of %s: %v", w.Name, err)
		}
		ledgers = append(ledgers, ledger)
	}
	return ledgers
}

// dumpOnFailure prints the end of every process's output if the test failed.
func (c *Cluster) dumpOnFailure() {
	if !c.t.Failed() {
		return
	}
	const tail = 3000 // bytes of each output
	paths, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range paths {
		text, _ := os.ReadFile(path)
		c.t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-tail):])
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Stop asks for a planned stop and returns whether it ended within the bound.
func (p *Process) Stop(bound time.Duration) bool {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// Freeze stops the process from running until Resume.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }
