package analysis

import (
	"slices"
	"strings"
	"testing"
)

// TestUse guards against totals of an hour that are added up although each line has the total so far,
// and against a new owner whose lower total replaces that of its predecessor.
func TestUse(t *testing.T) {
	text := readDay(t)
	for _, line := range []string{
		"at=10:00:06.000 team=red hour=2026-12-06T10Z hour_share_s=900.0000",
		"at=10:00:07.000 team=red hour=2026-12-06T10Z hour_share_s=1800.0000",
		"at=10:00:08.000 team=red hour=2026-12-06T10Z hour_share_s=1700.0000",
		"at=10:00:09.000 team=blue hour=2026-12-06T10Z hour_share_s=360.0000",
		"at=10:00:09.000 team=blue hour=2026-12-06T09Z hour_share_s=36.0000",
	} {
		text += "level=info msg=use " + line + "\n"
	}
	report, err := analyze(t, text)
	if err != nil {
		t.Fatal(err)
	}
	want := []HourlyUse{{"blue", "2026-12-06T09Z", 0.01}, {"red", "2026-12-06T10Z", 0.5}, {"blue", "2026-12-06T10Z", 0.1}}
	if !slices.Equal(report.Use, want) {
		t.Errorf("use %+v, want %+v", report.Use, want)
	}
	if out := strings.Join(report.Text(), "\n"); !strings.Contains(out, "2026-12-06T10Z\tred\t0.5000") {
		t.Errorf("the text lacks the use of team red:\n%s", out)
	}
}
