package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/fairshare"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// OverviewRequest requests the Overview of this process. It is sent only within the process.
type OverviewRequest struct{}

// Overview is the state of one instance as shown to operators.
type Overview struct {
	Instance string
	Units    []string // held, sorted
	Workers  []WorkerView
	Teams    []TeamView
}

// WorkerView is one worker of an owned partition.
type WorkerView struct {
	Name, Address, Region, FailureDomain, Rack, Partition string
	Usable, Leaving, Drained, Quarantined                 bool
	Silent                                                int // consecutive failed syncs
	LastReport                                            time.Time
	Capacity, Free                                        task.Resources
	Running                                               int
}

// heldUnits returns the units for which this process may act, sorted.
func (s *State) heldUnits() []string {
	var held []string
	partitions, shards := unitsOf(&s.cfg)
	for _, unit := range append(partitions, shards...) {
		if _, ok := s.ownership.Holds(s.now, unit); ok {
			held = append(held, unit)
		}
	}
	slices.Sort(held)
	return held
}

// TeamView is the share, queue and usage of a team.
type TeamView struct {
	Team      task.Team
	Share     fairshare.Share
	Weight    float64
	Queued    int
	Running   task.Resources   // at this owner
	Allowance allowance.Record // across all partitions
}

func (OverviewRequest) peerRequest() {}
func (Overview) peerReply()          {}

func (s *State) overview() Overview {
	return Overview{Instance: s.self.Instance, Units: s.heldUnits(), Workers: s.owner.workerViews(), Teams: s.teamViews()}
}

func (w *owner) workerViews() []WorkerView {
	running := map[string]int{}
	for _, a := range w.attempts {
		if isOnWorker(a.stage) {
			running[a.worker]++
		}
	}
	var views []WorkerView
	for _, worker := range w.workers {
		if _, owned := w.partitions[worker.partition]; !owned {
			continue
		}
		listed := worker.listed
		free, _ := w.cluster.FreeOn(listed.Name)
		views = append(views, WorkerView{
			Name: listed.Name, Address: listed.Address, Region: listed.Region, FailureDomain: listed.FailureDomain, Rack: listed.Rack, Partition: worker.partition,
			Usable: w.isUsable(worker), Leaving: worker.isLeaving(), Drained: w.drainedWorkers[listed.Name], Quarantined: w.monitor.IsQuarantined(listed.Name), Silent: worker.failedSyncs,
			LastReport: worker.clockAt, Capacity: worker.capacity, Free: free, Running: running[listed.Name],
		})
	}
	slices.SortFunc(views, func(a, b WorkerView) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

func (s *State) teamViews() []TeamView {
	running := map[task.Team]task.Resources{}
	for _, u := range s.owner.usage() {
		running[u.Team] = u.Used
	}
	var views []TeamView
	for key, doc := range s.config.documents {
		if key.Service != "" {
			continue
		}
		record, _ := s.owner.allowances.Record(key.Team)
		views = append(views, TeamView{
			Team: key.Team, Weight: doc.Share, Running: running[key.Team], Share: s.owner.shares.ShareOf(s.now, key.Team), Queued: s.owner.queues.Len(key.Team), Allowance: record,
		})
	}
	slices.SortFunc(views, func(a, b TeamView) int { return cmp.Compare(a.Team, b.Team) })
	return views
}
