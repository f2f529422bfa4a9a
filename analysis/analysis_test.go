package analysis

import (
	"bytes"
	"compress/gzip"
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func analyze(t *testing.T, text string) (*Report, error) {
	t.Helper()
	a := NewAnalyzer()
	if err := a.Read("day.log", strings.NewReader(text)); err != nil {
		return nil, err
	}
	return a.Report()
}

func readDay(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestReport guards against waits that are attributed to the wrong cause or job, and against lines
// that are dropped without being counted.
func TestReport(t *testing.T) {
	report, err := analyze(t, readDay(t))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", []byte(strings.Join(report.Text(), "\n")))
}

// TestPlot guards against a plot without the samples.
func TestPlot(t *testing.T) {
	report, err := analyze(t, readDay(t))
	if err != nil {
		t.Fatal(err)
	}
	image, err := report.Plot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(image, []byte("<svg")) || !bytes.Contains(image, []byte("stranded")) {
		t.Errorf("the plot does not begin with an SVG element or lacks its legend: %.200s", image)
	}
}

// TestCompressed guards against a report that differs for a compressed log.
func TestCompressed(t *testing.T) {
	a := NewAnalyzer()
	if err := a.Read("day.log.gz", bytes.NewReader(compress(t, readDay(t)))); err != nil {
		t.Fatal(err)
	}
	report, err := a.Report()
	if err != nil || len(report.Queues) != 2 {
		t.Errorf("report of the compressed log: %+v, error %v", report, err)
	}
}

func compress(t *testing.T, text string) []byte {
	t.Helper()
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()
}

// TestBadInput guards against a result without an error, or an error without the file and the line,
// for input that is not the log of one period.
func TestBadInput(t *testing.T) {
	day := readDay(t)
	packed := compress(t, day)
	tests := []struct{ name, input, want string }{
		{"truncated gzip", string(packed[:len(packed)/2]), "day.log:"},
		{"two days", day + strings.ReplaceAll(day, "at=10:", "at=15:"), "day.log:30: the line is of another day"},
		{"another day without a collector's time", day + "level=info msg=queued at=15:00:00.000 job=a\n", "day.log:30: the line is of another period"},
		{"two periods without a collector's time", "level=info msg=queued at=10:00:00.000 job=a\nlevel=info msg=queued at=12:00:00.000 job=b\n", "day.log:2: the line is of another period"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := analyze(t, test.input)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
		})
	}
	if _, err := analyze(t, "level=info msg=owner at=10:00:00.000 found=false\n"); !errors.Is(err, ErrNoJobs) {
		t.Errorf("a log without jobs gives %v, want ErrNoJobs", err)
	}
}

// TestLongLine guards against a line of one megabyte that ends the analysis or is not reported.
func TestLongLine(t *testing.T) {
	report, err := analyze(t, strings.Repeat("x", 1<<20)+"\n"+readDay(t))
	if err != nil {
		t.Fatal(err)
	}
	if report.Skipped != 2 || report.Unreadable[0].Line != 1 || len(report.Queues) != 2 {
		t.Errorf("skipped %d, unreadable %v, %d queues", report.Skipped, report.Unreadable, len(report.Queues))
	}
}

// TestPartialLog guards against a partial log that is reported as complete.
func TestPartialLog(t *testing.T) {
	report, err := analyze(t, "level=info msg=accepted at=10:00:00.000 job=a queue=q team=t revision=2\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Missing) != 3 {
		t.Errorf("missing: %q, want three remarks", report.Missing)
	}
}

// TestTombstone guards against a job that was cancelled before it was recorded and counts as one that was accepted.
func TestTombstone(t *testing.T) {
	day := readDay(t)
	want, err := analyze(t, day)
	if err != nil {
		t.Fatal(err)
	}
	at := regexp.MustCompile(` at=\S+`).FindString(day)
	report, err := analyze(t, day+"level=info msg=cancelled"+at+" job=00000000000000ff by=tombstone queue=unrecorded team=t\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Queues) != len(want.Queues) {
		t.Errorf("%d queues, want %d", len(report.Queues), len(want.Queues))
	}
}
