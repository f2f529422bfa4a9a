package untrusted

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/demo"
	"github.com/mulberrydrum/mulberrydrum/internal/processtest"
	"github.com/mulberrydrum/mulberrydrum/settings"
)

// Bounds of an entry instance with the project's own interface. Its settings have the defaults, so that
// a body may have 1 MB.
const (
	ownMemoryMB    = 256
	ownDescriptors = 1224
	ownBodyBytes   = 1 << 20

	ownClients       = 300
	ownSilentClients = 1500
)

const (
	ownPath = "/v1/teams/leuven/services/piping/requests"
	ownHead = "POST " + ownPath + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer leuven-demo-secret\r\n"
)

// startOwnInstance starts an entry instance with the project's own interface, and waits until it answers.
func startOwnInstance(t *testing.T) *target {
	t.Helper()
	c := processtest.Start(t, processtest.Options{Entries: 1, Workers: 2, Regions: []string{"flanders"}, Adjust: func(_ int, s *settings.Settings) {
		s.ListLag = 2 * time.Second // shortens the start
	}})
	entry := c.Entries[0]
	ip, _, err := net.SplitHostPort(entry.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	p := &target{pid: entry.PID(), ip: ip, address: entry.Settings.CallerAddress, maxMemory: ownMemoryMB << 20, maxDescriptors: ownDescriptors, running: entry.IsRunning}
	p.request = func() (answered, refused bool) {
		request, err := ownRequest(p.address, fmt.Sprintf(`{"idempotency_key":"r-%d","class":"span-lookup","payload":"eA=="}`, sentJobs.Add(1)))
		if err != nil {
			return false, false
		}
		return outcome(client.Do(request))
	}
	c.Eventually(startTimeout, "answer a request", func() bool { answered, _ := p.request(); return answered })
	return p
}

// ownRequest returns a submission with the given body that waits for the result.
func ownRequest(address, body string) (*http.Request, error) {
	request, err := http.NewRequest("POST", "http://"+address+ownPath+"?wait=2s", strings.NewReader(body))
	if err == nil {
		request.Header.Set("Authorization", "Bearer "+demo.Secrets["leuven"])
	}
	return request, err
}

// checkOwnAccepted sends valid jobs with payloads of a size to an instance, and checks its bounds.
func checkOwnAccepted(t *testing.T, class string, clients, jobs, payloadBytes int) {
	t.Helper()
	payload := base64.StdEncoding.EncodeToString(make([]byte, payloadBytes))
	submit := func(client *http.Client, address, id, _ string) int {
		request, err := ownRequest(address, fmt.Sprintf(`{"idempotency_key":"c-%s","class":%q,"payload":%q}`, id, class, payload))
		if err != nil {
			return 0
		}
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return 0
		}
		return response.StatusCode
	}
	p := startOwnInstance(t)
	d := deployment{instances: []*target{p}}
	watched := d.watch()
	done, stop := submitters{clients: clients, jobs: jobs, body: func() string { return "" }, submit: submit}.start(p)
	p.awaitAnswer(t, "with the crowd connected")
	<-done
	sent := stop()
	p.awaitAnswer(t, "after the crowd has left")
	watched.check(t)
	t.Log(sent)
	if len(sent.accepted) == 0 {
		t.Error("none of the valid jobs was accepted")
	}
}

// TestOwnAcceptedLargePayloads plays large bodies of legal size, whole: an instance must not keep the payloads
// of work that has ended, nor accept more than it can hold.
func TestOwnAcceptedLargePayloads(t *testing.T) {
	checkOwnAccepted(t, "span-lookup", 10, 60, 700_000)
}

// TestOwnAcceptedDurable plays large bodies of durable work, whole.
func TestOwnAcceptedDurable(t *testing.T) {
	checkOwnAccepted(t, "nozzle-check", 10, 60, 60_000)
}

// TestOwnHeadersOverLimit guards against a server that keeps headers of any size.
func TestOwnHeadersOverLimit(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendLongHeaders})
}

// TestOwnEndlessHeaders guards against a server that keeps header lines until they end.
func TestOwnEndlessHeaders(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendEndlessHeaders})
}

// TestOwnEmptyLines guards against a server that reads empty lines without end.
func TestOwnEmptyLines(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendEmptyLines})
}

// TestOwnLargeBodies guards against a server that reads any number of bodies at the same time.
func TestOwnLargeBodies(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendBody(ownBodyBytes, ownBodyBytes, 0)})
}

// TestOwnLargeBodiesInPieces guards against a server that counts only the bodies that it has read.
func TestOwnLargeBodiesInPieces(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendBody(ownBodyBytes, pieceBytes, 10*time.Millisecond)})
}

// TestOwnLargeChunks guards against a server that reads any number of bodies of unknown length.
func TestOwnLargeChunks(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendChunks(ownBodyBytes, largeChunk)})
}

// TestOwnSmallChunks guards against a server that takes each chunk for progress, however small.
func TestOwnSmallChunks(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownClients, head: ownHead, send: sendChunks(ownBodyBytes, smallChunk)})
}

// TestOwnSilentConnections guards against a server that accepts connections until the process has no
// descriptor left for its own calls.
func TestOwnSilentConnections(t *testing.T) {
	startOwnInstance(t).check(t, crowd{clients: ownSilentClients, head: ownHead, send: sendNothing})
}

const (
	unreadClients  = 300
	unreadRequests = 6 // of each client, on a connection each
	unreadTime     = 4 * time.Second
)

// TestOwnUnreadResults plays short work whose results have 3 MB, from clients that do not read the response: an instance
// must not hold more results than it can.
func TestOwnUnreadResults(t *testing.T) {
	p := startOwnInstance(t)
	d := deployment{instances: []*target{p}}
	watched := d.watch()
	var clients sync.WaitGroup
	for range unreadClients {
		clients.Go(func() {
			for range unreadRequests {
				conn, err := net.DialTimeout("tcp", p.address, writeTimeout)
				if err != nil {
					continue
				}
				body := fmt.Sprintf(`{"idempotency_key":"u-%d","class":"big-lookup","payload":"eA=="}`, sentJobs.Add(1))
				_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ownHead, len(body), body)
				if err == nil {
					time.Sleep(unreadTime)
				}
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	p.awaitAnswer(t, "after the crowd has left")
	watched.check(t)
}
