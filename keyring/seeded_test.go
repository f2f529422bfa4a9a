package keyring

import (
	"testing"
)

// TestCheckerFindsSeededFaults guards against a simulation that does not detect a missing safety rule.
// The promise not to commit has no test case: the freshness period of a round starts before its first
// request, so a commit after a promise is acknowledged later than that start even without the promise.
func TestCheckerFindsSeededFaults(t *testing.T) {
	for name, c := range map[string]struct {
		seeded    seededFaults
		firstSeed uint64 // a value above 0 only shortens the search for a rare violation
	}{
		"a confirmation takes effect after its changes are applied": {seeded: seededFaults{ignoreRevision: true}},
		"the freshness period starts when the request is sent":      {seeded: seededFaults{startAtReply: true}},
		"a peer confirms no more than its remaining freshness":      {seeded: seededFaults{fullPeerPeriod: true}},
		"own commits are included before the watch delivers them":   {seeded: seededFaults{ignoreOwnCommits: true}},
		"all members reply to an outage round":                      {seeded: seededFaults{ignoreMissingReplies: true}},
		"an outage round fails if an unknown instance is listed":    {seeded: seededFaults{ignoreUnknownInstances: true}},
		"a new process does not commit within the lag of the list":  {seeded: seededFaults{ignoreStartDelay: true}, firstSeed: 3400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+1000; seed++ {
				if problem := newSimulation(seed, c.seeded).run(); problem != "" {
					t.Logf("seed %d: %s", seed, problem)
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
