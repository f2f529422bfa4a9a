package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result. The flag
// -rapid.seed on the command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func testMembers(n int) []Member {
	regions := []string{"flanders", "wallonia", "brussels"}
	members := make([]Member, n)
	for i := range members {
		region := regions[i%len(regions)]
		members[i] = Member{
			Instance:      fmt.Sprintf("entry-%d", i),
			Incarnation:   fmt.Sprintf("entry-%d.1", i),
			Region:        region,
			FailureDomain: fmt.Sprintf("%s-%d", region, i/len(regions)%4),
		}
	}
	return members
}

func unitNames(partitions, shards int) []string {
	var names []string
	for _, region := range []string{"flanders", "wallonia", "brussels"} {
		for i := range partitions {
			names = append(names, fmt.Sprintf("w/%s/%d", region, i))
		}
	}
	for i := range shards {
		names = append(names, fmt.Sprintf("h/%d", i))
	}
	return names
}

func preferredOwners(names []string, members []Member) map[string]string {
	owner := make(map[string]string)
	for _, unit := range names {
		m, _ := Preferred(unit, members)
		owner[unit] = m.Instance
	}
	return owner
}

// TestOneMemberMovesOnlyItsUnits guards against an assignment in which the
// start or stop of one instance moves units between other instances.
func TestOneMemberMovesOnlyItsUnits(t *testing.T) {
	names := unitNames(4, 64)
	rapid.Check(t, func(t *rapid.T) {
		members := testMembers(rapid.IntRange(2, 40).Draw(t, "members"))
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		remaining := append(append([]Member{}, members[:gone]...), members[gone+1:]...)
		before, after := preferredOwners(names, members), preferredOwners(names, remaining)
		for _, unit := range names {
			if before[unit] != members[gone].Instance && before[unit] != after[unit] {
				t.Fatalf("%s moved from %s to %s when %s left", unit, before[unit], after[unit], members[gone].Instance)
			}
		}
	})
}

// TestPreferredIsFirstOfRank guards against Preferred, which owners use to move
// units, differing from the first member of Rank.
func TestPreferredIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := testMembers(rapid.IntRange(0, 20).Draw(t, "members"))
		for i := range members {
			members[i].Draining = rapid.Bool().Draw(t, "draining")
		}
		for _, unit := range unitNames(4, 8) {
			rank := Rank(unit, members)
			m, ok := Preferred(unit, members)
			if ok != (len(rank) > 0) || ok && m != rank[0] {
				t.Fatalf("%s: preferred %v, rank %v", unit, m, rank)
			}
			if ok && m.Draining {
				t.Fatalf("%s assigned to draining %s", unit, m.Instance)
			}
		}
	})
}

// TestPartitionsStayInRegion guards against a partition that is owned from another
// region although its own region has a member, and against partitions without an
// owner.
func TestPartitionsStayInRegion(t *testing.T) {
	members := testMembers(8)
	for _, unit := range unitNames(48, 0) {
		m, ok := Preferred(unit, members)
		if !ok || m.Region != RegionOf(unit) {
			t.Errorf("%s assigned to %s in %s", unit, m.Instance, m.Region)
		}
	}
	if m, ok := Preferred("w/flanders/0", members[1:3]); !ok {
		t.Errorf("partition without a member in its region has no owner: %v", m)
	}
}

// TestShardsAreSpread guards against a hash that gives one instance most of the
// shards. With 400 units on 8 members the mean is 50.
func TestShardsAreSpread(t *testing.T) {
	count := make(map[string]int)
	for _, owner := range preferredOwners(unitNames(0, 400), testMembers(8)) {
		count[owner]++
	}
	for instance, n := range count {
		if n < 25 || n > 85 {
			t.Errorf("%s owns %d of 400 shards", instance, n)
		}
	}
	if len(count) != 8 {
		t.Errorf("only %d of 8 members own shards", len(count))
	}
}

// TestSuccessorsSpreadOverFailureDomains guards against the failure of one failure
// domain, or one network partition between regions, making an owner and its
// successors unavailable at the same time.
func TestSuccessorsSpreadOverFailureDomains(t *testing.T) {
	members := testMembers(24)
	for _, unit := range unitNames(4, 64) {
		owner, _ := Preferred(unit, members)
		successors := Successors(owner, unit, members, 2)
		if len(successors) != 2 {
			t.Fatalf("%s: %d successors", unit, len(successors))
		}
		domains := map[string]bool{owner.FailureDomain: true}
		for _, s := range successors {
			if s.Region != owner.Region || s.Instance == owner.Instance {
				t.Errorf("%s: owner %v, successor %v", unit, owner, s)
			}
			domains[s.FailureDomain] = true
		}
		if len(domains) != 3 {
			t.Errorf("%s: owner and successors share a failure domain: %v %v", unit, owner, successors)
		}
	}
	if got := Successors(members[0], "h/1", members[:1], 2); len(got) != 0 {
		t.Errorf("a single member has successors %v", got)
	}
}
