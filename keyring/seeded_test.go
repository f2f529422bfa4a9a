package keyring

import (
	"testing"
)

// TestCheckerFindsSeededFaults guards against a model check that does not detect a missing safety
// rule. The promise not to commit has no entry: the freshness period of a round starts before its
// first request, so a commit after a promise is acknowledged later than that start even without the
// promise.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for name, c := range map[string]struct {
		seeded faults
		first  uint64 // first seed; a later one only shortens the search for a rare violation
	}{
		"changes are applied before a confirmation counts": {seeded: faults{ignoreRevision: true}},
		"freshness counts from before the send":            {seeded: faults{startAtReply: true}},
		"a peer passes on no more than it has":             {seeded: faults{fullPeerPeriod: true}},
		"own commits count before the watch shows them":    {seeded: faults{ignoreOwnCommits: true}},
		"all members confirm in an outage":                 {seeded: faults{ignoreMissingReplies: true}},
		"no unknown instance is listed in an outage":       {seeded: faults{ignoreUnknownInstances: true}},
		"a new process waits for the list lag":             {seeded: faults{ignoreStartDelay: true}, first: 3400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.first; seed < c.first+1000; seed++ {
				if problem := newSimulation(seed, c.seeded).run(); problem != "" {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
