package tombstone

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// TestBudget guards against a customer that gets more than its rate or all of the total, against a hint that is too
// early or too late, and against a charge that is never returned.
func TestBudget(t *testing.T) {
	limits := Limits{Customer: Rate{PerSecond: 2, Burst: 4}, Total: Rate{PerSecond: 5, Burst: 8}}
	teams := []job.Origin{{Queue: "q", Team: "a"}, {Queue: "r", Team: "a"}, {Queue: "q", Team: "b"}, {Queue: "q"}, {Queue: "r"}}
	rapid.Check(t, func(t *rapid.T) {
		b, start := NewBudget(limits), time.Unix(1_700_000_000, 0)
		now := start
		taken, total := map[job.Origin]float64{}, 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom(teams).Draw(t, "from")
			wait := b.Take(now, from)
			if wait > 0 {
				if b.Take(now.Add(wait-time.Millisecond), from) == 0 {
					t.Fatalf("fits before the hint of %s", wait)
				}
				now = now.Add(wait)
				if b.Take(now, from) > 0 {
					t.Fatalf("does not fit after the hint of %s", wait)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "returned") == 0 {
				b.GiveBack(now, from)
				continue
			}
			taken[customerOf(from)]++
			total++
			elapsed := now.Sub(start).Seconds()
			if taken[customerOf(from)] > limits.Customer.Burst+limits.Customer.PerSecond*elapsed+1e-6 || total > limits.Total.Burst+limits.Total.PerSecond*elapsed+1e-6 {
				t.Fatalf("%v took %v of %v in %v s", from, taken[customerOf(from)], total, elapsed)
			}
		}
	})
}

// TestManyCustomers guards against a budget that remembers any number of customers.
func TestManyCustomers(t *testing.T) {
	b, now := NewBudget(DefaultLimits()), time.Unix(1_700_000_000, 0)
	for n := range 10 * maxCustomers {
		now = now.Add(time.Second)
		b.Take(now, job.Origin{Team: time.Duration(n).String()})
	}
	if len(b.customers) > maxCustomers {
		t.Errorf("%d customers are remembered", len(b.customers))
	}
}

// TestExtend guards against a tombstone that loses an origin, grows without bound, or is taken for current although
// it is about to end.
func TestExtend(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var record *job.Final
	for n := range MaxOrigins {
		var ok bool
		if record, ok = Extend(record, job.Origin{Queue: "q", Team: time.Duration(n).String()}, now); !ok {
			t.Fatalf("origin %d is refused", n)
		}
	}
	first := job.Origin{Queue: "q", Team: time.Duration(0).String()}
	if again, ok := Extend(record, first, now.Add(time.Minute)); !ok || len(again.Tombstone) != MaxOrigins || !IsCurrent(again, first, now.Add(time.Minute)) {
		t.Errorf("the renewed tombstone %+v is not current, or lacks an origin", again)
	}
	if _, ok := Extend(record, job.Origin{Queue: "r"}, now); ok {
		t.Error("an origin beyond the limit is accepted")
	}
	if IsCurrent(record, first, now.Add(time.Minute)) || !Covers(record, first) || Covers(record, job.Origin{Queue: "q", Team: "x"}) || Covers(nil, first) {
		t.Error("the tombstone is current for too long, or covers others than it should")
	}
}
