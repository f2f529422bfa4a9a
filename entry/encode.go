package entry

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/mulberrydrum/mulberrydrum/entry/entrypb"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func encodeTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func decodeTime(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}

func encodeResources(r task.Resources) *entrypb.Resources {
	if r.IsZero() {
		return nil
	}
	return &entrypb.Resources{CpuMilli: r.CPUMilli, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators, Slots: r.Slots, Connections: r.Connections}
}

func decodeResources(r *entrypb.Resources) task.Resources {
	return task.Resources{CPUMilli: r.GetCpuMilli(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(), Slots: r.GetSlots(), Connections: r.GetConnections()}
}

func encodeAttempt(a task.Attempt) *entrypb.Attempt {
	return &entrypb.Attempt{Task: string(a.Task), Number: a.Number}
}

func decodeAttempt(a *entrypb.Attempt) task.Attempt {
	return task.Attempt{Task: task.ID(a.GetTask()), Number: a.GetNumber()}
}

func encodeJob(j ledger.JobKey) *entrypb.Job {
	return &entrypb.Job{Team: string(j.Team), Service: string(j.Service), Key: j.Key}
}

func decodeJob(j *entrypb.Job) ledger.JobKey {
	return ledger.JobKey{Team: task.Team(j.GetTeam()), Service: task.Service(j.GetService()), Key: j.GetKey()}
}

func encodeSpec(s *task.Spec) *entrypb.Spec {
	return &entrypb.Spec{
		Team: string(s.Team), Service: string(s.Service), Class: s.Class, IdempotencyKey: s.IdempotencyKey,
		Kind: string(s.Kind), Urgency: string(s.Urgency), Size: encodeResources(s.Size), Count: int32(s.Count),
		DeclaredRun: durationpb.New(s.DeclaredRun), Deadline: encodeTime(s.Deadline), ReviewBy: encodeTime(s.ReviewBy),
		Regions: s.Regions, Command: s.Command, Payload: s.Payload, KeyId: s.KeyID,
		SubmittedAt: encodeTime(s.SubmittedAt), PayloadDigest: s.PayloadDigest,
	}
}

func decodeSpec(s *entrypb.Spec) task.Spec {
	return task.Spec{
		Team: task.Team(s.GetTeam()), Service: task.Service(s.GetService()), Class: s.GetClass(), IdempotencyKey: s.GetIdempotencyKey(),
		Kind: task.Kind(s.GetKind()), Urgency: task.Urgency(s.GetUrgency()), Size: decodeResources(s.GetSize()), Count: int(s.GetCount()),
		DeclaredRun: s.GetDeclaredRun().AsDuration(), Deadline: decodeTime(s.GetDeadline()), ReviewBy: decodeTime(s.GetReviewBy()),
		Regions: s.GetRegions(), Command: s.GetCommand(), Payload: s.GetPayload(), KeyID: s.GetKeyId(),
		SubmittedAt: decodeTime(s.GetSubmittedAt()), PayloadDigest: s.GetPayloadDigest(),
	}
}

func encodeOutcome(o *task.Outcome) *entrypb.Outcome {
	if o == nil {
		return nil
	}
	return &entrypb.Outcome{
		Attempt: encodeAttempt(o.Attempt), State: string(o.State), ExitCode: int32(o.ExitCode), Reason: o.Reason,
		Worker: o.Worker, RunTime: durationpb.New(o.RunTime), Result: o.Result, Digest: o.Digest,
	}
}

func decodeOutcome(o *entrypb.Outcome) *task.Outcome {
	if o == nil {
		return nil
	}
	return &task.Outcome{
		Attempt: decodeAttempt(o.GetAttempt()), State: task.State(o.GetState()), ExitCode: int(o.GetExitCode()), Reason: o.GetReason(),
		Worker: o.GetWorker(), RunTime: o.GetRunTime().AsDuration(), Result: o.GetResult(), Digest: o.GetDigest(),
	}
}

func encodeError(e *errkind.Error) *entrypb.Error {
	if e == nil {
		return nil
	}
	return &entrypb.Error{Kind: string(e.Kind), Message: e.Message, Field: e.Field, Limit: e.Limit, RetryAfter: durationpb.New(e.RetryAfter), Fate: string(e.FateOverride)}
}

func decodeError(e *entrypb.Error) *errkind.Error {
	if e == nil {
		return nil
	}
	return &errkind.Error{Kind: errkind.Kind(e.GetKind()), Message: e.GetMessage(), Field: e.GetField(), Limit: e.GetLimit(),
		RetryAfter: e.GetRetryAfter().AsDuration(), FateOverride: errkind.Fate(e.GetFate())}
}

func encodeRecord(r *ledger.Record) *entrypb.Record {
	if r == nil {
		return nil
	}
	tasks := make([]*entrypb.Task, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		tasks[i] = &entrypb.Task{Id: string(t.ID), State: string(t.State), Attempt: t.Attempt, Partition: t.Partition,
			Worker: t.Worker, BootId: t.BootID, Permitted: t.Permitted, MayHaveRun: t.MayHaveRun, Failures: int32(t.Failures), Outcome: encodeOutcome(t.Outcome)}
	}
	return &entrypb.Record{Spec: encodeSpec(&r.Spec), Tasks: tasks, Cancelled: r.Cancelled, FinishedAt: encodeTime(r.FinishedAt)}
}

func decodeRecord(r *entrypb.Record) *ledger.Record {
	if r == nil {
		return nil
	}
	tasks := make([]ledger.TaskRecord, len(r.GetTasks()))
	for i, t := range r.GetTasks() {
		tasks[i] = ledger.TaskRecord{ID: task.ID(t.GetId()), State: task.State(t.GetState()), Attempt: t.GetAttempt(), Partition: t.GetPartition(),
			Worker: t.GetWorker(), BootID: t.GetBootId(), Permitted: t.GetPermitted(), MayHaveRun: t.GetMayHaveRun(), Failures: int(t.GetFailures()), Outcome: decodeOutcome(t.GetOutcome())}
	}
	return &ledger.Record{Spec: decodeSpec(r.GetSpec()), Tasks: tasks, Cancelled: r.GetCancelled(), FinishedAt: decodeTime(r.GetFinishedAt())}
}
