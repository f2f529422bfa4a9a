// Package soak runs entry instances as separate processes against stand-ins for
// the platform, injects random external faults, and checks that the outcomes
// reported to callers match the runs on the workers. Seeds that have failed are
// listed in regressions.
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

// regressions are seeds that have failed, each with the cause as a comment.
var regressions = []uint64{}

const (
	instances         = 4
	workers           = 6
	faultDuration     = 12 * time.Second // period of fault injection
	completionTimeout = 25 * time.Second // for all accepted jobs to end: the longest lease, a takeover and the work itself
	host              = "shop.example"
	key               = "k"
)

// harness is the state of the soak test for one seed.
type harness struct {
	t         *testing.T
	rng       *rand.Rand
	program   string
	store     *platformtest.Store
	workers   []*platformtest.Worker
	mu        sync.Mutex
	processes []*process
	jobs      map[string]*jobRecord
	addresses struct{ store, advice string }
}

type process struct {
	index int
	cmd   *exec.Cmd
	front string
	log   *bytes.Buffer
}

// jobRecord is the outcome of the submission of a job, as its caller received it.
type jobRecord struct {
	accepted bool
	refused  bool // every attempt was refused
}

// TestSoak guards against accepted jobs that do not end, refused jobs that run and
// overlapping runs under random combinations of faults: killed, terminated and
// suspended instances, dropped responses of workers, and a store that is slow,
// refuses calls, does not respond or drops responses to writes.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mulberryd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/mulberryd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seedList := append([]uint64(nil), regressions...)
	for n := range uint64(*seeds) {
		seedList = append(seedList, *seedFlag+n)
	}
	for _, seed := range seedList {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, program, seed) })
	}
}

