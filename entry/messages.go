package entry

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/entry/entrypb"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

func encodeAttempts(list []task.Attempt) []*entrypb.Attempt {
	out := make([]*entrypb.Attempt, len(list))
	for i, a := range list {
		out[i] = encodeAttempt(a)
	}
	return out
}

func decodeAttempts(list []*entrypb.Attempt) []task.Attempt {
	out := make([]task.Attempt, len(list))
	for i, a := range list {
		out[i] = decodeAttempt(a)
	}
	return out
}

func encodeJobReply(r control.JobReply) *entrypb.JobReply {
	return &entrypb.JobReply{Record: encodeRecord(r.Record), Error: encodeError(r.Err)}
}

func decodeJobReply(r *entrypb.JobReply) control.JobReply {
	return control.JobReply{Record: decodeRecord(r.GetRecord()), Err: decodeError(r.GetError())}
}

func encodePlace(from string, r control.PlaceRequest) *entrypb.PlaceRequest {
	out := make([]*entrypb.Placement, len(r.Placements))
	for i := range r.Placements {
		p := &r.Placements[i]
		out[i] = &entrypb.Placement{Attempt: encodeAttempt(p.Attempt), Job: encodeJob(p.Job), Index: int32(p.Index), Partition: p.Partition,
			Epoch: p.Epoch, Age: durationpb.New(p.Age), Gang: int32(p.GangSize), Spec: encodeSpec(&p.Spec)}
	}
	return &entrypb.PlaceRequest{From: from, Placements: out}
}

func decodePlace(r *entrypb.PlaceRequest) control.PlaceRequest {
	out := make([]control.Placement, len(r.GetPlacements()))
	for i, p := range r.GetPlacements() {
		out[i] = control.Placement{Attempt: decodeAttempt(p.GetAttempt()), Job: decodeJob(p.GetJob()), Index: int(p.GetIndex()), Partition: p.GetPartition(),
			Epoch: p.GetEpoch(), Age: p.GetAge().AsDuration(), GangSize: int(p.GetGang()), Spec: decodeSpec(p.GetSpec())}
	}
	return control.PlaceRequest{Placements: out}
}

func encodePlaceReply(r control.PlaceReply) *entrypb.PlaceReply {
	out := make([]*entrypb.Refusal, len(r.Refusals))
	for i, e := range r.Refusals {
		out[i] = &entrypb.Refusal{Error: encodeError(e)}
	}
	return &entrypb.PlaceReply{Refusals: out}
}

func decodePlaceReply(r *entrypb.PlaceReply) control.PlaceReply {
	out := make([]*errkind.Error, len(r.GetRefusals()))
	for i, e := range r.GetRefusals() {
		out[i] = decodeError(e.GetError())
	}
	return control.PlaceReply{Refusals: out}
}

func encodeLookup(from string, r control.LookupRequest) *entrypb.LookupRequest {
	out := make([]*entrypb.LookupItem, len(r.Attempts))
	for i, a := range r.Attempts {
		out[i] = &entrypb.LookupItem{Attempt: encodeAttempt(a.Attempt), Job: encodeJob(a.Job), Index: int32(a.Index), Once: a.AtMostOnce, Worker: a.Worker, BootId: a.BootID}
	}
	return &entrypb.LookupRequest{From: from, Partition: r.Partition, Attempts: out}
}

func decodeLookup(r *entrypb.LookupRequest) control.LookupRequest {
	out := make([]control.LookupItem, len(r.GetAttempts()))
	for i, a := range r.GetAttempts() {
		out[i] = control.LookupItem{Attempt: decodeAttempt(a.GetAttempt()), Job: decodeJob(a.GetJob()), Index: int(a.GetIndex()), AtMostOnce: a.GetOnce(), Worker: a.GetWorker(), BootID: a.GetBootId()}
	}
	return control.LookupRequest{Partition: r.GetPartition(), Attempts: out}
}

func encodeLookupReply(r control.LookupReply) *entrypb.LookupReply {
	out := make([]uint32, len(r.States))
	for i, s := range r.States {
		out[i] = uint32(s)
	}
	return &entrypb.LookupReply{States: out}
}

func decodeLookupReply(r *entrypb.LookupReply) control.LookupReply {
	out := make([]control.LookupState, len(r.GetStates()))
	for i, s := range r.GetStates() {
		out[i] = control.LookupState(s)
	}
	return control.LookupReply{States: out}
}

func encodeReport(from string, r control.ReportRequest) *entrypb.ReportRequest {
	out := make([]*entrypb.AttemptReport, len(r.Reports))
	for i, a := range r.Reports {
		out[i] = &entrypb.AttemptReport{Attempt: encodeAttempt(a.Attempt), Job: encodeJob(a.Job), Index: int32(a.Index), Worker: a.Worker, Outcome: encodeOutcome(a.Outcome)}
	}
	return &entrypb.ReportRequest{From: from, Reports: out}
}

func decodeReport(r *entrypb.ReportRequest) control.ReportRequest {
	out := make([]control.AttemptReport, len(r.GetReports()))
	for i, a := range r.GetReports() {
		out[i] = control.AttemptReport{Attempt: decodeAttempt(a.GetAttempt()), Job: decodeJob(a.GetJob()), Index: int(a.GetIndex()), Worker: a.GetWorker(), Outcome: decodeOutcome(a.GetOutcome())}
	}
	return control.ReportRequest{Reports: out}
}

