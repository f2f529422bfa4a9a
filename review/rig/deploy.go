package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service   = "huvo11a"
	apiKey    = "6x73d3zji9n73hh2b9wu"
	otherKey  = "3fexd9dnn2ctnfzs989a"
	callLimit = 3 * time.Second // Deadline-Ms of the calls
)

// storeRegion is the region of the platform's store.
const storeRegion = "flanders"

// errCannotRun marks a case that could not run.
var errCannotRun = errors.New("the case could not run")

func cannotRun(format string, args ...any) {
	panic(fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, args...)))
}

// process is a process that the script started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(p.cmd.Process.Pid, s) }

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends a process with SIGKILL, also if it is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// entryInstance is an entry instance of the system.
type entryInstance struct {
	name, zone   string
	front, ready string
	boot         string
	process      *process
}

type workerProcess struct {
	cfg     workerConfig
	process *process
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec       *recorder
	began     time.Time
	path      string // of the record
	dir       string
	storeAddr string
	// adviceAddr is the address of the advice service; empty if there is none.
	adviceAddr string
	// regionDelay is the time that bytes take one way between the store and instances outside its
	// region; 0 for none.
	regionDelay time.Duration
	store       *store
	instances   []*entryInstance
	workers     []*workerProcess
	mu          sync.Mutex
	started     []*process
	client      *http.Client
}

func newDeployment(record string) *deployment {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	path, err := filepath.Abs(record)
	if err != nil {
		cannotRun("%v", err)
	}
	_ = os.Remove(path)
	began := time.Now().Truncate(time.Millisecond)
	d := &deployment{
		began: began, path: path, dir: dir, rec: openRecorder(path, time.UnixMilli(began.UnixMilli())), store: newStore(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	d.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.store) }()
	return d
}

