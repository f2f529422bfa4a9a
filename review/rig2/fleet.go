package main

import (
	"bytes"
	"context"
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
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

const (
	serviceName = "svc1"
	hostName    = "jobs.example"
)

var zones = []string{"flanders-a", "wallonia-a", "brussels-a"}

// proxy passes bytes between an instance and a server. It can reset all connections and new ones (cut), or
// hold back all bytes (held).
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	cut   bool
	held  chan struct{} // closed when bytes pass again; nil if they pass
	pairs map[*pair]struct{}
}

// pair is a connection of an instance and the one to the server that belongs to it.
type pair struct {
	client, server net.Conn
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, pairs: map[*pair]struct{}{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		reset(client)
		reset(server)
		return
	}
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.pass(c, client, server) })
	group.Go(func() { p.pass(c, server, client) })
	group.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// pass copies bytes until either connection ends.
func (p *proxy) pass(c *pair, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		held := p.held
		p.mu.Unlock()
		if held != nil {
			<-held
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = c.client.Close()
	_ = c.server.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close with a reset
	}
	_ = c.Close()
}

// setCut resets all connections and new ones, or ends that.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.pairs {
			reset(c.client)
			reset(c.server)
		}
	}
}

// setHeld holds back all bytes, as a partition does, or delivers them.
func (p *proxy) setHeld(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case held && p.held == nil:
		p.held = make(chan struct{})
	case !held && p.held != nil:
		close(p.held)
		p.held = nil
	}
}

// node is an entry instance, a process of the program of the deploy file.
type node struct {
	name   string
	front  string
	ready  string
	link   *proxy // to the store
	boot   string
	cmd    *exec.Cmd
	exited chan struct{}
	logs   *os.File
}

type fleet struct {
	rec      *record
	w        *world
	dir      string
	store    *platformtest.Store
	address  string // of the store
	advice   string
	nodes    []*node
	workers  []*worker
	client   *http.Client
	version  int
	env      []string // of the instances, besides the path of the settings
	routes   []map[string]any
	tenants  []map[string]any
	ports    map[int]bool // first ones of the ranges that were given out
	services []map[string]any
}

func newFleet(rec *record, dir string) (*fleet, error) {
	f := &fleet{rec: rec, w: newWorld(rec), dir: dir, store: platformtest.NewStore(), ports: map[int]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	server := &http.Server{Handler: f.store}
	go func() { _ = server.Serve(listener) }() // ends with the process
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	f.services = []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}}
	f.tenants = []map[string]any{
		{"name": "red", "apiKeys": []string{"key-red"}, "priority": 1, "weight": 50, "cap": map[string]int64{"cpu": 150_000, "memMb": 600_000, "gpu": 0}},
		{"name": "blue", "apiKeys": []string{"key-blue"}, "priority": 1, "weight": 50, "cap": map[string]int64{"cpu": 150_000, "memMb": 600_000, "gpu": 0}},
	}
	f.routes = []map[string]any{route("r-1", "/q1/"), route("r-2", "/q2/")}
	return f, nil
}

func route(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": hostName, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
		"targetDurationMs": 1200, "priority": 1, "service": serviceName, "maxAttempts": 3, "stretch": 2.2, "allowAnonymous": false}
}

// configure writes the configuration as the operator does.
func (f *fleet) configure() time.Time {
	f.version += 2
	text, err := json.Marshal(map[string]any{
		"version": f.version, "routes": f.routes, "services": f.services, "tenants": f.tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		f.rec.fail("encode the configuration: %v", err)
	}
	f.store.Put("op/config", text)
	f.rec.logf("operator writes configuration %d, %d bytes, acknowledged", f.version, len(text))
	return time.Now()
}

// freePorts returns the first of n neighbouring free ports below those that the system hands out for
// outgoing connections, so that no other process is given one of them before the instance listens.
func (f *fleet) freePorts(n int) (int, error) {
	for range 200 {
		first := 20000 + n*rand.IntN(12000/n)
		free := !f.ports[first]
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
			if err != nil {
				free = false
				continue
			}
			if err := l.Close(); err != nil {
				return 0, err
			}
		}
		if free {
			f.ports[first] = true
			return first, nil
		}
	}
	return 0, errors.New("no neighbouring ports are free")
}

