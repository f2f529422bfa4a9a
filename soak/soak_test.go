// Package soak runs real entry instances as processes against stand-ins of the
// platform, with random faults from outside, and checks the promises to callers
// while it runs. Seeds that ever failed are listed in regressions.
package soak

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
	"github.com/mulberrydrum/mulberrydrum/platform/settings"
)

var (
	seedFlag = flag.Uint64("soak.seed", 1, "first seed")
	seeds    = flag.Int("soak.seeds", 1, "number of seeds")
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{}

const (
	instances  = 4
	workers    = 6
	faultsTime = 12 * time.Second // during which faults strike
	settleTime = 25 * time.Second // within which every accepted job has to end: the longest lease, a takeover and the work
	host       = "shop.example"
	key        = "k"
)

// fleet is one run of the soak.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	program string
	store   *platformtest.Store
	workers []*platformtest.Worker
	mu      sync.Mutex
	procs   []*proc
	jobs    map[string]*promised
	addrs   struct{ store, advice string }
}

type proc struct {
	index int
	cmd   *exec.Cmd
	front string
	log   *bytes.Buffer
}

// promised is what a caller was told of a job.
type promised struct {
	accepted bool
	refused  bool // every try was refused
}

// TestSoak guards against broken promises under faults that nobody thought of
// together: kills, stops, pauses, and a store that refuses, is silent or loses
// answers.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mulberryd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/mulberryd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	list := append([]uint64(nil), regressions...)
	for n := range uint64(*seeds) {
		list = append(list, *seedFlag+n)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, program, seed) })
	}
}

func run(t *testing.T, program string, seed uint64) {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 2)), program: program, store: platformtest.NewStore(), jobs: map[string]*promised{}}
	f.addrs.store = serve(t, f.store)
	f.addrs.advice = serve(t, &platformtest.Advice{Valid: 2 * time.Second})
	f.store.Configure(1, "calc", []string{key}, platformtest.Queue{Name: "q", Host: host, Prefix: "/q/", Attempts: 3, Advised: true})
	for i := range workers {
		w := platformtest.NewWorker(fmt.Sprintf("i-%d", i))
		f.workers = append(f.workers, w)
		f.store.Register(w, "calc", serve(t, w), "r1")
	}
	for i := range instances {
		f.procs = append(f.procs, f.start(i))
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 3 {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+10))
		callers.Go(func() { f.submitJobs(n, rng, stop) })
	}
	for end := time.Now().Add(faultsTime); time.Now().Before(end); {
		f.fault()
	}
	close(stop)
	callers.Wait()
	f.store.SetFaults(platformtest.StoreFaults{})
	f.check(seed)
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// start starts one entry instance. Its ports are its own by its loopback host.
func (f *fleet) start(index int) *proc {
	ip := fmt.Sprintf("127.92.%d.%d", os.Getpid()%250+1, index+1)
	path := filepath.Join(f.t.TempDir(), "settings.toml")
	text := fmt.Sprintf(`nodeName = "e%d"
ip = "%s"
portRange = [7420,7435]
advice = "%s"
[listen]
front = "%s:8183"
ready = "%s:8184"
[limits]
memoryMb = 284
[bounds]
graceS = 3
[platform]
address = "%s"
form = "kv"
`, index, ip, f.addrs.advice, ip, ip, f.addrs.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := &proc{index: index, cmd: exec.Command(f.program, "--platform"), front: ip + ":8183", log: &bytes.Buffer{}}
	p.cmd.Env = append(os.Environ(), settings.EnvPath+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()
		if f.t.Failed() && os.Getenv("SOAK_LOGS") != "" {
			f.t.Logf("e%d (process %d):\n%s", index, p.cmd.Process.Pid, p.log)
		}
	})
	return p
}

// fault lets one fault strike, and waits a little.
func (f *fleet) fault() {
	i := f.rng.IntN(instances)
	f.mu.Lock()
	p := f.procs[i]
	f.mu.Unlock()
	short := time.Duration(200+f.rng.IntN(1800)) * time.Millisecond
	switch f.rng.IntN(8) {
	case 0, 1:
		f.restart(p, syscall.SIGKILL, short/2)
	case 2:
		f.restart(p, syscall.SIGTERM, 0)
	case 3:
		f.signal(p, syscall.SIGSTOP)
		time.Sleep(short)
		f.signal(p, syscall.SIGCONT)
	case 4:
		f.store.SetFaults(platformtest.StoreFaults{Refuse: f.rng.IntN(2) == 0, Silent: true})
		time.Sleep(short)
		f.store.SetFaults(platformtest.StoreFaults{})
	case 5:
		f.store.SetFaults(platformtest.StoreFaults{LoseWrites: 1 + f.rng.IntN(5), LateBy: time.Duration(f.rng.IntN(3)) * time.Second})
	case 6:
		f.store.SetFaults(platformtest.StoreFaults{Slow: time.Duration(f.rng.IntN(300)) * time.Millisecond})
		time.Sleep(short)
		f.store.SetFaults(platformtest.StoreFaults{})
	case 7:
		f.workers[f.rng.IntN(workers)].LoseAnswers(1 + f.rng.IntN(3))
	}
	time.Sleep(time.Duration(f.rng.IntN(700)) * time.Millisecond)
}

