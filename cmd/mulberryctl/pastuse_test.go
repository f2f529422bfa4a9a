package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/instance"
	"github.com/mulberrydrum/mulberrydrum/platform/front"
)

// TestSharesFromMetrics guards against past use that is not found behind the first instance, that is read
// from the wrong metric, and against a success if no instance shows any.
func TestSharesFromMetrics(t *testing.T) {
	other, owner := metrics.NewRegistry(), metrics.NewRegistry()
	metrics.NewRegisteredCounter("request.accepted_count", owner).Inc(9)
	metrics.NewRegisteredGauge("runtime.threads", owner).Update(8)
	for name, value := range map[string]float64{instance.PastUseSharePrefix + "blue": 0.125, instance.PastUseShiftPrefix + "blue": 0, instance.PastUseSharePrefix + "red": 0.5, instance.PastUseShiftPrefix + "red": 2333} {
		metrics.NewRegisteredGaugeFloat64(name, owner).Update(value)
	}
	serve := func(r metrics.Registry) string {
		server := httptest.NewServer(front.MetricsHandler(r))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	first, second := serve(other), serve(owner)
	var stdout, stderr bytes.Buffer
	if code := run(t.Context(), []string{"shares", "--metrics", first, "--metrics", second}, strings.NewReader(""), &stdout, &stderr); code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	if want := "TEAM  SHARE   SHIFT\nred   0.5000  2333ms\nblue  0.1250  0ms\n"; stdout.String() != want {
		t.Errorf("output\n%swant\n%s", stdout.String(), want)
	}
	if code := run(t.Context(), []string{"shares", "--metrics", first}, strings.NewReader(""), &stdout, &stderr); code != exitFaultsFound || !strings.Contains(stderr.String(), errNoPastUse.Error()) {
		t.Errorf("without an owner: exit code %d, %s", code, stderr.String())
	}
}
