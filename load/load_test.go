package load

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

func smallConfig(policy string) Config {
	return Config{Seed: 1, Teams: 6, Workers: 16, Duration: 4 * time.Minute, Policy: policy}
}

func mustRun(t *testing.T, cfg Config) Result {
	t.Helper()
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// results returns one run of each policy, shared by several tests.
var results = sync.OnceValue(func() map[string]Result {
	all := map[string]Result{}
	for _, policy := range Policies {
		r, err := Run(smallConfig(policy))
		if err != nil {
			panic(err)
		}
		all[policy] = r
	}
	return all
})

// TestRunIsDeterministic guards against results that cannot be reproduced: equal
// seeds give equal results except for measured times.
func TestRunIsDeterministic(t *testing.T) {
	for _, policy := range Policies {
		first, second := results()[policy], mustRun(t, smallConfig(policy))
		first.Cost, second.Cost = Cost{}, Cost{}
		a, b := mustMarshal(t, first), mustMarshal(t, second)
		if !bytes.Equal(a, b) {
			t.Errorf("two runs of %s differ:\n%s\n%s", policy, a, b)
		}
	}
}

func mustMarshal(t *testing.T, r Result) []byte {
	t.Helper()
	out, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestLoadIsTheSameForAllPolicies guards against a policy that changes the
// arrivals, which would make the comparison meaningless.
func TestLoadIsTheSameForAllPolicies(t *testing.T) {
	want := results()[FIFO]
	for _, policy := range []string{Fair, Deficit, Priority} {
		got := results()[policy]
		for k := range want.Kinds {
			if got.Kinds[k].Arrived != want.Kinds[k].Arrived {
				t.Errorf("%s: %d %s jobs arrived, want %d", policy, got.Kinds[k].Arrived, want.Kinds[k].Kind, want.Kinds[k].Arrived)
			}
		}
	}
}

// TestEveryJobIsAccountedFor guards against jobs that are neither started nor
// counted under another outcome, and against starts beyond the capacity.
func TestEveryJobIsAccountedFor(t *testing.T) {
	for _, policy := range Policies {
		r := results()[policy]
		if r.Packing.Bottleneck > 1 {
			t.Errorf("%s uses a fraction of %.3f of the cluster, want at most 1", policy, r.Packing.Bottleneck)
		}
		for _, k := range r.Kinds {
			unaccounted := k.Arrived - k.Started - k.Refused - k.DeadlineRefused - k.Expired - k.Cancelled
			if unaccounted < 0 || unaccounted > 6*1000 || k.Started == 0 { // 6 teams with at most 1000 waiting jobs each
				t.Errorf("%s: %d %s jobs have no outcome, want 0 to 6000 and at least one start: %+v", policy, unaccounted, k.Kind, k)
			}
		}
	}
}

// TestFairPolicyKeepsShares guards against a change in queue, fairshare or
// placement that lets the flooding team take the shares of other teams.
func TestFairPolicyKeepsShares(t *testing.T) {
	cfg := smallConfig(Fair)
	cfg.Duration = 10 * time.Minute
	fair := mustRun(t, cfg)
	cfg.Policy = FIFO
	fifo := mustRun(t, cfg)
	if fair.WorstShareError > 0.1 || fair.WorstShareError > fifo.WorstShareError {
		t.Errorf("worst share error of %s is %.3f, want at most 0.1 and at most that of %s, %.3f", Fair, fair.WorstShareError, FIFO, fifo.WorstShareError)
	}
}

// TestWeightedMaxMin guards against a fair share that exceeds the demand, and
// against unassigned capacity while a demand is unmet.
func TestWeightedMaxMin(t *testing.T) {
	teams := []team{{weight: 1}, {weight: 1}, {weight: 2}}
	got := make([]float64, 3)
	weightedMaxMin(0.8, []float64{0.1, 1, 1}, teams, got)
	want := []float64{0.1, 0.7 / 3, 1.4 / 3}
	for i := range want {
		if diff := got[i] - want[i]; diff > 1e-9 || diff < -1e-9 {
			t.Errorf("shares = %v, want %v", got, want)
		}
	}
}

// TestReportNamesEveryPolicyAndKind guards against missing rows in the reports.
func TestReportNamesEveryPolicyAndKind(t *testing.T) {
	cfg := smallConfig(Fair)
	cfg.Duration = time.Minute
	results, err := Compare(cfg)
	if err != nil {
		t.Fatal(err)
	}
	var table, doc bytes.Buffer
	if err := WriteTable(&table, results); err != nil {
		t.Fatal(err)
	}
	if err := WriteJSON(&doc, results); err != nil {
		t.Fatal(err)
	}
	for _, word := range []string{Fair, FIFO, Priority, "team-05", string(task.Gang)} {
		if !strings.Contains(table.String(), word) || !strings.Contains(doc.String(), word) {
			t.Errorf("%q is missing in a report", word)
		}
	}
}

// TestConfigIsValidated guards against configurations that divide by zero or do
// not terminate.
func TestConfigIsValidated(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"teams":    func(c *Config) { c.Teams = 0 },
		"workers":  func(c *Config) { c.Workers = -1 },
		"duration": func(c *Config) { c.Duration = 0 },
		"load":     func(c *Config) { c.Load = -1 },
		"policy":   func(c *Config) { c.Policy = "random" },
	} {
		cfg := smallConfig(Fair)
		change(&cfg)
		if _, err := Run(cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s out of range: error %v, want one that names the field", field, err)
		}
	}
}