func encodePromise(from string, r control.PromiseRequest) *entrypb.PromiseRequest {
	units := make([]*entrypb.PromiseUnit, len(r.Units))
	for i, u := range r.Units {
		units[i] = &entrypb.PromiseUnit{Unit: u.Unit, Epoch: u.Epoch}
	}
	return &entrypb.PromiseRequest{From: from, Owner: r.Owner, Promisee: encodeSuccessor(r.Successor), Units: units}
}

func decodePromise(r *entrypb.PromiseRequest) control.PromiseRequest {
	units := make([]control.PromiseUnit, len(r.GetUnits()))
	for i, u := range r.GetUnits() {
		units[i] = control.PromiseUnit{Unit: u.GetUnit(), Epoch: u.GetEpoch()}
	}
	return control.PromiseRequest{Owner: r.GetOwner(), Successor: decodeSuccessor(r.GetPromisee()), Units: units}
}

func encodeSuccessor(s ownership.Successor) *entrypb.Successor {
	return &entrypb.Successor{Instance: s.Instance, Incarnation: s.Incarnation}
}

func decodeSuccessor(s *entrypb.Successor) ownership.Successor {
	return ownership.Successor{Instance: s.GetInstance(), Incarnation: s.GetIncarnation()}
}

func encodeHandover(from string, r ownership.Record) *entrypb.HandoverNotice {
	out := &entrypb.HandoverNotice{From: from, Unit: r.Unit, Owner: r.Owner, OwnerInstance: r.OwnerInstance, Epoch: r.Epoch, Revision: r.Revision}
	for _, s := range r.Successors {
		out.Successors = append(out.Successors, encodeSuccessor(s))
	}
	return out
}

func decodeHandover(r *entrypb.HandoverNotice) control.HandoverNotice {
	out := ownership.Record{Unit: r.GetUnit(), Owner: r.GetOwner(), OwnerInstance: r.GetOwnerInstance(), Epoch: r.GetEpoch(), Revision: r.GetRevision()}
	for _, s := range r.GetSuccessors() {
		out.Successors = append(out.Successors, decodeSuccessor(s))
	}
	return control.HandoverNotice{Record: out}
}

func encodeDigest(d control.DigestMessage) *entrypb.Digest {
	out := &entrypb.Digest{Instance: d.Instance, Incarnation: d.Incarnation, Revision: d.Revision, StoreContact: d.StoreContact, ContactAge: durationpb.New(d.StoreContactAge),
		AskNoCommit: d.RequestNoCommit, NoCommit: d.NoCommitPromised, Known: d.KnownRevision,
		Freshness: durationpb.New(d.Freshness), Clock: &entrypb.Clock{WallNs: d.Clock.Wall.UnixNano(), Logical: d.Clock.Logical}}
	for _, p := range d.Partitions {
		out.Partitions = append(out.Partitions, &entrypb.PartitionDigest{Partition: p.Partition, Epoch: p.Epoch, Free: encodeResources(p.Free),
			Capacity: encodeResources(p.Capacity), Queued: int32(p.Queued), Ready: p.Ready})
	}
	for _, u := range d.Usage {
		out.Usage = append(out.Usage, &entrypb.TeamUsage{Team: string(u.Team), Size: encodeResources(u.Used)})
	}
	for _, team := range d.StarvedTeams {
		out.Wants = append(out.Wants, string(team))
	}
	return out
}

func decodeDigest(d *entrypb.Digest) control.DigestMessage {
	out := control.DigestMessage{Instance: d.GetInstance(), Incarnation: d.GetIncarnation(), Revision: d.GetRevision(), StoreContact: d.GetStoreContact(), StoreContactAge: d.GetContactAge().AsDuration(),
		RequestNoCommit: d.GetAskNoCommit(), NoCommitPromised: d.GetNoCommit(), KnownRevision: d.GetKnown(),
		Freshness: d.GetFreshness().AsDuration(), Clock: timeline.Timestamp{Wall: time.Unix(0, d.GetClock().GetWallNs()), Logical: d.GetClock().GetLogical()}}
	for _, p := range d.GetPartitions() {
		out.Partitions = append(out.Partitions, control.PartitionDigest{Partition: p.GetPartition(), Epoch: p.GetEpoch(), Free: decodeResources(p.GetFree()),
			Capacity: decodeResources(p.GetCapacity()), Queued: int(p.GetQueued()), Ready: p.GetReady()})
	}
	for _, u := range d.GetUsage() {
		out.Usage = append(out.Usage, control.TeamUsage{Team: task.Team(u.GetTeam()), Used: decodeResources(u.GetSize())})
	}
	for _, team := range d.GetWants() {
		out.StarvedTeams = append(out.StarvedTeams, task.Team(team))
	}
	return out
}

func encodeConfig(r control.FetchConfigReply) *entrypb.FetchConfigReply {
	out := &entrypb.FetchConfigReply{After: r.AfterRevision, Revision: r.Revision}
	for _, e := range r.Entries {
		out.Entries = append(out.Entries, &entrypb.ConfigEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return out
}

func decodeConfig(r *entrypb.FetchConfigReply) control.FetchConfigReply {
	out := control.FetchConfigReply{AfterRevision: r.GetAfter(), Revision: r.GetRevision()}
	for _, e := range r.GetEntries() {
		out.Entries = append(out.Entries, control.ConfigEntry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return out
}
