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
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/client"
	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/standin"
)

// Options describe the deployment. Adjust changes the settings of one instance.
type Options struct {
	Entries         int
	Workers         int  // per region
	SeparateWorkers bool // each worker is a process of its own
	StoreRelays     bool // each instance reaches the store through a relay of its own
	Regions         []string
	Adjust          func(i int, s *settings.Settings)
}

// Cluster is a deployment of processes. Everything ends with the test.
type Cluster struct {
	Entries   []*Entry
	StoreAddr string
	ListAddr  string
	Workers   []instancelist.Instance
	Store     *Process

	t         *testing.T
	dir       string
	host      string
	options   Options
	processes map[string]*Process // of workers, by the name of the worker
	trace     *collector
}

// Entry is one entry instance. Its addresses stay the same over restarts.
type Entry struct {
	*Process
	Settings settings.Settings
	Operator *client.Client
	path     string
	switches string // address of the switches of the relay to the store
}

// commands is the directory of the commands that Main has built.
var commands string

// Main builds the commands once, runs the tests of a package and returns the
// exit code.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/mulberrydrum/mulberrydrum/cmd/mulberryd", "github.com/mulberrydrum/mulberrydrum/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, out)
		return 1
	}
	commands = dir
	return m.Run()
}

// clusters counts the clusters of this process.
var clusters atomic.Uint32

// nextHost returns a loopback address of its own for each cluster. The kernel
// gives 127.0.0.1 to outgoing connections, so that none of them can take the
// port of an instance that is down for a while.
func nextHost() string {
	n := clusters.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250, 1+n%250)
}

// running bounds the clusters that run at once. With six to eleven processes
// each, more of them would measure the machine instead of the scheduler.
var running = make(chan struct{}, 8)

// Start starts every process. The package must run its tests with Main.
func Start(t *testing.T, options Options) *Cluster {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	c := &Cluster{t: t, dir: t.TempDir(), host: nextHost(), options: options, processes: map[string]*Process{}}
	c.StoreAddr, c.ListAddr = c.freeAddress(), c.freeAddress()
	c.trace = newCollector()
	t.Cleanup(func() { c.dumpOnFailure() })
	c.Store = c.start("store", "standin", "store", "--listen", c.StoreAddr)
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
	c.trace.run(t, c.Entries)
	return c
}

func (c *Cluster) freeAddress() string {
	c.t.Helper()
	l, err := net.Listen("tcp", c.host+":0")
	if err != nil {
		c.t.Fatal(err)
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
	cmd := exec.Command(filepath.Join(commands, command), args...)
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
	if !c.options.SeparateWorkers {
		c.startWorkerProcess(region+"-worker-", c.options.Workers, index, region)
		return
	}
	for i := range c.options.Workers {
		c.startWorkerProcess(fmt.Sprintf("%s-worker-%d-", region, i), 1, index, region)
	}
}

// startWorkerProcess starts one process with a number of workers.
func (c *Cluster) startWorkerProcess(prefix string, count, index int, region string) {
	p := c.start("workers-"+prefix, "standin", "worker", "--count", fmt.Sprint(count), "--prefix", prefix, "--listen", c.host+":0",
		"--region", region, "--failure-domain", fmt.Sprintf("domain-%d", index), "--rack-prefix", prefix+"rack-", "--rack-size", "2")
	var found []instancelist.Instance
	c.Eventually(10*time.Second, "workers "+prefix, func() bool {
		found = readWorkers(p.output.Name())
		return len(found) == count
	})
	for _, w := range found {
		c.processes[w.Name] = p
	}
	c.Workers = append(c.Workers, found...)
}

// WorkerProcess returns the process in which a worker runs.
func (c *Cluster) WorkerProcess(name string) *Process { return c.processes[name] }

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
	s.CallerAddress, s.OperatorAddress, s.EntryAddress = c.freeAddress(), c.freeAddress(), c.freeAddress()
	storeAddr, switches := c.StoreAddr, ""
	if c.options.StoreRelays {
		storeAddr, switches = c.startRelay(s.Instance)
	}
	s.StoreEndpoints = []string{storeAddr}
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
	e := &Entry{Settings: s, path: path, switches: switches, Operator: client.New(client.Config{Addresses: []string{s.OperatorAddress}})}
	c.t.Cleanup(e.Operator.Close)
	c.Entries = append(c.Entries, e)
	c.StartEntry(e)
}

// startRelay starts a relay between an instance and the store.
func (c *Cluster) startRelay(instance string) (address, switches string) {
	address, switches = c.freeAddress(), c.freeAddress()
	c.start("relay-"+instance, "standin", "relay", "--listen", address, "--target", c.StoreAddr, "--control", switches)
	c.await(address)
	c.await(switches)
	return address, switches
}

// SilenceStore makes the present connections of an instance to the store silent.
// New ones work.
func (c *Cluster) SilenceStore(e *Entry) {
	c.t.Helper()
	c.Post("http://"+e.switches+standin.PathRelaySilence, "{}")
}

// StartEntry starts the process of an entry instance, again after it has ended.
func (c *Cluster) StartEntry(e *Entry) {
	e.Process = c.start(e.Settings.Instance, "mulberryd", e.path)
	c.await(e.Settings.CallerAddress)
	c.PutListed(instancelist.Instance{Name: e.Settings.Instance, Address: e.Settings.EntryAddress, Role: instancelist.RoleEntry,
		Region: e.Settings.Region, FailureDomain: e.Settings.FailureDomain, State: instancelist.StateLive})
}

// PutListed changes one instance in the instance list.
func (c *Cluster) PutListed(instance instancelist.Instance) {
	c.t.Helper()
	body, _ := json.Marshal(instance)
	request, _ := http.NewRequest(http.MethodPut, "http://"+c.ListAddr+instancelist.PathInstances+"/"+instance.Name, strings.NewReader(string(body)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// dumpOnFailure prints the end of every process's output if the test failed.
func (c *Cluster) dumpOnFailure() {
	if !c.t.Failed() {
		return
	}
	const tail = 3000 // bytes of each output
	paths, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "workers-") {
			continue // the addresses only
		}
		text, _ := os.ReadFile(path)
		c.t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-tail):])
	}
}
