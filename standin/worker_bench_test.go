package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// BenchmarkStart compares Start with a bare HTTP exchange that sends and receives the same number
// of bytes. The two alternate, so that both are measured under the same load of the machine.
func BenchmarkStart(b *testing.B) {
	for _, payload := range []int{0, 16 << 10, 128 << 10} {
		b.Run(fmt.Sprintf("payload=%dKB", payload>>10), func(b *testing.B) { benchmarkStart(b, payload) })
	}
}

func benchmarkStart(b *testing.B, payload int) {
	w := NewWorker(testConfig())
	api, at := serveHTTP(b, w, worker.Config{})
	request := newStartRequest(b, api, at, "t", "echo")
	request.StartBy, request.LeaseUntil = time.Hour, 2*time.Hour
	request.Payload = make([]byte, payload)
	request.OutcomeWait = time.Second
	check := func() error { return nil }
	bare := newBareExchange(b, w, request)
	var started, exchanged []time.Duration
	var number uint32
	for b.Loop() {
		number++
		request.Attempt.Number = number
		started = append(started, timed(func() {
			if _, err := api.Start(b.Context(), at, request, check); err != nil {
				b.Fatal(err)
			}
		}))
		exchanged = append(exchanged, timed(bare))
		acknowledge(b, w, request)
	}
	b.ReportMetric(0, "ns/op") // an iteration contains more than a start
	for name, samples := range map[string][]time.Duration{"start": started, "bare": exchanged} {
		slices.Sort(samples)
		b.ReportMetric(float64(samples[len(samples)/2].Nanoseconds())/1e3, name+"-p50-us")
		b.ReportMetric(float64(samples[len(samples)*99/100].Nanoseconds())/1e3, name+"-p99-us")
	}
}

// newBareExchange returns a function that makes an HTTP exchange with the same numbers of bytes as
// a start with request and its reply.
func newBareExchange(b *testing.B, w *Worker, request worker.StartRequest) func() {
	b.Helper()
	body := encoded(b, worker.EncodeStart, request)
	reply, err := w.Start(b.Context(), request)
	if err != nil {
		b.Fatal(err)
	}
	acknowledge(b, w, request)
	replyBody := encoded(b, worker.EncodeStartReply, reply)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		rw.Write(replyBody)
	}))
	b.Cleanup(server.Close)
	client := server.Client()
	return func() {
		resp, err := client.Post(server.URL, "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func encoded[T any](b *testing.B, encode func(T) (worker.Frame, error), message T) []byte {
	b.Helper()
	frame, err := encode(message)
	if err != nil {
		b.Fatal(err)
	}
	body, _ := io.ReadAll(frame.Reader())
	return body
}

func acknowledge(b *testing.B, w *Worker, request worker.StartRequest) {
	_, err := w.Sync(b.Context(), worker.SyncRequest{Epoch: 1, BootID: request.BootID, Acknowledge: []task.Attempt{request.Attempt}})
	if err != nil {
		b.Fatal(err)
	}
	_ = w.runControl(func(time.Time) { clear(w.machine.tombstones) }) // they would otherwise be kept for an hour, until start_by
}

// BenchmarkTraffic measures the bytes on the connections to one worker for a
// sync without changes, and for a start with its report and acknowledgement.
func BenchmarkTraffic(b *testing.B) {
	w := NewWorker(testConfig())
	api, at := serveHTTP(b, w, worker.Config{Registry: metrics.NewRegistry()})
	start := newStartRequest(b, api, at, "7f3a9c0e51b24d68", "echo")
	start.StartBy, start.LeaseUntil, start.Payload = time.Hour, 2*time.Hour, nil
	sync := worker.SyncRequest{Owner: "entry-3/18ee069aa19f", Epoch: 1, BootID: start.BootID, LeaseUntil: time.Hour}
	var idle, busy [2]int64
	measure := func(sum *[2]int64, calls func() error) {
		sent, received := api.Traffic(at)
		if err := calls(); err != nil {
			b.Fatal(err)
		}
		sentAfter, receivedAfter := api.Traffic(at)
		sum[0], sum[1] = sum[0]+sentAfter-sent, sum[1]+receivedAfter-received
	}
	exchange := func() error {
		reply, err := api.Sync(b.Context(), at, sync)
		sync.AfterSequence, sync.Acknowledge = reply.Sequence, nil
		return err
	}
	for b.Loop() {
		measure(&idle, exchange)
		start.Attempt.Number++
		measure(&busy, func() error {
			_, err := api.Start(b.Context(), at, start, nil)
			sync.Acknowledge = []task.Attempt{start.Attempt}
			return err
		})
		measure(&busy, exchange)
	}
	for name, sum := range map[string][2]int64{"sync": idle, "start+sync": busy} {
		b.ReportMetric(float64(sum[0])/float64(b.N), name+"-sent-B")
		b.ReportMetric(float64(sum[1])/float64(b.N), name+"-received-B")
	}
}

func timed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}
