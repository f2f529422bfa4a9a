package keyring

import (
	"testing"
)

// TestCheckerFindsSeededFaults guards against a checker that would not notice
// the absence of a safety rule. Promises to commit nothing have no entry: a
// round counts from before its first request, so a commit after a promise is
// acknowledged later than that even without the promise.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for name, c := range map[string]struct {
		seeded faults
		first  uint64 // seed; later ones only shorten the search for rare cases
	}{
		"changes are applied before a confirmation counts": {seeded: faults{ignoreRevision: true}},
		"freshness counts from before the send":            {seeded: faults{fromReply: true}},
		"a peer passes on no more than it has":             {seeded: faults{fullWindow: true}},
		"own commits count before the watch shows them":    {seeded: faults{ownCommits: true}},
		"all members confirm in an outage":                 {seeded: faults{anyMembers: true}},
		"no unknown instance is listed in an outage":       {seeded: faults{ignoreList: true}},
		"a new process waits for the list lag":             {seeded: faults{ignoreStart: true}, first: 3400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.first; seed < c.first+1000; seed++ {
				if problem := newWorld(seed, c.seeded).run(); problem != "" {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
