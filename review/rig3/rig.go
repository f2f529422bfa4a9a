package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

// Names of the deployment.
const (
	service  = "stresscalc"
	host     = "nony24.example"
	prefix   = "/lohu930/"
	key      = "key-of-red"
	zoneName = "flanders-a"
)

// rig is a small deployment.
type rig struct {
	rec       *recorder
	program   string
	dir       string // temporary
	store     *valueStore
	address   string // of the store
	ledger    *ledger
	workers   []*worker
	instances []*instance
	server    *http.Server
}

// instance is a process of an entry instance.
type instance struct {
	name    string
	front   string
	link    *proxy // to the store
	command *exec.Cmd
	config  string // path of the settings file
	log     *os.File
	exited  chan struct{}
}

func newRig(rec *recorder, program string) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{
		rec: rec, program: program, dir: dir, address: listener.Addr().String(),
		store: &valueStore{Store: platformtest.NewStore(), rec: rec}, ledger: &ledger{attempts: map[string]int{}},
	}
	r.server = &http.Server{Handler: r.store}
	go func() { _ = r.server.Serve(listener) }() // returns when the server is closed
	return r, nil
}

// configure writes the configuration as the operator does.
func (r *rig) configure(version, maxAttempts int) error {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "jobs", "host": host, "prefix": prefix, "service": service, "priority": 1, "maxAttempts": maxAttempts,
			"stretch": 2.0, "targetDurationMs": 1000, "timeoutMs": 3000,
		}},
		"services": []any{map[string]any{"name": service, "enforcesCapacity": false}},
		"tenants":  []any{map[string]any{"name": "red", "weight": 200, "apiKeys": []string{key}, "cap": map[string]int{}}},
	})
	if err != nil {
		return err
	}
	r.store.Put("op/config", text)
	return nil
}

// start starts workers and instances and waits until the instances are ready and one of them owns the work.
func (r *rig) start(workers, instances int) error {
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), zoneName, fmt.Sprintf("r1-%d", i/2), r.ledger, r.store)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	for i := range instances {
		if err := r.addInstance(fmt.Sprintf("edge-%s-%d", zoneName, i+1)); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		if r.owner() != nil && r.allReady() {
			time.Sleep(2 * time.Second)
			r.rec.log("%d instances are ready, %s is the owner", len(r.instances), r.owner().name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the instances are not ready")
}

func (r *rig) allReady() bool {
	for _, i := range r.instances {
		if status, _, _ := r.call(i, http.MethodGet, "", nil, time.Second); status != http.StatusOK {
			return false
		}
	}
	return true
}

// owner returns the instance that the ownership record names, or nil.
func (r *rig) owner() *instance {
	var record struct {
		Instance string `json:"instance"`
	}
	if json.Unmarshal(r.store.Value("mulberrydrum/owner"), &record) != nil {
		return nil
	}
	for _, i := range r.instances {
		if i.name == record.Instance {
			return i
		}
	}
	return nil
}

// others returns the instances other than the given ones.
func (r *rig) others(except ...*instance) []*instance {
	var out []*instance
next:
	for _, i := range r.instances {
		for _, e := range except {
			if i == e {
				continue next
			}
		}
		out = append(out, i)
	}
	return out
}

// Ports of the instances: below those that the system takes for outgoing connections.
const firstPort, lastPort = 12_000, 30_000

// freePorts returns the first of a number of consecutive free ports.
func freePorts(n int) (int, error) {
	for range 1000 {
		first := firstPort + rand.IntN(lastPort-firstPort-n)
		if areFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("there are no %d consecutive free ports", n)
}

func areFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		if err := listener.Close(); err != nil {
			return false
		}
	}
	return true
}

func (r *rig) addInstance(name string) error {
	link, err := newProxy(r.address)
	if err != nil {
		return err
	}
	port, err := freePorts(19)
	if err != nil {
		return err
	}
	i := &instance{name: name, front: fmt.Sprintf("127.0.0.1:%d", port+16), link: link, config: filepath.Join(r.dir, name+".toml")}
	text := strings.NewReplacer(
		"NAME", name, "ZONE", zoneName, "FIRST", fmt.Sprint(port), "LAST", fmt.Sprint(port+15),
		"FRONT", i.front, "READY", fmt.Sprintf("127.0.0.1:%d", port+17), "CONTROL", fmt.Sprintf("127.0.0.1:%d", port+18), "STORE", link.address,
	).Replace(settings)
	if err := os.WriteFile(i.config, []byte(text), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(r.dir, name+".log")); err != nil {
		return err
	}
	r.instances = append(r.instances, i)
	return r.launch(i)
}

// launch starts the process of an instance with the command of the deploy file.
func (r *rig) launch(i *instance) error {
	i.command = exec.Command(r.program, "--platform", "--past-use-half-life=1h", "--forecast")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYDRUM_BOOT=" + i.config}
	i.command.Stdout, i.command.Stderr = i.log, i.log
	if err := i.command.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // the exit status of a killed process
		close(exited)
	}(i.command, i.exited)
	return nil
}

// kill kills an instance and starts it again after a delay.
func (r *rig) kill(i *instance, restartAfter time.Duration) error {
	r.rec.log("%s is killed", i.name)
	_ = i.command.Process.Kill()
	<-i.exited
	time.Sleep(restartAfter)
	r.rec.log("%s starts again", i.name)
	return r.launch(i)
}

// stop ends everything that the rig has started.
func (r *rig) stop() {
	for _, i := range r.instances {
		if i.command == nil || i.command.Process == nil {
			continue
		}
		_ = i.command.Process.Signal(syscall.SIGKILL)
		<-i.exited
		_ = i.log.Close()
	}
	for _, w := range r.workers {
		_ = w.server.Close()
	}
	_ = r.server.Close()
	if os.Getenv("RIG3_KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}

// settings has the figures of the site lpa-drum.
const settings = `nodeName = "NAME"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "ZONE"
region = "flanders"
portRange = [FIRST, LAST]
seeds = ["CONTROL"]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "call"
advice = "127.0.0.1:9"
[zones]
flanders-a = "flanders"
[listen]
front = "FRONT"
ready = "READY"
control = "CONTROL"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
stableWindowMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
lossSlackMs = 200
configMs = 2500
strictRevoke = true
revokeMs = 5000
maxHoldMs = 10000
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
address = "STORE"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// logMemory records the peak memory of each process.
func (r *rig) logMemory() {
	for _, i := range r.instances {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
		if err != nil {
			continue // the process has ended
		}
		for _, line := range strings.Split(string(text), "\n") {
			if peak, found := strings.CutPrefix(line, "VmHWM:"); found {
				r.rec.log("peak memory of %s: %s", i.name, strings.TrimSpace(peak))
			}
		}
	}
}
