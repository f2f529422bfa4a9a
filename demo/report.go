package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/mulberrydrum/mulberrydrum/oracle"
)

// Row contains the promised and the observed outcome of one request.
type Row struct {
	Request  string
	Promised string
	Observed string
	Kept     bool // whether the observed outcome is the promised one
}

// Report contains the results of the demo.
type Report struct {
	Rows       []Row
	Events     int // number of events in the merged timeline
	Runs       int // number of runs in the workers' ledgers
	Violations []oracle.Violation
	Took       time.Duration
}

// OK reports whether every request had its promised outcome and the oracle found no
// violation. A report without rows or runs is not OK, because nothing was checked.
func (r *Report) OK() bool {
	for _, row := range r.Rows {
		if !row.Kept {
			return false
		}
	}
	return len(r.Rows) > 0 && r.Runs > 0 && len(r.Violations) == 0
}

// Write prints the table of requests, the violations and a summary.
func (r *Report) Write(out io.Writer) error {
	const padding = 2
	table := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(table, "REQUEST\tPROMISED\tOBSERVED\t")
	kept := 0
	for _, row := range r.Rows {
		verdict := "BROKEN"
		if row.Kept {
			verdict = "kept"
			kept++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", row.Request, row.Promised, row.Observed, verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		if _, err := fmt.Fprintln(out, v); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "\n%d of %d promises kept; oracle: %d violations in %d events and %d runs; %.1f s\n",
		kept, len(r.Rows), len(r.Violations), r.Events, r.Runs, r.Took.Seconds())
	return err
}
