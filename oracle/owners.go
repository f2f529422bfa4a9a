package oracle

import (
	"fmt"

	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// unitEpoch is one epoch of a partition or shard.
type unitEpoch struct {
	partition string
	epoch     uint64
}

// checkEpochOwners reports epochs that were taken by two processes, and epochs
// that were taken after a higher one.
func checkEpochOwners(idx *traceIndex, report *Report) {
	taken := make(map[unitEpoch]timeline.Event)
	highest := make(map[string]timeline.Event)
	for _, e := range idx.byType[timeline.OwnershipTaken] {
		report.countExamined(OwnershipEpochs)
		unit := unitEpoch{e.Partition, e.Epoch}
		if previous, seen := taken[unit]; seen && processOf(previous) != processOf(e) {
			report.add(Violation{
				Invariant: OwnershipEpochs,
				Message:   fmt.Sprintf("epoch %d of %s has two owners", e.Epoch, e.Partition),
				Events:    []timeline.Event{previous, e},
			})
		}
		taken[unit] = e
		current := highest[e.Partition]
		if e.Epoch >= current.Epoch {
			highest[e.Partition] = e
			continue
		}
		if e.Clock.Wall.Sub(current.Clock.Wall) > idx.Bounds.ClockSkew {
			report.add(Violation{
				Invariant: OwnershipEpochs,
				Message:   fmt.Sprintf("epoch %d of %s was taken after epoch %d", e.Epoch, e.Partition, current.Epoch),
				Events:    []timeline.Event{current, e},
			})
		}
	}
}

// checkOwnerDecisions reports decisions of an owner after another owner has taken
// over, and decisions under an epoch that another process holds.
func checkOwnerDecisions(idx *traceIndex, report *Report) {
	highest := make(map[string]timeline.Event)
	holder := make(map[unitEpoch]timeline.Event)
	for _, e := range idx.Events {
		switch e.Type {
		case timeline.OwnershipTaken:
			holder[unitEpoch{e.Partition, e.Epoch}] = e
			if e.Epoch > highest[e.Partition].Epoch {
				highest[e.Partition] = e
			}
		case timeline.TaskReserved, timeline.TaskStartSent:
			if e.Partition == "" {
				continue
			}
			report.countExamined(OwnershipEpochs)
			owner, known := holder[unitEpoch{e.Partition, e.Epoch}]
			if known && processOf(owner) != processOf(e) {
				report.add(decisionViolation(e, owner, "is held by another process"))
			}
			later := highest[e.Partition]
			if later.Epoch > e.Epoch && e.Clock.Wall.Sub(later.Clock.Wall) > idx.Bounds.ClockSkew {
				report.add(decisionViolation(e, later, "had been superseded"))
			}
		}
	}
}

func decisionViolation(decision, owner timeline.Event, reason string) Violation {
	return Violation{
		Invariant: OwnershipEpochs,
		Message:   fmt.Sprintf("epoch %d of %s, under which %s made a decision, %s", decision.Epoch, decision.Partition, decision.Instance, reason),
		Events:    []timeline.Event{owner, decision},
	}
}

// checkWorkerEpochs reports workers that started a task under a lower epoch after
// one under a higher epoch: the worker did not fence off the former owner.
func checkWorkerEpochs(idx *traceIndex, report *Report) {
	for _, w := range idx.Workers {
		var highest Run
		for _, r := range w.Runs {
			report.countExamined(OwnershipEpochs)
			if r.Epoch < highest.Epoch {
				report.add(Violation{
					Invariant: OwnershipEpochs,
					Message:   fmt.Sprintf("worker %s started attempt %s under epoch %d after a start under epoch %d", w.Worker, r.Attempt, r.Epoch, highest.Epoch),
					Events:    idx.eventsOf(r.Attempt.Task), Runs: []Run{highest, r},
				})
			}
			if r.Epoch >= highest.Epoch {
				highest = r
			}
		}
	}
}
