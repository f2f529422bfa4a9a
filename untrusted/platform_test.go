package untrusted

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
	"github.com/mulberrydrum/mulberrydrum/platform/settings"
)

// The machine of the entry instance: the smallest memory of a deployment, and so few descriptors that
// a small crowd can use them up.
const (
	memoryMB    = 160
	descriptors = 700
	bodyBytes   = 256 << 10 // limits.maxBodyBytes without a configured limit
	host        = "shop.example"
	key         = "k" // of ordinary requests
	crowdKey    = "c" // of valid jobs of a crowd
	jobBody     = `{"spec":"10ms","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":10}]}`

	headerClients = 300
	bodyClients   = 600
	silentClients = 900

	startTimeout   = 20 * time.Second
	requestTimeout = 20 * time.Second
)

var (
	startedInstances atomic.Int32
	sentJobs         atomic.Int32
)

// deployment is a set of entry instances on the users' platform, with stand-ins for the store and for a
// worker.
type deployment struct {
	records   *platformtest.Store
	store     string // address of records
	worker    *platformtest.Worker
	instances []*target
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := platformtest.NewStore()
	worker := platformtest.NewWorker("i-0")
	store.ConfigureTeams(1, "calc", map[string][]string{"red": {key}, "blue": {crowdKey}},
		platformtest.Queue{Name: "plain", Host: host, Prefix: "/plain/", Attempts: 2}, platformtest.Queue{Name: "shop", Host: host, Prefix: "/shop/", Attempts: 2, Urgent: true})
	store.Register(worker, "calc", serve(t, worker), "r1")
	return &deployment{records: store, store: serve(t, store), worker: worker}
}

// startInstance starts a deployment of one instance.
func startInstance(t *testing.T) *target {
	t.Helper()
	return newDeployment(t).start(t)
}

// start starts an entry instance and waits until it answers.
func (d *deployment) start(t *testing.T) *target {
	t.Helper()
	ip := fmt.Sprintf("127.78.%d.%d", os.Getpid()%250+1, startedInstances.Add(1))
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(`nodeName = "e%d"
ip = %q
zone = "z"
portRange = [7420,7435]
[listen]
front = "%s:8183"
ready = "%s:8184"
[limits]
memoryMb = %d
maxFds = %d
cpuShare = 1
cores = 1
[bounds]
graceS = 3
maxHoldMs = 10000
[platform]
address = %q
form = "kv"
`, len(d.instances), ip, ip, ip, memoryMB, descriptors, d.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := exec.Command(program, "--platform")
	cmd.Env = append(os.Environ(), settings.EnvPath+"="+path)
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }() // killed below
	p := &target{pid: cmd.Process.Pid, ip: ip, address: ip + ":8183", maxMemory: memoryMB << 20, maxDescriptors: descriptors}
	p.kill = func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		<-ended
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			text := log.Bytes()
			t.Logf("end of the log:\n%s", text[max(0, len(text)-3000):])
		}
	})
	p.running = func() bool {
		select {
		case <-ended:
			return false
		default:
			return true
		}
	}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	p.request = func() (answered, refused bool) { return submit(client, p.address) }
	d.instances = append(d.instances, p)
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(requestPause) {
		if answered, _ := p.request(); answered {
			return p
		}
		if time.Now().After(deadline) || !p.running() {
			t.Fatal("the instance does not answer")
		}
	}
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// submit submits a small job with a new ID.
func submit(client *http.Client, address string) (answered, refused bool) {
	request, err := http.NewRequest("POST", fmt.Sprintf("http://%s/shop/%016x", address, sentJobs.Add(1)), strings.NewReader(jobBody))
	if err != nil {
		return false, false
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	return outcome(client.Do(request))
}

// outcome reports whether a request was answered, or truthfully refused.
func outcome(response *http.Response, err error) (answered, refused bool) {
	var timeout net.Error
	switch {
	case err == nil:
		_ = response.Body.Close()
		isRefusal := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
		return response.StatusCode == http.StatusOK, isRefusal && response.Header.Get("Retry-After") != ""
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return false, false
	default:
		return false, !errors.Is(err, syscall.ECONNREFUSED) // the connection was closed; a refused one has no listener
	}
}

const submitHead = "POST /plain/00000000000000ff HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\n"

// TestHeadersOverLimit guards against an instance that keeps headers of any size.
func TestHeadersOverLimit(t *testing.T) {
	startInstance(t).check(t, crowd{clients: headerClients, head: submitHead, send: sendLongHeaders})
}

// TestEndlessHeaders guards against an instance that keeps header lines until they end.
func TestEndlessHeaders(t *testing.T) {
	startInstance(t).check(t, crowd{clients: headerClients, head: submitHead, send: sendEndlessHeaders})
}

// TestEmptyLines guards against an instance that reads empty lines without end.
func TestEmptyLines(t *testing.T) {
	startInstance(t).check(t, crowd{clients: headerClients, head: submitHead, send: sendEmptyLines})
}

// TestLargeBodies guards against an instance that reads any number of bodies at the same time.
func TestLargeBodies(t *testing.T) {
	startInstance(t).check(t, crowd{clients: bodyClients, head: submitHead, send: sendBody(bodyBytes, bodyBytes, 0)})
}

// TestLargeBodiesInPieces guards against an instance that counts only the bodies that it has read.
func TestLargeBodiesInPieces(t *testing.T) {
	startInstance(t).check(t, crowd{clients: bodyClients, head: submitHead, send: sendBody(bodyBytes, pieceBytes, 10*time.Millisecond)})
}

// TestLargeChunks guards against an instance that reads any number of bodies of unknown length.
func TestLargeChunks(t *testing.T) {
	startInstance(t).check(t, crowd{clients: bodyClients, head: submitHead, send: sendChunks(bodyBytes, largeChunk)})
}

// TestSmallChunks guards against an instance that takes each chunk for progress, however small.
func TestSmallChunks(t *testing.T) {
	startInstance(t).check(t, crowd{clients: bodyClients, head: submitHead, send: sendChunks(bodyBytes, smallChunk)})
}

// TestSilentConnections guards against an instance that accepts connections until it has no descriptor
// left for its own calls.
func TestSilentConnections(t *testing.T) {
	startInstance(t).check(t, crowd{clients: silentClients, head: submitHead, send: sendNothing})
}
