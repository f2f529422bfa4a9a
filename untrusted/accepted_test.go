package untrusted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// submitters are clients that submit valid jobs, whole, one after another on one connection each. They
// ignore refusals and submit the next job.
type submitters struct {
	clients int
	jobs    int           // of each client
	body    func() string // of the next job
	submit  submitFunc    // submitJob if nil
}

// submitFunc submits a job and returns the status of the response, or 0 without one.
type submitFunc func(client *http.Client, address, id, body string) int

func submitJob(client *http.Client, address, id, body string) int {
	return call(client, address, "POST", crowdPath+id, crowdKey, body)
}

// outcomes are the IDs of the crowd's jobs by the outcome of their submission.
type outcomes struct {
	mu                         sync.Mutex
	accepted, refused, unclear []string
}

func (o *outcomes) String() string {
	return fmt.Sprintf("%d jobs accepted, %d refused, %d without a definite response", len(o.accepted), len(o.refused), len(o.unclear))
}

const crowdPath = "/plain/"

// start sends the jobs to the address until all are sent, the process has ended or stop is called, which
// returns the outcomes.
func (s submitters) start(p *target) (done <-chan struct{}, stop func() *outcomes) {
	var o outcomes
	var clients sync.WaitGroup
	var stopped atomic.Bool
	submit := s.submit
	if submit == nil {
		submit = submitJob
	}
	for i := range s.clients {
		clients.Go(func() {
			dialer := net.Dialer{Timeout: writeTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 77, 0, byte(1+i%sources))}}
			client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := 0; n < s.jobs && p.running() && !stopped.Load(); n++ {
				id := fmt.Sprintf("%016x", sentJobs.Add(1))
				status := submit(client, p.address, id, s.body())
				o.mu.Lock()
				switch status {
				case http.StatusOK:
					o.accepted = append(o.accepted, id)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					o.refused = append(o.refused, id)
				default:
					o.unclear = append(o.unclear, id)
				}
				o.mu.Unlock()
			}
		})
	}
	ended := make(chan struct{})
	go func() { clients.Wait(); close(ended) }()
	return ended, func() *outcomes {
		stopped.Store(true)
		<-ended
		return &o
	}
}

// call makes a call and returns the status of the response, or 0 without one.
func call(client *http.Client, address, method, path, secret, body string) int {
	status, _ := exchange(client, address, method, path, secret, body)
	return status
}

// exchange makes a call and returns the status and the body of the response.
func exchange(client *http.Client, address, method, path, secret, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// crowdStep is a step of a job of the crowd.
type crowdStep struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu,omitempty"`
	MemMB    int    `json:"memMb,omitempty"`
	After    []int  `json:"after,omitempty"`
	Affinity string `json:"affinity,omitempty"`
	Image    string `json:"image,omitempty"`
}

type crowdJob struct {
	Spec        string      `json:"spec"`
	Steps       []crowdStep `json:"steps"`
	RepeatCount int         `json:"repeatCount,omitempty"`
	FirstMs     int64       `json:"firstMs,omitempty"`
	IntervalMs  int64       `json:"intervalMs,omitempty"`
}

func (j crowdJob) String() string {
	text, err := json.Marshal(j)
	if err != nil {
		panic(err) // a struct of plain values is always encodable
	}
	return string(text)
}

const (
	maxSteps      = 64     // of a valid job
	maxTasks      = 10_000 // of a valid job
	wholeWorker   = 32_000 // millicores; the tasks run one after another
	textBytes     = 1900   // of each text of a step in a large body
	crowdRunTime  = "20ms"
	largeBodyMin  = 240 << 10
	maxSpecBytes  = 4000
	manyTaskCount = 150 // of each step
)