// close ends all processes that the script has started.
func (d *deployment) close() {
	d.mu.Lock()
	started := d.started
	d.mu.Unlock()
	for _, p := range started {
		if p.running() {
			p.kill()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.dir, keep)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// usedPorts holds the ports that freePair has returned.
var usedPorts = map[int]bool{}

// freePair returns the first of two consecutive free ports below the range that the system gives to
// outgoing connections. Scripts that run at the same time use different parts of the range.
func freePair() int {
	const parts, part = 40, 500
	base := 10_000 + part*(os.Getpid()%parts)
	for range 500 {
		first := base + 2*rand.IntN(part/2)
		if !usedPorts[first] && isFree(first) && isFree(first+1) {
			usedPorts[first] = true
			return first
		}
	}
	cannotRun("there are no two consecutive free ports")
	return 0
}

func freePort() int { return freePair() }

func isFree(port int) bool {
	listener, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

const settingsText = `nodeName = "%s"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%s"
region = "%s"
portRange = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
orders = "call"
advice = "%s"
[listen]
front = "%s"
ready = "%s"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
graceS = 6
maxHoldMs = 10000
stableWindowMs = 4000
configMs = 2500
strictRevoke = true
revokeMs = 5000
stopMs = 900
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
[platform]
address = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloud]
duties = []
`

// addInstance prepares an entry instance in a zone; startInstance starts it.
func (d *deployment) addInstance(zone string) *entryInstance {
	n := len(d.instances) + 1
	i := &entryInstance{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, front: address(freePort()), ready: address(freePort())}
	ports := freePair()
	region, _, _ := strings.Cut(zone, "-")
	i.boot = filepath.Join(d.dir, i.name+".toml")
	storeAddr := d.storeAddr
	if d.regionDelay > 0 && region != storeRegion {
		storeAddr = delayProxy(d.storeAddr, d.regionDelay)
	}
	text := fmt.Sprintf(settingsText, i.name, zone, region, ports, ports+1, d.adviceAddr, i.front, i.ready, storeAddr)
	if err := os.WriteFile(i.boot, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
	d.instances = append(d.instances, i)
	return i
}

// startInstance starts an entry instance with the command of the deploy file.
func (d *deployment) startInstance(i *entryInstance) {
	i.process = d.start(i.name, []string{"MULBERRYDRUM_BOOT=" + i.boot}, "target/mulberryd", "--platform")
	d.rec.write("instance_started", "instance", i.name, "pid", i.process.cmd.Process.Pid)
}

func (d *deployment) start(name string, env []string, command string, args ...string) *process {
	cmd := exec.Command(command, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", command, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); _ = log.Close(); close(p.done) }()
	d.mu.Lock()
	d.started = append(d.started, p)
	d.mu.Unlock()
	return p
}

// addWorker prepares a worker; startWorker starts it.
func (d *deployment) addWorker(id, zone, rack string, cpu int64) *workerProcess {
	w := &workerProcess{cfg: workerConfig{
		ID: id, Zone: zone, Rack: rack, Listen: address(freePort()), Store: d.storeAddr, Record: d.path,
		Began: d.began.UnixMilli(), CPU: cpu, Service: service, Kind: "a",
	}}
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	return w
}

func (d *deployment) startWorker(w *workerProcess) {
	arg, err := json.Marshal(w.cfg)
	if err != nil {
		cannotRun("%v", err)
	}
	self, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	w.process = d.start("worker-"+w.cfg.ID, nil, self, "worker", string(arg))
}

// crashWorker kills a worker with SIGKILL.
func (d *deployment) crashWorker(w *workerProcess) {
	w.process.kill()
	d.rec.write("worker_killed", "worker", w.cfg.ID)
}

// owner returns the instance that the record in the store names, or nil.
func (d *deployment) owner() *entryInstance {
	var record struct {
		Instance string `json:"instance"`
	}
	if json.Unmarshal(d.store.value("mulberrydrum/owner"), &record) != nil {
		return nil
	}
	for _, i := range d.instances {
		if i.name == record.Instance {
			return i
		}
	}
	return nil
}

// waitFor waits until a condition holds.
func (d *deployment) waitFor(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			cannotRun("%s: not within %s", what, limit)
		}
	}
}

// waitReady waits until all started instances are ready and one of them owns the tasks.
func (d *deployment) waitReady() {
	d.waitFor("all instances are ready", 20*time.Second, func() bool {
		for _, i := range d.instances {
			if i.process == nil {
				continue
			}
			response, err := d.client.Get("http://" + i.ready + "/v1/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return d.owner() != nil
	})
}

type queue struct {
	Name, Prefix string
	Priority     int
	Target       int // targetDurationMs
	Stretch      float64
	Advice       bool
}

type tenant struct {
	Name, Key string
	Weight    float64
	CPU       int64 // cap; 0 for none
}

const host = "nony24.example"

// configure writes a configuration as the operator does.
func (d *deployment) configure(version int, queues []queue, tenants []tenant) {
	var routes, owners []any
	var names []string
	for _, q := range queues {
		names = append(names, q.Name)
		route := map[string]any{
			"name": q.Name, "host": host, "prefix": q.Prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": q.Target, "priority": q.Priority, "service": service, "maxAttempts": 3, "stretch": q.Stretch, "allowAnonymous": false,
		}
		if q.Advice {
			route["advice"] = map[string]any{"decideMs": decideMs, "eachMs": eachMs, "validMs": validMs}
		}
		routes = append(routes, route)
	}
	for _, t := range tenants {
		owners = append(owners, map[string]any{
			"name": t.Name, "apiKeys": []string{t.Key}, "priority": 1, "weight": t.Weight,
			"cap": map[string]int64{"cpu": t.CPU, "memMb": 0, "gpu": 0},
		})
	}
	d.store.putOperator("op/config", map[string]any{
		"version": version, "routes": routes, "tenants": owners,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.rec.write("configuration_acknowledged", "version", version, "routes", names, "tenants", tenants)
}

type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu"`
	MemMB      int64  `json:"memMb"`
	EstimateMs int    `json:"estimateMs"`
	After      []int  `json:"after,omitempty"`
	RunForever bool   `json:"runForever,omitempty"`
	AntiAff    int    `json:"antiAffinity,omitempty"`
	Needs      string `json:"needs,omitempty"`
}

// call makes one call of a client and returns the status (0 without an answer) and the body.
func (d *deployment) call(i *entryInstance, method, path, key string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			cannotRun("%v", err)
		}
		content = strings.NewReader(string(text))
	}
	request, err := http.NewRequest(method, "http://"+i.front+path, content)
	if err != nil {
		cannotRun("%v", err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	sent := time.Since(d.began).Milliseconds()
	client := *d.client
	client.Timeout = callLimit
	response, err := client.Do(request)
	status, text := 0, ""
	if err == nil {
		read, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, string(read)
	}
	d.rec.write("call", "method", method, "path", path, "to", i.name, "sent_ms", sent, "status", status, "answer", text)
	return status, text
}

// submitBody hands in any body.
func (d *deployment) submitBody(at []*entryInstance, path, key string, body any, off int) {
	for try := range 60 {
		status, _ := d.call(at[(try+off)%len(at)], http.MethodPost, path, key, body)
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("job %s was not accepted", path)
}

// submit hands in a job and repeats the call at other instances until it is accepted.
func (d *deployment) submit(at []*entryInstance, path, key, spec string, steps []step) {
	for try := range 20 {
		status, _ := d.call(at[try%len(at)], http.MethodPost, path, key, map[string]any{"spec": spec, "steps": steps})
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("job %s was not accepted", path)
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
