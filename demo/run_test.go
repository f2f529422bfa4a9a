package demo

import (
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
)

// TestRun guards against a promise to a caller that the whole path does not
// keep, and against a violation of an invariant while it runs.
func TestRun(t *testing.T) {
	report, err := Run(t.Context(), log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if !report.OK() || len(report.Rows) != len(mix) {
		var text strings.Builder
		_ = report.Write(&text)
		t.Errorf("not every promise was kept:\n%s", text.String())
	}
	if report.Took > totalBound {
		t.Errorf("took %s, more than %s", report.Took, totalBound)
	}
}

// TestAcceptedIsNoRefusal guards against a crash of the demo when a request
// succeeds that should soon be refused.
func TestAcceptedIsNoRefusal(t *testing.T) {
	if isRefusal(nil, errkind.KeyWithdrawn) {
		t.Error("a request that succeeded counts as refused")
	}
}

// TestReportOK guards against a demo that succeeds with a broken promise, a
// violation, or nothing to show.
func TestReportOK(t *testing.T) {
	kept, broken := Row{Kept: true}, Row{}
	for _, tc := range []struct {
		name string
		r    Report
		want bool
	}{
		{"all kept", Report{Rows: []Row{kept}, Runs: 1}, true},
		{"one broken", Report{Rows: []Row{kept, broken}, Runs: 1}, false},
		{"violation", Report{Rows: []Row{kept}, Runs: 1, Violations: []oracle.Violation{{}}}, false},
		{"no request", Report{Runs: 1}, false},
		{"no run", Report{Rows: []Row{kept}}, false},
	} {
		if got := tc.r.OK(); got != tc.want {
			t.Errorf("%s: OK is %t, want %t", tc.name, got, tc.want)
		}
	}
}
