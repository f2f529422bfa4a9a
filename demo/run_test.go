package demo

import (
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/oracle"
)

// TestRun guards against a request that does not have its promised outcome in a complete
// deployment, and against the violation of an invariant.
func TestRun(t *testing.T) {
	report, err := Run(t.Context(), log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if !report.OK() || len(report.Rows) != len(mix) {
		var text strings.Builder
		_ = report.Write(&text)
		t.Errorf("the report is not OK or incomplete:\n%s", text.String())
	}
	if report.Took > totalTimeout {
		t.Errorf("the demo took %s, more than %s", report.Took, totalTimeout)
	}
}

// TestSuccessIsNotRefusal guards against a nil dereference when a request with a
// withdrawn key still succeeds because the withdrawal is not yet in force.
func TestSuccessIsNotRefusal(t *testing.T) {
	if isRefusal(nil, errkind.KeyWithdrawn) {
		t.Error("a request that succeeded counts as refused")
	}
}

// TestReportOK guards against a report that is OK although a request did not have its
// promised outcome, an invariant was violated, or nothing was checked.
func TestReportOK(t *testing.T) {
	kept, broken := Row{Kept: true}, Row{}
	for _, tc := range []struct {
		name   string
		report Report
		want   bool
	}{
		{"all kept", Report{Rows: []Row{kept}, Runs: 1}, true},
		{"one broken", Report{Rows: []Row{kept, broken}, Runs: 1}, false},
		{"violation", Report{Rows: []Row{kept}, Runs: 1, Violations: []oracle.Violation{{}}}, false},
		{"no request", Report{Runs: 1}, false},
		{"no run", Report{Rows: []Row{kept}}, false},
	} {
		if got := tc.report.OK(); got != tc.want {
			t.Errorf("%s: OK is %t, want %t", tc.name, got, tc.want)
		}
	}
}