// largeBody returns a valid job of about 250 KB. All of its texts differ.
func largeBody() string {
	job := crowdJob{Spec: crowdRunTime}
	unique := sentJobs.Add(1)
	for i := range maxSteps {
		text := func(kind string) string {
			begin := fmt.Sprintf("%s-%d-%d-", kind, unique, i)
			return begin + strings.Repeat("x", textBytes-len(begin))
		}
		step := crowdStep{Count: 1, CPU: wholeWorker, MemMB: 1, Affinity: text("rack"), Image: text("image")}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job.String()
}

// manyTasks returns a valid job with many tasks in each of many steps.
func manyTasks() string {
	job := crowdJob{Spec: crowdRunTime}
	for range maxSteps {
		job.Steps = append(job.Steps, crowdStep{Count: manyTaskCount, CPU: wholeWorker, MemMB: 1})
	}
	return job.String()
}

// smallBody returns a valid job of less than 100 bytes with as many tasks as a job may have.
func smallBody() string {
	return crowdJob{Spec: crowdRunTime, Steps: []crowdStep{{Count: maxTasks, CPU: wholeWorker, MemMB: 1}}}.String()
}

// overlapping returns a valid job all of whose occurrences are due at the same time.
func overlapping() string {
	job := crowdJob{Spec: crowdRunTime, RepeatCount: maxTasks, FirstMs: time.Now().UnixMilli(), IntervalMs: 1}
	for range maxSteps {
		job.Steps = append(job.Steps, crowdStep{Count: 1, CPU: wholeWorker, MemMB: 1})
	}
	return job.String()
}

// longSpec returns a valid job with the longest spec and one small task.
func longSpec() string {
	return crowdJob{Spec: strings.Repeat("x", maxSpecBytes), Steps: []crowdStep{{Count: 1, CPU: wholeWorker, MemMB: 1}}}.String()
}

// checkAccepted sends valid jobs to an instance. It checks that every process stays within its bounds, that
// ordinary requests are answered, that accepted jobs are known and that refused ones never run.
func (d *deployment) checkAccepted(t *testing.T, at *target, s submitters) *outcomes {
	t.Helper()
	watched := d.watch()
	done, stop := s.start(at)
	for isDone := false; !isDone && at.running(); {
		at.awaitAnswer(t, "with the crowd connected")
		select {
		case <-done:
			isDone = true
		default:
			isDone = t.Failed()
		}
	}
	sent := stop()
	if at.running() {
		at.awaitAnswer(t, "after the crowd has left")
	}
	at.awaitCompletion(t)
	watched.check(t)
	t.Log(sent)
	d.checkOutcomes(t, at, sent)
	return sent
}

// completionTimeout is the time for an ordinary job to end. It ends after the owner has received the jobs of the
// crowd that precede it.
const completionTimeout = 60 * time.Second

// awaitCompletion submits an ordinary job and waits until it has ended.
func (p *target) awaitCompletion(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	path := fmt.Sprintf("/shop/%016x", sentJobs.Add(1))
	deadline := time.Now().Add(completionTimeout)
	for accepted := false; ; time.Sleep(requestPause) {
		if !accepted {
			accepted = call(client, p.address, "POST", path, key, jobBody) == http.StatusOK
		} else if state(client, p.address, path, key) == "completed" {
			return
		}
		if time.Now().After(deadline) || !p.running() {
			t.Errorf("an ordinary job has not ended; accepted: %t", accepted)
			return
		}
	}
}

// state returns the state of a job, or an empty string if none is shown.
func state(client *http.Client, address, path, secret string) string {
	status, text := exchange(client, address, "GET", path, secret, "")
	var shown struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &shown) != nil {
		return ""
	}
	return shown.State
}

// checkOutcomes compares the outcomes with the states that an instance shows and with the runs of the worker.
func (d *deployment) checkOutcomes(t *testing.T, at *target, sent *outcomes) {
	t.Helper()
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	if !at.running() {
		return
	}
	if len(sent.accepted) == 0 {
		t.Error("none of the valid jobs was accepted")
	}
	const checked = 20 // of each outcome
	for _, id := range sent.accepted[:min(checked, len(sent.accepted))] {
		if status := call(client, at.address, "GET", crowdPath+id, crowdKey, ""); status == http.StatusGone {
			t.Errorf("job %s was accepted and is unknown", id)
		}
	}
	for _, id := range sent.refused[:min(checked, len(sent.refused))] {
		if status := call(client, at.address, "GET", crowdPath+id, crowdKey, ""); status == http.StatusOK {
			t.Errorf("job %s was refused and is known", id)
		}
	}
	refused := map[string]bool{}
	for _, id := range sent.refused {
		refused[id] = true
	}
	for _, run := range d.worker.Runs() {
		if id, _, _ := strings.Cut(run.Task, "."); refused[id] {
			t.Errorf("job %s was refused and runs", id)
		}
	}
}

// TestAcceptedLargeBodies plays large bodies of legal size, whole: an owner must not hold all texts of the
// jobs that it accepts.
func TestAcceptedLargeBodies(t *testing.T) {
	d := newDeployment(t)
	d.checkAccepted(t, d.start(t), submitters{clients: 10, jobs: 200, body: largeBody})
}

// TestAcceptedManyTasks plays bodies of legal size, whole, whose jobs take far more memory than their text.
func TestAcceptedManyTasks(t *testing.T) {
	d := newDeployment(t)
	d.checkAccepted(t, d.start(t), submitters{clients: 20, jobs: 50, body: manyTasks})
}

