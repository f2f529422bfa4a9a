package oracle

import (
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// unit is a partition or shard under one epoch.
type unit struct {
	partition string
	epoch     uint64
}

// checkOwners reports epochs that two processes took, and epochs that were
// taken after a higher one.
func checkOwners(ix *index, report *Report) {
	taken := make(map[unit]timeline.Event)
	highest := make(map[string]timeline.Event)
	for _, e := range ix.byType[timeline.OwnershipTaken] {
		report.examine(OwnershipEpochs)
		u := unit{e.Partition, e.Epoch}
		if before, seen := taken[u]; seen && processOf(before) != processOf(e) {
			report.add(Violation{
				Invariant: OwnershipEpochs,
				Message:   fmt.Sprintf("epoch %d of %s has two owners", e.Epoch, e.Partition),
				Events:    []timeline.Event{before, e},
			})
		}
		taken[u] = e
		before := highest[e.Partition]
		if e.Epoch >= before.Epoch {
			highest[e.Partition] = e
			continue
		}
		if e.Clock.Wall.Sub(before.Clock.Wall) > ix.Bounds.ClockSkew {
			report.add(Violation{
				Invariant: OwnershipEpochs,
				Message:   fmt.Sprintf("epoch %d of %s was taken after epoch %d", e.Epoch, e.Partition, before.Epoch),
				Events:    []timeline.Event{before, e},
			})
		}
	}
}

// checkActs reports decisions of an owner after another one had taken over, and
// under an epoch that another process holds.
func checkActs(ix *index, report *Report) {
	highest := make(map[string]timeline.Event)
	holder := make(map[unit]timeline.Event)
	for _, e := range ix.Events {
		switch e.Type {
		case timeline.OwnershipTaken:
			holder[unit{e.Partition, e.Epoch}] = e
			if e.Epoch > highest[e.Partition].Epoch {
				highest[e.Partition] = e
			}
		case timeline.TaskReserved, timeline.TaskStartSent:
			if e.Partition == "" {
				continue
			}
			report.examine(OwnershipEpochs)
			owner, known := holder[unit{e.Partition, e.Epoch}]
			if known && processOf(owner) != processOf(e) {
				report.add(actViolation(e, owner, "is that of another process"))
			}
			later := highest[e.Partition]
			if later.Epoch > e.Epoch && e.Clock.Wall.Sub(later.Clock.Wall) > ix.Bounds.ClockSkew {
				report.add(actViolation(e, later, "had been succeeded"))
			}
		}
	}
}

func actViolation(act, owner timeline.Event, why string) Violation {
	return Violation{
		Invariant: OwnershipEpochs,
		Message:   fmt.Sprintf("epoch %d of %s, under which %s acted, %s", act.Epoch, act.Partition, act.Instance, why),
		Events:    []timeline.Event{owner, act},
	}
}

// checkWorkerEpochs reports workers that ran a task of an earlier owner after
// one of a later owner.
func checkWorkerEpochs(ix *index, report *Report) {
	for _, w := range ix.Workers {
		var highest Run
		for _, r := range w.Runs {
			report.examine(OwnershipEpochs)
			if r.Epoch < highest.Epoch {
				report.add(Violation{
					Invariant: OwnershipEpochs,
					Message:   fmt.Sprintf("%s started %s under epoch %d after epoch %d", w.Worker, r.Attempt, r.Epoch, highest.Epoch),
					Events:    ix.eventsOf(r.Attempt.Task), Runs: []Run{highest, r},
				})
			}
			if r.Epoch >= highest.Epoch {
				highest = r
			}
		}
	}
}
