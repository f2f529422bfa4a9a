package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Compare runs the policy of cfg and the baselines, FIFO and Priority, on the
// same load.
func Compare(cfg Config) ([]Result, error) {
	var results []Result
	for _, policy := range comparedPolicies(cfg.Policy) {
		c := cfg
		c.Policy = policy
		r, err := Run(c)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

func comparedPolicies(policy string) []string {
	policies := []string{policy}
	for _, baseline := range []string{FIFO, Priority} {
		if baseline != policy {
			policies = append(policies, baseline)
		}
	}
	return policies
}

// WriteJSON writes results as one JSON document.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

// WriteTable writes results as three tables: by policy, by kind of work including
// and excluding the flooding team, and by team.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writePolicies(t, results)
	writeKinds(t, results)
	writeTeams(t, results)
	return t.Flush()
}

func writePolicies(w io.Writer, results []Result) {
	fmt.Fprintln(w, "POLICY\tWORST SHARE ERROR\tMEAN\tPACKING\tSTARTS\tPER START\tPER SEARCH\tLONGEST ROUND\tCANCELLED ENTRY")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%d\t%v\t%v\t%v\t%v\n", r.Policy, r.WorstShareError, r.MeanShareError,
			r.Packing.Bottleneck, r.Cost.Starts, r.Cost.PerStart, r.Cost.PerSearch,
			r.Cost.LongestRound.Round(time.Microsecond), r.Cost.PerWithdrawnEntry)
	}
}

func writeKinds(w io.Writer, results []Result) {
	fmt.Fprintln(w, "\nKIND\tPOLICY\tP50\tP99\tOTHERS P50\tP99\tARRIVED\tSTARTED\tREFUSED\tLATE\tEXPIRED\tCANCELLED")
	for k := range results[0].Kinds {
		for _, r := range results {
			row := r.Kinds[k]
			others := r.KindsOfOthers[k]
			fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\t%v\t%d\t%d\t%d\t%d\t%d\t%d\n", row.Kind, r.Policy,
				roundToMillisecond(row.P50), roundToMillisecond(row.P99), roundToMillisecond(others.P50), roundToMillisecond(others.P99),
				row.Arrived, row.Started, row.Refused, row.DeadlineRefused, row.Expired, row.Cancelled)
		}
	}
}

func writeTeams(w io.Writer, results []Result) {
	fmt.Fprintln(w, "\nTEAM\tPOLICY\tWEIGHT\tSHARE\tSHARE ERROR\tP50\tP99")
	for i := range results[0].Teams {
		for _, r := range results {
			row := r.Teams[i]
			fmt.Fprintf(w, "%s\t%s\t%g\t%.3f\t%.3f\t%v\t%v\n", row.Team, r.Policy, row.Weight, row.Share,
				row.ShareError, roundToMillisecond(row.P50), roundToMillisecond(row.P99))
		}
	}
}

func roundToMillisecond(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