// TestAcceptedSmallBodies plays the smallest bodies that take the most memory, whole: a limit must not count
// the bytes of the body.
func TestAcceptedSmallBodies(t *testing.T) {
	d := newDeployment(t)
	d.checkAccepted(t, d.start(t), submitters{clients: 20, jobs: 50, body: smallBody})
}

// TestAcceptedOccurrences plays jobs of legal size, whole, with occurrences that overlap.
func TestAcceptedOccurrences(t *testing.T) {
	d := newDeployment(t)
	d.checkAccepted(t, d.start(t), submitters{clients: 10, jobs: 20, body: overlapping})
}

// TestAcceptedLongSpecs plays many small bodies of legal size, whole, with the longest spec.
func TestAcceptedLongSpecs(t *testing.T) {
	d := newDeployment(t)
	d.checkAccepted(t, d.start(t), submitters{clients: 20, jobs: 1000, body: longSpec})
}

// TestAcceptedThroughOther plays large bodies of legal size, whole, at an instance that is not the owner: the
// owner must stay within its memory, too.
func TestAcceptedThroughOther(t *testing.T) {
	d := newDeployment(t)
	d.start(t) // becomes the owner, since it is the only instance
	d.checkAccepted(t, d.start(t), submitters{clients: 50, jobs: 60, body: largeBody})
}

// TestAcceptedThenTakeover plays large bodies and many tasks, whole, and kills the owner. The successor must
// hold what was accepted, and answer ordinary requests.
func TestAcceptedThenTakeover(t *testing.T) {
	for name, body := range map[string]func() string{"large bodies": largeBody, "many tasks": manyTasks} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			first := d.start(t)
			sent := d.checkAccepted(t, first, submitters{clients: 10, jobs: 60, body: body})
			first.kill()
			d.instances = nil
			successor := d.start(t)
			watched := d.watch()
			successor.awaitOwner(t)
			successor.awaitAnswer(t, "after the takeover")
			watched.check(t)
			d.checkOutcomes(t, successor, sent)
		})
	}
}

// awaitOwner waits until the instance shows the queue length of an owner.
func (p *target) awaitOwner(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(startTimeout); call(client, p.address, "GET", crowdPath, crowdKey, "") != http.StatusOK; time.Sleep(requestPause) {
		if time.Now().After(deadline) || !p.running() {
			t.Error("no instance has become the owner")
			return
		}
	}
}

const validHead = "POST " + crowdPath + idPlaceholder + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + crowdKey + "\r\n"

// TestValidBodies plays large bodies of legal size at once, whole or in pieces, and in large or very small
// chunks, of which most stop just short of their end. Those that end are valid, so that they are accepted.
func TestValidBodies(t *testing.T) {
	for name, send := range map[string]func(io.Writer, string, bool) error{
		"whole":        sendText(largeBody, largeBodyMin*2, 0),
		"pieces":       sendText(largeBody, pieceBytes, 10*time.Millisecond),
		"large chunks": sendTextChunks(largeBody, largeChunk),
		"small chunks": sendTextChunks(largeBody, smallChunk),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.start(t).check(t, crowd{clients: bodyClients, head: validHead, send: send})
		})
	}
}

// TestSharedAddress plays large bodies of legal size in pieces and in very small chunks, of which most stop just short
// of their end, from the address of the ordinary callers, as behind a load balancer: the source that holds most is then
// everybody.
func TestSharedAddress(t *testing.T) {
	for name, send := range map[string]func(io.Writer, string, bool) error{
		"pieces":       sendText(largeBody, pieceBytes, 10*time.Millisecond),
		"small chunks": sendTextChunks(largeBody, smallChunk),
		"nothing":      sendNothing,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.start(t).check(t, crowd{clients: silentClients, head: validHead, send: send, shared: true})
		})
	}
}

// TestCrowdBodies guards against a crowd whose bodies are not of the size that they must have.
func TestCrowdBodies(t *testing.T) {
	for name, c := range map[string]struct {
		body     func() string
		min, max int
	}{
		"large": {largeBody, largeBodyMin, bodyBytes}, "many tasks": {manyTasks, 1, 20 << 10}, "small": {smallBody, 1, 100},
		"occurrences": {overlapping, 1, 20 << 10}, "long spec": {longSpec, maxSpecBytes, maxSpecBytes + 100},
	} {
		if n := len(c.body()); n < c.min || n > c.max {
			t.Errorf("%s: %d bytes, want %d to %d", name, n, c.min, c.max)
		}
	}
}
