// Package processtest runs a small deployment as separate processes on the
// loopback interface: entry instances, and stand-ins for the store, the instance
// list and the workers of the platform. Tests can send real signals to the
// processes.
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

// Options describe the deployment.
type Options struct {
	Entries         int
	Workers         int  // per region
	SeparateWorkers bool // run each worker in a separate process
	StoreRelays     bool // connect each instance to the store through a separate relay
	Regions         []string
	Adjust          func(i int, s *settings.Settings) // changes the default settings of instance i
}

// Cluster is a deployment of processes, which are killed when the test ends.
type Cluster struct {
	Entries   []*Entry
	StoreAddr string
	ListAddr  string
	Workers   []instancelist.Instance
	Store     *Process

	t               *testing.T
	dir             string
	host            string
	options         Options
	workerProcesses map[string]*Process // by the name of the worker
	collector       *collector
}

// Entry is one entry instance. Its addresses do not change on a restart.
type Entry struct {
	*Process
	Settings     settings.Settings
	Operator     *client.Client
	path         string
	relayControl string // control address of the relay to the store
}

// commandDir is the directory of the commands that RunTests builds.
var commandDir string

// RunTests builds the commands, runs the tests of a package and returns the exit
// code. It is called from TestMain.
func RunTests(m *testing.M) int {
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
	commandDir = dir
	return m.Run()
}

// clusterCount is the number of clusters that this process has started.
var clusterCount atomic.Uint32

// nextHost returns a separate loopback address for each cluster. The kernel uses
// 127.0.0.1 as the source address of outgoing connections, so that none of them
// can occupy the port of an instance that is down.
func nextHost() string {
	n := clusterCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250, 1+n%250)
}

// runningClusters limits the number of concurrent clusters. Each has six to
// eleven processes; with more of them, the load of the machine would dominate the
// measured times.
var runningClusters = make(chan struct{}, 8)

// Start starts the processes of a cluster. The package must run its tests with
// RunTests.
func Start(t *testing.T, options Options) *Cluster {
	t.Helper()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
	c := &Cluster{t: t, dir: t.TempDir(), host: nextHost(), options: options, workerProcesses: map[string]*Process{}}
	c.StoreAddr, c.ListAddr = c.freeAddress(), c.freeAddress()
	c.collector = newCollector()
	t.Cleanup(func() { c.dumpOnFailure() })
	c.Store = c.startProcess("store", "standin", "store", "--listen", c.StoreAddr)
	c.startProcess("list", "standin", "list", "--listen", c.ListAddr)
	c.awaitListening(c.StoreAddr)
	c.awaitListening(c.ListAddr)
	for i, region := range options.Regions {
		c.startWorkers(i, region)
	}
	c.publishInstances(c.Workers)
	if err := demo.StoreConfiguration(context.Background(), c.StoreAddr); err != nil {
		t.Fatal(err)
	}
	for i := range options.Entries {
		c.addEntry(i)
	}
	c.collector.run(t, c.Entries)
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

// startProcess starts one of the built commands with its output written to a file.
func (c *Cluster) startProcess(name, command string, args ...string) *Process {
	c.t.Helper()
	output, err := os.CreateTemp(c.dir, name+"-*.log")
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(commandDir, command), args...)
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

// awaitListening waits until an address accepts connections.
func (c *Cluster) awaitListening(address string) {
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

// Eventually polls the condition and fails the test if it does not hold within the
// bound.
func (c *Cluster) Eventually(bound time.Duration, description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %v: %s", bound, description)
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

// startWorkerProcess starts one process that runs count workers.
func (c *Cluster) startWorkerProcess(prefix string, count, index int, region string) {
	p := c.startProcess("workers-"+prefix, "standin", "worker", "--count", fmt.Sprint(count), "--prefix", prefix, "--listen", c.host+":0",
		"--region", region, "--failure-domain", fmt.Sprintf("domain-%d", index), "--rack-prefix", prefix+"rack-", "--rack-size", "2")
	var found []instancelist.Instance
	c.Eventually(10*time.Second, "start of the workers with prefix "+prefix, func() bool {
		found = readWorkers(p.output.Name())
		return len(found) == count
	})
	for _, w := range found {
		c.workerProcesses[w.Name] = p
	}
	c.Workers = append(c.Workers, found...)
}

// WorkerProcess returns the process that runs a worker.
func (c *Cluster) WorkerProcess(name string) *Process { return c.workerProcesses[name] }

// readWorkers parses the workers that a process has written to its output.
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

// publishInstances replaces the content of the instance list.
func (c *Cluster) publishInstances(instances []instancelist.Instance) {
	c.t.Helper()
	body, _ := json.Marshal(instancelist.Reply{Instances: instances})
	c.Post("http://"+c.ListAddr+instancelist.PathInstances, string(body))
}

// Post sends a JSON body and fails the test on an error response.
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
	storeAddr, relayControl := c.StoreAddr, ""
	if c.options.StoreRelays {
		storeAddr, relayControl = c.startRelay(s.Instance)
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
	e := &Entry{Settings: s, path: path, relayControl: relayControl, Operator: client.New(client.Config{Addresses: []string{s.OperatorAddress}})}
	c.t.Cleanup(e.Operator.Close)
	c.Entries = append(c.Entries, e)
	c.StartEntry(e)
}

// startRelay starts a relay between an instance and the store. It returns the
// address of the relay and that of its control interface.
func (c *Cluster) startRelay(instance string) (address, relayControl string) {
	address, relayControl = c.freeAddress(), c.freeAddress()
	c.startProcess("relay-"+instance, "standin", "relay", "--listen", address, "--target", c.StoreAddr, "--control", relayControl)
	c.awaitListening(address)
	c.awaitListening(relayControl)
	return address, relayControl
}

// StallStoreConnections stalls the open connections of an instance to the store.
// New connections are not affected.
func (c *Cluster) StallStoreConnections(e *Entry) {
	c.t.Helper()
	c.Post("http://"+e.relayControl+standin.PathRelaySilence, "{}")
}

// StartEntry starts or restarts the process of an entry instance, and adds it to
// the instance list.
func (c *Cluster) StartEntry(e *Entry) {
	e.Process = c.startProcess(e.Settings.Instance, "mulberryd", e.path)
	c.awaitListening(e.Settings.CallerAddress)
	c.PutInstance(instancelist.Instance{Name: e.Settings.Instance, Address: e.Settings.EntryAddress, Role: instancelist.RoleEntry,
		Region: e.Settings.Region, FailureDomain: e.Settings.FailureDomain, State: instancelist.StateLive})
}

// PutInstance adds or replaces one instance in the instance list.
func (c *Cluster) PutInstance(instance instancelist.Instance) {
	c.t.Helper()
	body, _ := json.Marshal(instance)
	request, _ := http.NewRequest(http.MethodPut, "http://"+c.ListAddr+instancelist.PathInstances+"/"+instance.Name, strings.NewReader(string(body)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// dumpOnFailure logs the end of the output of every process if the test failed.
func (c *Cluster) dumpOnFailure() {
	if !c.t.Failed() {
		return
	}
	const tailBytes = 3000 // of each output
	paths, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "workers-") {
			continue // contains only addresses
		}
		text, _ := os.ReadFile(path)
		c.t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-tailBytes):])
	}
}
