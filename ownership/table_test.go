package ownership

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func member(instance, incarnation string) membership.Member {
	return membership.Member{Instance: instance, Incarnation: incarnation, Region: "r", FailureDomain: instance}
}

// attachedTable returns a table that has a lease since time 0 and has observed the
// members and a store without records.
func attachedTable(self membership.Member, members ...membership.Member) *Table {
	t := New(DefaultConfig([]string{"h/0"}), self, at(0))
	t.LeaseAttached(at(0), at(0), 10)
	t.ObserveMembers(at(0), append(members, self), true)
	t.ObserveThrough(at(0), 10)
	return t
}

func actionsOfType[A Action](actions []Action) (found []A) {
	for _, a := range actions {
		if typed, ok := a.(A); ok {
			found = append(found, typed)
		}
	}
	return found
}

// TestFirstClaim guards against a unit that no process claims when it has no record,
// and against holding the unit before the store has confirmed the claim.
func TestFirstClaim(t *testing.T) {
	table := attachedTable(member("a", "a1"))
	writes := actionsOfType[Write](table.Tick(at(2 * time.Second)))
	if len(writes) != 1 || writes[0].ExpectedRevision != 0 || writes[0].Record.Epoch != 1 {
		t.Fatalf("writes at startup = %+v, want one claim with expected revision 0 and epoch 1", writes)
	}
	if _, ok := table.Holds(at(2*time.Second), "h/0"); ok {
		t.Fatal("held before the claim was confirmed")
	}
	table.WriteDone(at(2*time.Second), "h/0", WriteResult{Outcome: Succeeded, Revision: 11})
	if gained := actionsOfType[Gained](table.Tick(at(2 * time.Second))); len(gained) != 1 || gained[0].Revision != 11 {
		t.Fatalf("gained units after the claim = %+v, want one at revision 11", gained)
	}
	if _, ok := table.Holds(at(8800*time.Millisecond), "h/0"); !ok {
		t.Fatal("not held within the term")
	}
	if _, ok := table.Holds(at(8810*time.Millisecond), "h/0"); ok {
		t.Fatal("held after the end of the term")
	}
}

// TestForceRefusedWhileSuccessorIsLive guards against a forced takeover from an owner
// whose successor may still give promises.
func TestForceRefusedWhileSuccessorIsLive(t *testing.T) {
	successor := member("c", "c1")
	table := attachedTable(member("a", "a1"), successor)
	table.ObserveRecord(at(0), Record{Unit: "h/0", Owner: "b1", OwnerInstance: "b", Epoch: 4, Successors: []Successor{{"c", "c1"}}, Revision: 9})
	if _, ok := table.ForceTakeover(at(time.Second), "h/0"); ok {
		t.Fatal("forced takeover accepted while the successor is live")
	}
	table.ObserveMembers(at(2*time.Second), []membership.Member{member("a", "a1")}, true)
	when, ok := table.ForceTakeover(at(2*time.Second), "h/0")
	if !ok || when.Sub(at(2*time.Second)) < 24*time.Second {
		t.Fatalf("forced takeover: accepted %v, at %v, want accepted and at least 24 s later", ok, when)
	}
	table.KeepAliveDone(at(25*time.Second), at(25*time.Second), nil)
	if writes := actionsOfType[Write](table.Tick(at(26 * time.Second))); len(writes) != 0 {
		t.Fatalf("writes before the end of the wait: %+v", writes)
	}
	writes := actionsOfType[Write](table.Tick(when))
	if len(writes) != 1 || writes[0].Reason != ReasonForced || len(writes[0].AbsentMembers) != 2 {
		t.Fatalf("writes after the wait = %+v, want one forced takeover that compares 2 member keys", writes)
	}
}

// TestValidate guards against settings with which a term on a slow clock ends
// after the lease in a store with a fast clock.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		valid  bool
	}{
		{"defaults", func(*Config) {}, true},
		{"lease too long for the margin", func(c *Config) { c.LeaseTTL = 11 * time.Second }, false},
		{"long lease with a larger margin", func(c *Config) { c.LeaseTTL, c.ClockMargin = 30*time.Second, 400*time.Millisecond }, true},
		{"drift too large for the margin", func(c *Config) { c.ClockDrift = 0.02 }, false},
		{"keepalive as long as the term", func(c *Config) { c.KeepAliveInterval = 9 * time.Second }, false},
		{"no promise window", func(c *Config) { c.PromiseWindow = 0 }, false},
	} {
		cfg := DefaultConfig(nil)
		c.change(&cfg)
		if err := cfg.Validate(); (err == nil) != c.valid {
			t.Errorf("%s: Validate returned %v, want valid = %v", c.name, err, c.valid)
		}
	}
}