// addNode writes the settings of an instance and starts it.
func (f *fleet) addNode() (*node, error) {
	index := len(f.nodes)
	n := &node{name: fmt.Sprintf("edge-%s-%d", zones[index%len(zones)], index+1)}
	var err error
	if n.link, err = startProxy(f.address); err != nil {
		return nil, err
	}
	ports, err := f.freePorts(4)
	if err != nil {
		return nil, err
	}
	n.front, n.ready = fmt.Sprintf("127.0.0.1:%d", ports+2), fmt.Sprintf("127.0.0.1:%d", ports+3)
	n.boot = filepath.Join(f.dir, n.name+".toml")
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "flanders"
portRange = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
advice = %q
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
configMs = 2500
revokeMs = 5000
maxHoldMs = 10000
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, n.name, zones[index%len(zones)], ports, ports+1, f.advice, n.front, n.ready, n.link.address)
	if err := os.WriteFile(n.boot, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, f.start(n)
}

// start starts the process of an instance.
func (f *fleet) start(n *node) error {
	logs, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.logs = logs
	n.cmd = exec.Command("target/mulberryd", "--platform")
	n.cmd.Env = append([]string{"MULBERRYDRUM_BOOT=" + n.boot}, f.env...)
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		f.rec.logf("process of %s ends: %v", n.name, err)
		close(exited)
	}(n.cmd, n.exited)
	f.rec.logf("process of %s starts", n.name)
	return nil
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill() // it may have ended
			<-n.exited
		}
	}
}

// owner returns the instance that holds the ownership record, or nil.
func (f *fleet) owner() *node {
	var record struct {
		Instance string `json:"instance"`
	}
	if err := json.Unmarshal(f.store.Value("mulberrydrum/owner"), &record); err != nil {
		return nil
	}
	for _, n := range f.nodes {
		if n.name == record.Instance {
			return n
		}
	}
	return nil
}

// waitReady waits until all instances are ready and there is an owner.
func (f *fleet) waitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := f.owner() != nil
		for _, n := range f.nodes {
			response, err := f.client.Get("http://" + n.ready + "/v1/ready")
			if err != nil {
				ready = false
				continue
			}
			ready = ready && response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		if ready {
			f.rec.logf("all instances are ready; the owner is %s", f.owner().name)
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.rec.fail("the instances are not ready after %s", limit)
	return false
}

// call sends a request of a client. The status is 0 if there is no answer.
func (f *fleet) call(n *node, method, path, key string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		f.rec.fail("build a request: %v", err)
		return 0, nil
	}
	request.Host = hostName
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// submit hands a job in until it is accepted, at the instances in turn.
func (f *fleet) submit(prefix, key string, j *jobInfo) bool {
	steps := []map[string]any{}
	for _, s := range j.steps {
		m := map[string]any{"count": s.count, "cpu": s.cpu, "memMb": s.mem}
		estimate := s.duration.Milliseconds()
		if s.lasts {
			m["runForever"], estimate = true, 1000
		}
		if s.estimate > 0 {
			estimate = s.estimate.Milliseconds()
		}
		m["estimateMs"] = max(estimate, 1)
		if s.gang {
			m["gang"] = true
		}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		if s.antiAffinity > 0 {
			m["antiAffinity"] = s.antiAffinity
		}
		steps = append(steps, m)
	}
	body := map[string]any{"spec": j.spec, "steps": steps}
	if j.repeats > 0 {
		body["repeatCount"], body["firstMs"], body["intervalMs"] = j.repeats, j.firstAt.UnixMilli(), j.interval.Milliseconds()
	}
	text, err := json.Marshal(body)
	if err != nil {
		f.rec.fail("encode a job: %v", err)
		return false
	}
	f.w.mu.Lock()
	f.w.jobs[j.id] = j
	f.w.mu.Unlock()
	for try := range 8 {
		n := f.nodes[(f.w.jobIndex(j.id)+try)%len(f.nodes)]
		status, _ := f.call(n, http.MethodPost, prefix+j.id, key, text, 3*time.Second)
		f.rec.logf("POST %s%s at %s: %d", prefix, j.id, n.name, status)
		if status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
			j.unclear = true
		}
		if status >= 200 && status < 300 {
			f.w.mu.Lock()
			j.accepted = time.Now()
			f.w.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (w *world) jobIndex(id string) int {
	n, _ := strconv.ParseUint(id[8:], 16, 64) // the IDs of the rig are hexadecimal
	return int(n % 1000)
}

// state asks for the state of a job, at the instances in turn.
func (f *fleet) state(prefix, key, id string) string {
	for try := range 4 {
		n := f.nodes[(f.w.jobIndex(id)+try)%len(f.nodes)]
		status, text := f.call(n, http.MethodGet, prefix+id, key, nil, 2*time.Second)
		var reply struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "410"
		case status == http.StatusOK && json.Unmarshal(text, &reply) == nil:
			return reply.State
		}
	}
	return "none"
}
