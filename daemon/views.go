package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// forEachMember calls f concurrently for every member and waits for all calls to return.
func (b *operatorBackend) forEachMember(ctx context.Context, members []membership.Member, f func(context.Context, int, membership.Member)) {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.Control.CallTimeout)
	defer cancel()
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() { f(ctx, i, m) })
	}
	group.Wait()
}

// Workers lists the workers with the state that their owners report.
func (b *operatorBackend) Workers(ctx context.Context) ([]api.Worker, error) {
	overviews, _ := b.fetchOverviews(ctx)
	now := time.Now()
	var workers []api.Worker
	for _, o := range overviews {
		for _, w := range o.Workers {
			workers = append(workers, api.Worker{
				Name: w.Name, Region: w.Region, FailureDomain: w.FailureDomain, Rack: w.Rack, Partition: w.Partition, Owner: o.Instance,
				State: workerState(w), Capacity: w.Capacity, Reserved: w.Capacity.Sub(w.Free), Tasks: w.Running,
				ReportAge: api.Duration(now.Sub(w.LastReport).Round(time.Millisecond)),
			})
		}
	}
	slices.SortFunc(workers, func(a, b api.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return workers, nil
}

func workerState(w control.WorkerView) string {
	switch {
	case w.Drained:
		return "draining"
	case w.Leaving:
		return "leaving"
	case w.Quarantined:
		return "quarantined"
	case !w.Usable:
		return "silent"
	default:
		return "ready"
	}
}

// Shares lists the teams with their usage across all members.
func (b *operatorBackend) Shares(ctx context.Context) ([]api.Share, error) {
	overviews, _ := b.fetchOverviews(ctx)
	byTeam := map[task.Team]*api.Share{}
	for _, o := range overviews {
		for _, t := range o.Teams {
			share, ok := byTeam[t.Team]
			if !ok {
				share = &api.Share{Team: t.Team, Weight: t.Weight, Entitled: t.Share.Entitled, Current: t.Share.Current,
					Decayed: t.Share.Decayed, Limit: t.Allowance.Limit}
				if t.Allowance.HasPending {
					share.Pending = &t.Allowance.Pending
				}
				byTeam[t.Team] = share
			}
			share.Running = share.Running.Add(t.Running)
			share.Waiting += t.Queued
		}
	}
	var shares []api.Share
	for _, share := range byTeam {
		shares = append(shares, *share)
	}
	slices.SortFunc(shares, func(a, b api.Share) int { return cmp.Compare(a.Team, b.Team) })
	return shares, nil
}

// Members lists the live entry instances.
func (b *operatorBackend) Members(ctx context.Context) ([]api.Member, error) {
	units := map[string][]string{}
	overviews, _ := b.fetchOverviews(ctx)
	for _, o := range overviews {
		units[o.Instance] = o.Units
	}
	s := b.loop.Snapshot()
	var members []api.Member
	for _, m := range s.Members {
		members = append(members, api.Member{Instance: m.Instance, Incarnation: m.Incarnation, Address: m.Address, Region: m.Region,
			FailureDomain: m.FailureDomain, Draining: m.Draining, Revision: s.InstanceRevisions[m.Instance], Units: units[m.Instance]})
	}
	return members, nil
}

// Timeline merges the timelines of all members.
func (b *operatorBackend) Timeline(ctx context.Context, filter operator.TimelineFilter) (api.Timeline, error) {
	members := b.loop.Snapshot().Members
	timelines := make([][]timeline.Event, len(members))
	failed := make([]bool, len(members))
	b.forEachMember(ctx, members, func(ctx context.Context, i int, m membership.Member) {
		if m.Incarnation == b.cfg.Self.Incarnation {
			timelines[i] = b.recorder.Events(timeline.Filter{Task: filter.Task, Team: filter.Team, From: filter.Since})
			return
		}
		events, err := b.clients.Entries.Timeline(ctx, m, string(filter.Task), string(filter.Team), filter.Since)
		failed[i] = err != nil || json.Unmarshal(events, &timelines[i]) != nil
	})
	merged := api.Timeline{Events: timeline.Merge(timelines...)}
	for i, m := range members {
		if failed[i] {
			merged.Missing = append(merged.Missing, m.Instance)
		}
	}
	if n := len(merged.Events); filter.Limit > 0 && n > filter.Limit {
		merged.Events = merged.Events[n-filter.Limit:]
	}
	return merged, nil
}
