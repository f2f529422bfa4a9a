package entry

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

var (
	sampleTime    = time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)
	sampleSize    = task.Resources{CPUMilli: 1, MemoryMB: 2, Accelerators: 3, Slots: 4, Connections: 5}
	sampleAttempt = task.Attempt{Task: "t/s/k/0", Number: 7}
	sampleJob     = ledger.JobKey{Team: "t", Service: "s", Key: "k"}
	sampleError   = &errkind.Error{Kind: errkind.QueueFull, Message: "full", Field: "f", Limit: "10", RetryAfter: time.Second, FateOverride: errkind.FateNotRun}
	sampleOutcome = &task.Outcome{Attempt: sampleAttempt, State: task.Finished, ExitCode: 3, Reason: "task_failed", Worker: "w",
		RunTime: time.Minute, Result: []byte("r"), Digest: "d"}
	sampleSpec = task.Spec{Team: "t", Service: "s", Class: "c", IdempotencyKey: "k", Kind: task.Gang, Urgency: task.Urgent, Size: sampleSize, Count: 2,
		DeclaredRun: time.Hour, Deadline: sampleTime, ReviewBy: sampleTime.Add(1), Regions: []string{"r"}, Command: "x", Payload: []byte("p"),
		KeyID: "id", SubmittedAt: sampleTime.Add(2), PayloadDigest: "pd"}
	sampleRecord = &ledger.Record{Spec: sampleSpec, Cancelled: true, FinishedAt: sampleTime, Tasks: []ledger.TaskRecord{{ID: "t/s/k/0", State: task.Running,
		Attempt: 7, Partition: "w/r/0", Worker: "w", BootID: "b", Permitted: true, MayHaveRun: true, Outcome: sampleOutcome, Failures: 2}}}
	sampleSuccessor = ownership.Successor{Instance: "e", Incarnation: "e-1"}
)

// TestMessageRoundTrip guards against a field that is added to a message but not to its
// encoding: every field of each sample is set, and a round trip must not change the sample.
func TestMessageRoundTrip(t *testing.T) {
	place := control.PlaceRequest{Placements: []control.Placement{{Attempt: sampleAttempt, Job: sampleJob, Index: 1, Partition: "w/r/0", Epoch: 2,
		Age: time.Second, GangSize: 3, Spec: sampleSpec}}}
	placeReply := control.PlaceReply{Refusals: []*errkind.Error{sampleError}}
	lookup := control.LookupRequest{Partition: "w/r/0", Attempts: []control.LookupItem{{Attempt: sampleAttempt, Job: sampleJob, Index: 1, AtMostOnce: true, Worker: "w", BootID: "b"}}}
	lookupReply := control.LookupReply{States: []control.LookupState{control.LookupEnded}}
	report := control.ReportRequest{Reports: []control.AttemptReport{{Attempt: sampleAttempt, Job: sampleJob, Index: 1, Worker: "w", Outcome: sampleOutcome}}}
	promise := control.PromiseRequest{Owner: "e-1", Successor: sampleSuccessor, Units: []control.PromiseUnit{{Unit: "h/1", Epoch: 4}}}
	handover := control.HandoverNotice{Record: ownership.Record{Unit: "h/1", Owner: "e-1", OwnerInstance: "e", Epoch: 3, Successors: []ownership.Successor{sampleSuccessor}, Revision: 9}}
	digest := control.DigestMessage{Instance: "e", Incarnation: "e-1", Revision: 5, StoreContact: true, StoreContactAge: time.Second, Freshness: time.Minute,
		Partitions: []control.PartitionDigest{{Partition: "w/r/0", Epoch: 1, Free: sampleSize, Capacity: sampleSize, Queued: 2, Ready: true}},
		Usage:      []control.TeamUsage{{Team: "t", Used: sampleSize}}, StarvedTeams: []task.Team{"t"},
		Clock: timeline.Timestamp{Wall: time.Unix(0, 77), Logical: 3}, RequestNoCommit: true, NoCommitPromised: true, KnownRevision: 8}
	config := control.FetchConfigReply{AfterRevision: 1, Revision: 2, Entries: []control.ConfigEntry{{Key: "c/x", Value: []byte("v"), Revision: 2, Deleted: true}}}
	reply := control.JobReply{Record: sampleRecord, Err: sampleError}

	for _, c := range []struct{ sample, decoded any }{
		{place, decodePlace(encodePlace("e", place))},
		{placeReply, decodePlaceReply(encodePlaceReply(placeReply))},
		{lookup, decodeLookup(encodeLookup("e", lookup))},
		{lookupReply, decodeLookupReply(encodeLookupReply(lookupReply))},
		{report, decodeReport(encodeReport("e", report))},
		{promise, decodePromise(encodePromise("e", promise))},
		{handover, decodeHandover(encodeHandover("e", handover.Record))},
		{digest, decodeDigest(encodeDigest(digest))},
		{config, decodeConfig(encodeConfig(config))},
		{reply, decodeJobReply(encodeJobReply(reply))},
	} {
		if field := zeroField(reflect.ValueOf(c.sample)); field != "" {
			t.Errorf("sample of %T does not set %s, so its encoding is not tested", c.sample, field)
		}
		if !reflect.DeepEqual(c.sample, c.decoded) {
			t.Errorf("%T changed:\n sent     %+v\n received %+v", c.sample, c.sample, c.decoded)
		}
	}
}

// zeroField returns the name of the first unset field at any depth (for an empty pointer or slice,
// the name of its type), or the empty string.
func zeroField(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return v.Type().String()
		}
		return zeroField(v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			return v.Type().String()
		}
		return zeroField(v.Index(0))
	case reflect.Struct:
		return zeroFieldOf(v)
	default:
		return ""
	}
}

func zeroFieldOf(v reflect.Value) string {
	if v.Type() == reflect.TypeFor[time.Time]() {
		return ""
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if v.Field(i).IsZero() {
			return v.Type().Name() + "." + field.Name
		}
		if inner := zeroField(v.Field(i)); inner != "" {
			return inner
		}
	}
	return ""
}