func run(t *testing.T, program string, seed uint64) {
	h := &harness{t: t, rng: rand.New(rand.NewPCG(seed, 2)), program: program, store: platformtest.NewStore(), jobs: map[string]*jobRecord{}}
	h.addresses.store = serve(t, h.store)
	h.addresses.advice = serve(t, &platformtest.AdviceService{Valid: 2 * time.Second})
	h.store.Configure(1, "calc", []string{key}, platformtest.Queue{Name: "q", Host: host, Prefix: "/q/", Attempts: 3, Advised: true})
	for i := range workers {
		w := platformtest.NewWorker(fmt.Sprintf("i-%d", i))
		h.workers = append(h.workers, w)
		h.store.Register(w, "calc", serve(t, w), "r1")
	}
	for i := range instances {
		h.processes = append(h.processes, h.start(i))
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 3 {
		rng := rand.New(rand.NewPCG(seed, uint64(n)+10))
		callers.Go(func() { h.submitJobs(n, rng, stop) })
	}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		h.injectFault()
	}
	close(stop)
	callers.Wait()
	h.store.SetFaults(platformtest.StoreFaults{})
	h.check(seed)
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// start starts one entry instance. Each instance has a separate loopback address,
// so that all can use the same ports.
func (h *harness) start(index int) *process {
	ip := fmt.Sprintf("127.92.%d.%d", os.Getpid()%250+1, index+1)
	path := filepath.Join(h.t.TempDir(), "settings.toml")
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
`, index, ip, h.addresses.advice, ip, ip, h.addresses.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	p := &process{index: index, cmd: exec.Command(h.program, "--platform"), front: ip + ":8183", log: &bytes.Buffer{}}
	p.cmd.Env = append(os.Environ(), settings.EnvPath+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // the process may have ended already
		_ = p.cmd.Wait()
		if h.t.Failed() && os.Getenv("SOAK_LOGS") != "" {
			h.t.Logf("e%d (process %d):\n%s", index, p.cmd.Process.Pid, p.log)
		}
	})
	return p
}

// injectFault injects one random fault and then waits up to 700 ms.
func (h *harness) injectFault() {
	i := h.rng.IntN(instances)
	h.mu.Lock()
	p := h.processes[i]
	h.mu.Unlock()
	pause := time.Duration(200+h.rng.IntN(1800)) * time.Millisecond
	switch h.rng.IntN(8) {
	case 0, 1:
		h.restart(p, syscall.SIGKILL, pause/2)
	case 2:
		h.restart(p, syscall.SIGTERM, 0)
	case 3:
		h.signal(p, syscall.SIGSTOP)
		time.Sleep(pause)
		h.signal(p, syscall.SIGCONT)
	case 4:
		h.store.SetFaults(platformtest.StoreFaults{Refuse: h.rng.IntN(2) == 0, Silent: true})
		time.Sleep(pause)
		h.store.SetFaults(platformtest.StoreFaults{})
	case 5:
		h.store.SetFaults(platformtest.StoreFaults{DropWriteResponses: 1 + h.rng.IntN(5), UnconfirmedWriteDelay: time.Duration(h.rng.IntN(3)) * time.Second})
	case 6:
		h.store.SetFaults(platformtest.StoreFaults{Slow: time.Duration(h.rng.IntN(300)) * time.Millisecond})
		time.Sleep(pause)
		h.store.SetFaults(platformtest.StoreFaults{})
	case 7:
		h.workers[h.rng.IntN(workers)].DropStartResponses(1 + h.rng.IntN(3))
	}
	time.Sleep(time.Duration(h.rng.IntN(700)) * time.Millisecond)
}

func (h *harness) signal(p *process, s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // the process may have ended already
}

// restart ends a process with a signal and starts a replacement after a downtime.
func (h *harness) restart(p *process, s syscall.Signal, downtime time.Duration) {
	h.signal(p, s)
	_ = p.cmd.Wait() // a non-zero exit status is expected
	time.Sleep(downtime)
	next := h.start(p.index)
	h.mu.Lock()
	h.processes[p.index] = next
	h.mu.Unlock()
}

// submitJobs submits jobs until stop is closed. It retries submissions with an
// unknown outcome at random instances, as callers do.
func (h *harness) submitJobs(caller int, rng *rand.Rand, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", (caller+1)<<32+n)
		body := fmt.Sprintf(`{"spec":"%dms","steps":[{"count":%d,"cpu":2000,"memMb":100,"estimateMs":300,"gang":%v},{"count":1,"cpu":500,"memMb":10,"after":[0]}]}`,
			20+rng.IntN(1200), 1+rng.IntN(3), rng.IntN(4) == 0)
		record := &jobRecord{refused: true}
		for range 6 {
			status := h.call(rng.IntN(instances), "POST", id, body)
			record.accepted = record.accepted || status == http.StatusOK
			record.refused = record.refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
			if record.accepted || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				break
			}
			time.Sleep(150 * time.Millisecond)
		}
		h.mu.Lock()
		h.jobs[id] = record
		h.mu.Unlock()
	}
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call returns the HTTP status of a call, statusCompleted if the response reports
// the job as completed, or 0 without a complete response.
func (h *harness) call(instance int, method, id, body string) int {
	h.mu.Lock()
	front := h.processes[instance].front
	h.mu.Unlock()
	request, err := http.NewRequest(method, "http://"+front+"/q/"+id, strings.NewReader(body))
	if err != nil {
		h.t.Error(err)
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
		return statusCompleted
	}
	return response.StatusCode
}

// statusCompleted marks a completed job. It is not a status that instances send.
const statusCompleted = 299

// check waits until every accepted job has ended, and compares the responses to
// callers with the runs of the workers.
func (h *harness) check(seed uint64) {
	deadline := time.Now().Add(completionTimeout)
	accepted, refused := 0, 0
	for id, record := range h.jobs {
		switch {
		case record.accepted:
			accepted++
			for status := 0; status != statusCompleted; time.Sleep(20 * time.Millisecond) {
				if status = h.call(h.rng.IntN(instances), "GET", id, ""); time.Now().After(deadline) {
					h.t.Errorf("seed %d: job %s was accepted but was not seen as completed before the deadline: last status %d", seed, id, status)
					break
				}
			}
		case record.refused:
			refused++
		}
	}
	runs := map[string][]platformtest.RunRecord{}
	for _, w := range h.workers {
		for _, r := range w.Runs() {
			runs[r.Task] = append(runs[r.Task], r)
			if record := h.jobs[r.Task[:16]]; record == nil || record.refused {
				h.t.Errorf("seed %d: task %s ran, but its job is unknown or was refused", seed, r.Task)
			}
		}
	}
	for task, taskRuns := range runs {
		h.checkRuns(seed, task, taskRuns)
	}
	h.t.Logf("seed %d: %d jobs accepted, %d refused, %d tasks", seed, accepted, refused, len(runs))
	if accepted < 20 {
		h.t.Errorf("seed %d: only %d jobs were accepted, want at least 20", seed, accepted)
	}
}

// checkRuns checks that no two runs of a task overlap, and that no run starts after
// a successful one.
func (h *harness) checkRuns(seed uint64, task string, runs []platformtest.RunRecord) {
	for i, a := range runs {
		for k, b := range runs {
			if i == k {
				continue
			}
			if b.StartedAt.After(a.StartedAt) && (a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt)) {
				h.t.Errorf("seed %d: runs %d and %d of %s overlap", seed, a.Run, b.Run, task)
			}
			if a.EndReason == "done" && b.StartedAt.After(a.EndedAt) {
				h.t.Errorf("seed %d: run %d of %s started after a successful run", seed, b.Run, task)
			}
		}
	}
}