func (f *fleet) signal(p *proc, s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// restart ends a process and starts another in its place.
func (f *fleet) restart(p *proc, s syscall.Signal, pause time.Duration) {
	f.signal(p, s)
	_ = p.cmd.Wait() // the way in which it ended is the fault
	time.Sleep(pause)
	next := f.start(p.index)
	f.mu.Lock()
	f.procs[p.index] = next
	f.mu.Unlock()
}

// submitJobs hands in jobs until stop, and repeats those whose fate it does not
// know at other instances, as callers do.
func (f *fleet) submitJobs(caller int, rng *rand.Rand, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", (caller+1)<<32+n)
		body := fmt.Sprintf(`{"spec":"%dms","steps":[{"count":%d,"cpu":2000,"memMb":100,"estimateMs":300,"gang":%v},{"count":1,"cpu":500,"memMb":10,"after":[0]}]}`,
			20+rng.IntN(1200), 1+rng.IntN(3), rng.IntN(4) == 0)
		p := &promised{refused: true}
		for range 6 {
			status := f.call(rng.IntN(instances), "POST", id, body)
			p.accepted = p.accepted || status == http.StatusOK
			p.refused = p.refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
			if p.accepted || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				break
			}
			time.Sleep(150 * time.Millisecond)
		}
		f.mu.Lock()
		f.jobs[id] = p
		f.mu.Unlock()
	}
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call returns the status of a call, 0 without a complete answer, and for GET of
// a job that is completed 299.
func (f *fleet) call(instance int, method, id, body string) int {
	f.mu.Lock()
	front := f.procs[instance].front
	f.mu.Unlock()
	request, err := http.NewRequest(method, "http://"+front+"/q/"+id, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if strings.Contains(string(text), `"completed"`) {
		return completed
	}
	return response.StatusCode
}

const completed = 299

// check waits until every accepted job has ended, and compares what callers were
// told with what workers ran.
func (f *fleet) check(seed uint64) {
	deadline := time.Now().Add(settleTime)
	accepted, refused := 0, 0
	for id, p := range f.jobs {
		switch {
		case p.accepted:
			accepted++
			for status := 0; status != completed; time.Sleep(20 * time.Millisecond) {
				if status = f.call(f.rng.IntN(instances), "GET", id, ""); time.Now().After(deadline) {
					f.t.Errorf("seed %d: job %s was accepted and is not completed: %d", seed, id, status)
					break
				}
			}
		case p.refused:
			refused++
		}
	}
	runs := map[string][]platformtest.Ran{}
	for _, w := range f.workers {
		for _, r := range w.Ran() {
			runs[r.Task] = append(runs[r.Task], r)
			if p := f.jobs[r.Task[:16]]; p == nil || p.refused {
				f.t.Errorf("seed %d: %s ran, and its caller was told that it does not", seed, r.Task)
			}
		}
	}
	for task, list := range runs {
		f.checkRuns(seed, task, list)
	}
	f.t.Logf("seed %d: %d jobs accepted, %d refused, %d tasks", seed, accepted, refused, len(runs))
	if accepted < 20 {
		f.t.Errorf("seed %d: only %d jobs were accepted", seed, accepted)
	}
}

// checkRuns checks that no two runs of a task overlap, and that none follows a
// success.
func (f *fleet) checkRuns(seed uint64, task string, list []platformtest.Ran) {
	for i, a := range list {
		for k, b := range list {
			if i == k {
				continue
			}
			if b.Begun.After(a.Begun) && (a.Ended.IsZero() || b.Begun.Before(a.Ended)) {
				f.t.Errorf("seed %d: runs %d and %d of %s overlap", seed, a.Run, b.Run, task)
			}
			if a.How == "done" && b.Begun.After(a.Ended) {
				f.t.Errorf("seed %d: run %d of %s follows a success", seed, b.Run, task)
			}
		}
	}
}
