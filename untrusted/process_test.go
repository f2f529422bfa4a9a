// Package untrusted sends requests of clients that do not stay within the limits to processes of the
// system. Each test checks that the process stays alive, that its memory and its open descriptors stay
// below those of its machine, and that an ordinary request is answered afterwards. The crowds and the
// bounds are fixed: a change of the program must not change them.
package untrusted

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
)

// program is the path of the mulberryd under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "untrusted-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "mulberryd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/mulberryd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build mulberryd: %v\n%s", err, out)
		return 1
	}
	return processtest.RunTests(m)
}

// target is a process under test and the bounds that it must keep.
type target struct {
	pid            int
	ip             string
	address        string // of the listener for callers
	maxMemory      int64  // bytes, resident and received by the kernel
	maxDescriptors int
	running        func() bool
	kill           func()
	request        func() (answered, refused bool) // sends an ordinary request
}

// sampleInterval is the time between two measurements of a process.
const sampleInterval = 20 * time.Millisecond

// usage is the highest use of a process that was measured.
type usage struct {
	mu          sync.Mutex
	memory      int64 // resident and received by the kernel at the same time
	received    int64 // received by the kernel and not read by the process
	descriptors int
}

func (u *usage) measure(p *target) {
	resident, received, descriptors := statusBytes(p.pid, "VmRSS"), receivedBytes(p.ip), openDescriptors(p.pid)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.memory = max(u.memory, resident+received, statusBytes(p.pid, "VmHWM"))
	u.received = max(u.received, received)
	u.descriptors = max(u.descriptors, descriptors)
}

// watch measures a process until stop is called.
func (u *usage) watch(p *target) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			u.measure(p)
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() { close(done); wait.Wait() }
}

// statusBytes returns a field of /proc/PID/status that is stated in kB, or 0 once the process has ended.
func statusBytes(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) == 3 && words[0] == field+":" {
			n, _ := strconv.ParseInt(words[1], 10, 64) // the kernel writes a number
			return n << 10
		}
	}
	return 0
}

func openDescriptors(pid int) int {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, _ := dir.Readdirnames(-1) // a process that ends has no entries
	return len(names)
}

// receivedBytes returns the bytes that wait in the receive buffers of the sockets of an address.
func receivedBytes(ip string) int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	octets := slices.Clone(net.ParseIP(ip).To4())
	slices.Reverse(octets) // the kernel writes the address in the byte order of the processor
	local := strings.ToUpper(hex.EncodeToString(octets))
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 5 || !strings.HasPrefix(words[1], local) {
			continue
		}
		_, received, _ := strings.Cut(words[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}

const (
	// maxRequests bounds the ordinary requests that are sent until one is answered.
	maxRequests  = 60
	requestPause = 100 * time.Millisecond
)

// awaitAnswer sends ordinary requests until one is answered. Only a refusal that states that the
// request has not run, or a connection that is closed without a response, may precede the answer.
func (p *target) awaitAnswer(t *testing.T, when string) {
	t.Helper()
	for range maxRequests {
		answered, refused := p.request()
		if answered {
			return
		}
		if !refused {
			t.Errorf("%s: an ordinary request was neither answered nor refused", when)
			return
		}
		time.Sleep(requestPause)
	}
	t.Errorf("%s: none of %d ordinary requests was answered", when, maxRequests)
}

// check sends the crowd to the process and checks its bounds. The crowd stays connected while the
// first ordinary request is sent.
func (p *target) check(t *testing.T, c crowd) {
	t.Helper()
	var highest usage
	stopWatch := highest.watch(p)
	stopCrowd := c.start(t, p.address)
	if p.running() {
		p.awaitAnswer(t, "with the crowd connected")
		highest.measure(p)
	}
	stopCrowd()
	if p.running() {
		p.awaitAnswer(t, "after the crowd has left")
	}
	stopWatch()
	highest.check(t, p)
}

// check checks that the process lives and has kept its bounds.
func (u *usage) check(t *testing.T, p *target) {
	t.Helper()
	if !p.running() {
		t.Error("the process has ended")
	}
	t.Logf("%d MB, of which received %d kB; %d descriptors", u.memory>>20, u.received>>10, u.descriptors)
	if u.memory > p.maxMemory {
		t.Errorf("memory %d MB, want at most %d", u.memory>>20, p.maxMemory>>20)
	}
	if u.descriptors > p.maxDescriptors {
		t.Errorf("%d open descriptors, want at most %d", u.descriptors, p.maxDescriptors)
	}
}

// watchedInstances are the instances of a deployment while their use is measured.
type watchedInstances struct {
	instances []*target
	highest   []*usage
	stop      []func()
}

func (d *deployment) watch() *watchedInstances {
	w := &watchedInstances{instances: d.instances}
	for _, p := range d.instances {
		u := &usage{}
		w.highest, w.stop = append(w.highest, u), append(w.stop, u.watch(p))
	}
	return w
}

// check ends the measurement and checks that the instances live and have kept their bounds.
func (w *watchedInstances) check(t *testing.T) {
	t.Helper()
	for i, p := range w.instances {
		w.stop[i]()
		w.highest[i].check(t, p)
	}
}
