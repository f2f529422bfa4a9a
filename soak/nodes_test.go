package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
	"github.com/mulberrydrum/mulberrydrum/platform/settings"
)

const (
	zones    = 3
	memoryMB = 284 // of an instance
)

func zone(index int) string { return fmt.Sprintf("z%d", index%zones) }

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// addHost adds a host with a running worker.
func (h *harness) addHost(index int) {
	added, err := platformtest.NewHost(h.store, service, zone(index), fmt.Sprint("r", index/4))
	if err != nil {
		h.t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(added.Address)
	if err != nil {
		h.t.Fatal(err)
	}
	added.OnStart = h.recordBegin
	added.Address = net.JoinHostPort(machineIP(firstHost+index), port)
	h.network.addMachine(firstHost+index, port)
	h.hosts = append(h.hosts, added)
	h.startWorker(added, h.newWorkerID(index))
	h.t.Cleanup(func() { added.Heal(); added.Crash() })
}

// newWorkerID returns the ID of a new worker on a host.
func (h *harness) newWorkerID(index int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := fmt.Sprintf("i-%04d", len(h.hostOf))
	h.hostOf[id] = index
	return id
}

func (h *harness) startWorker(on *platformtest.Host, id string) {
	if err := on.Start(id); err != nil {
		h.t.Errorf("start worker %s: %v", id, err)
	}
}

// node is the machine of an entry instance. Its address stays the same when the process is restarted.
type node struct {
	h           *harness
	index       int
	ip          string
	store       *platformtest.Path // to the store
	storeAddr   string
	advice      string      // address of the advice service
	storeDenied atomic.Bool // the store refuses the calls of this node
	storeMuted  atomic.Bool // the store carries out the calls of this node, and the answers are lost

	disruption disruption

	fault sync.Mutex // held by the fault that affects the node
	mu    sync.Mutex
	cmd   *exec.Cmd
	log   *bytes.Buffer
}

// newNode starts an entry instance. Each one has a separate loopback address, so that all can use the
// same ports, and its own way to the store, which can be cut.
func (h *harness) newNode(index int) *node {
	n := &node{h: h, index: index, ip: machineIP(firstNode + index)}
	store := translateValues(h.store, n.zone())
	n.store = platformtest.NewPath(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.storeDenied.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if n.storeMuted.Load() {
			store.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		store.ServeHTTP(w, r)
	}))
	h.t.Cleanup(n.store.Close)
	n.storeAddr = h.network.forward("127.0.0.1:0", n.store.Address, n.zone(), outside)
	n.advice = h.network.forward("127.0.0.1:0", h.advice, n.zone(), outside)
	h.network.addMachine(firstNode+index, peerPort)
	n.start()
	h.t.Cleanup(func() {
		n.kill()
		if h.t.Failed() && os.Getenv("SOAK_LOGS") != "" {
			h.t.Logf("e%d:\n%s", index, n.log)
		}
	})
	return n
}

func (n *node) front() string { return n.ip + ":8183" }

func (n *node) zone() int { return n.index % zones }

// peerPort is the port for calls between instances, which is the first of the range in the settings.
const peerPort = "7420"

// start starts the process of the instance.
func (n *node) start() {
	path := filepath.Join(n.h.t.TempDir(), "settings.toml")
	text := fmt.Sprintf(`nodeName = "e%d"
ip = "%s"
zone = "%s"
portRange = [%s,7435]
advice = "%s"
[listen]
front = "%s:8183"
ready = "%s:8184"
[limits]
memoryMb = %d
cpuShare = 0.4
cores = 1
[bounds]
graceS = 3
maxHoldMs = 10000
[platform]
address = "%s"
form = "kv"
`, n.index, n.ip, zone(n.index), peerPort, n.advice, n.ip, n.ip, memoryMB, n.storeAddr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		n.h.t.Error(err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		n.log = &bytes.Buffer{}
	}
	n.cmd = exec.Command(n.h.program, "--platform")
	n.cmd.Env = append(os.Environ(), settings.EnvPath+"="+path)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		n.h.t.Error(err)
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // the process may have ended already
}

// wait returns when the process has ended.
func (n *node) wait() {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	_ = cmd.Wait() // a non-zero exit status is expected
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

// restart ends the process with a signal and starts another one after a downtime.
func (n *node) restart(s syscall.Signal, downtime time.Duration) {
	n.signal(s)
	n.wait()
	time.Sleep(downtime)
	n.start()
}

// freeze stops the process for the given time.
func (n *node) freeze(d time.Duration) {
	from := time.Now()
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
	n.h.mu.Lock()
	defer n.h.mu.Unlock()
	n.h.frozen = append(n.h.frozen, period{from, time.Now()})
}

// slowDown gives the process a tenth of its processor time for the given time.
func (n *node) slowDown(d time.Duration) {
	const slice = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		n.signal(syscall.SIGSTOP)
		time.Sleep(9 * slice)
		n.signal(syscall.SIGCONT)
		time.Sleep(slice)
	}
}

// owner returns the node whose instance owns the partition, or nil.
func (h *harness) owner() *node {
	text := h.store.Value("mulberrydrum/owner")
	for _, n := range h.nodes {
		if bytes.Contains(text, fmt.Appendf(nil, `"instance":"e%d"`, n.index)) {
			return n
		}
	}
	return nil
}
