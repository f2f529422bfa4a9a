package untrusted

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
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
		text := fmt.Appendf(nil, `{"idempotency_key":"r-%d","class":"span-lookup","payload":"eA=="}`, sentJobs.Add(1))
		request, err := http.NewRequest("POST", "http://"+p.address+ownPath+"?wait=2s", bytes.NewReader(text))
		if err != nil {
			return false, false
		}
		request.Header.Set("Authorization", "Bearer "+demo.Secrets["leuven"])
		return outcome(client.Do(request))
	}
	c.Eventually(startTimeout, "answer a request", func() bool { answered, _ := p.request(); return answered })
	return p
}

// TestOwnHeadersOverLimit guards against a server that keeps headers of any size.
func TestOwnHeadersOverLimit(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendLongHeaders})
}

// TestOwnEndlessHeaders guards against a server that keeps header lines until they end.
func TestOwnEndlessHeaders(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendEndlessHeaders})
}

// TestOwnEmptyLines guards against a server that reads empty lines without end.
func TestOwnEmptyLines(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendEmptyLines})
}

// TestOwnLargeBodies guards against a server that reads any number of bodies at the same time.
func TestOwnLargeBodies(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendBody(ownBodyBytes, ownBodyBytes, 0)})
}

// TestOwnLargeBodiesInPieces guards against a server that counts only the bodies that it has read.
func TestOwnLargeBodiesInPieces(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendBody(ownBodyBytes, pieceBytes, 10*time.Millisecond)})
}

// TestOwnLargeChunks guards against a server that reads any number of bodies of unknown length.
func TestOwnLargeChunks(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendChunks(ownBodyBytes, largeChunk)})
}

// TestOwnSmallChunks guards against a server that takes each chunk for progress, however small.
func TestOwnSmallChunks(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownClients, ownHead, sendChunks(ownBodyBytes, smallChunk)})
}

// TestOwnSilentConnections guards against a server that accepts connections until the process has no
// descriptor left for its own calls.
func TestOwnSilentConnections(t *testing.T) {
	startOwnInstance(t).check(t, crowd{ownSilentClients, ownHead, sendNothing})
}
