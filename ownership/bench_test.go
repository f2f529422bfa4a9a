package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// idleTable returns the table of one of the members. It owns its share of the units
// and has no action due.
func idleTable(units, members int) (*Table, time.Time) {
	var names []string
	for i := range units {
		names = append(names, fmt.Sprintf("h/%d", i))
	}
	var all []membership.Member
	for i := range members {
		name := fmt.Sprintf("m%d", i)
		all = append(all, membership.Member{Instance: name, Incarnation: name, Region: fmt.Sprint(i % 3), FailureDomain: fmt.Sprint(i % 12)})
	}
	t := New(DefaultConfig(names), all[0], at(0))
	t.LeaseAttached(at(0), at(0), 1)
	t.ObserveMembers(at(0), all, true)
	for i, name := range names {
		owner, _ := membership.Preferred(name, all)
		r := Record{Unit: name, Owner: owner.Incarnation, OwnerInstance: owner.Instance, Epoch: 1, Revision: int64(i + 2)}
		for _, m := range membership.Successors(owner, name, all, successorCount) {
			r.Successors = append(r.Successors, successorOf(m))
		}
		t.ObserveRecord(at(0), r)
	}
	t.ObserveThrough(at(0), int64(units+2))
	t.Tick(at(time.Second))
	return t, at(2 * time.Second)
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ units, members int }{{76, 8}, {400, 40}} {
		b.Run(fmt.Sprintf("units=%d/members=%d", size.units, size.members), func(b *testing.B) {
			t, now := idleTable(size.units, size.members)
			b.ReportAllocs()
			for b.Loop() {
				t.Tick(now)
			}
		})
	}
}

func BenchmarkHolds(b *testing.B) {
	for _, units := range []int{76, 400} {
		b.Run(fmt.Sprintf("units=%d", units), func(b *testing.B) {
			t, now := idleTable(units, 8)
			b.ReportAllocs()
			for b.Loop() {
				t.Holds(now, "h/1")
			}
		})
	}
}
