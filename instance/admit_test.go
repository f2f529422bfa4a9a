package instance

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

// admissionOwner answers admission queries as an owner.
type admissionOwner struct {
	entry.CellHandler
	reply   cell.Reply
	silent  bool // does not answer
	queries atomic.Int32
}

func (o *admissionOwner) HandleRequest(ctx context.Context, request any) (cell.Reply, error) {
	if _, ok := request.(cell.AdmissionQuery); !ok {
		return cell.Reply{Found: true}, nil
	}
	o.queries.Add(1)
	if o.silent {
		<-ctx.Done()
		return cell.Reply{}, ctx.Err()
	}
	return o.reply, nil
}

// TestAskOwner guards against a rejected job that is recorded all the same, against the rejection of a job
// that was accepted before, and against rejections without a current decision of the owner.
func TestAskOwner(t *testing.T) {
	const id = job.ID("00000000000000a0")
	reject := cell.Reply{Found: true, Admission: schedule.Admission{Rejected: true, Cause: "hopeless", RetryAfter: 7 * time.Second}}
	exhausted := cell.Reply{Found: true, Admission: schedule.Admission{Rejected: true, Cause: string(holding.CauseTotal), RetryAfter: 7 * time.Second}}
	none, enough := holding.Allowance{Limited: true}, holding.Allowance{Limited: true, Bytes: 1 << 20}
	excluded := holding.Allowance{Limited: true, Bytes: 1 << 20, Teams: []string{"t"}}
	for _, c := range []struct {
		name         string
		reply        cell.Reply
		silent, gone bool
		recorded     bool
		unrestricted bool
		viewAge      time.Duration
		inFlight     int32
		allowance    holding.Allowance
		wantRejected bool
		wantKind     errkind.Kind // QueueFull if empty
		wantQueries  int32
	}{
		{name: "rejected", reply: reject, wantRejected: true, wantQueries: 1},
		{name: "admitted", reply: cell.Reply{Found: true}, wantQueries: 1},
		{name: "recorded before", reply: reject, recorded: true, wantQueries: 1},
		{name: "other pair", reply: reject, unrestricted: true},
		{name: "outdated view", reply: reject, viewAge: maxViewAge + time.Second},
		{name: "no longer the owner", reply: cell.Reply{NotOwner: true}, wantQueries: 1},
		{name: "owner does not answer", reply: reject, silent: true, wantQueries: 1},
		{name: "owner is gone", reply: reject, gone: true},
		{name: "too many queries", reply: reject, inFlight: maxAdmissionQueries},
		{name: "no memory", reply: exhausted, unrestricted: true, allowance: none, wantRejected: true, wantKind: errkind.Overloaded, wantQueries: 1},
		{name: "no memory, recorded before", reply: exhausted, unrestricted: true, allowance: none, recorded: true, wantQueries: 1},
		{name: "admitted beyond the allowance", reply: cell.Reply{Found: true}, unrestricted: true, allowance: none, wantQueries: 1},
		{name: "within the allowance", reply: exhausted, unrestricted: true, allowance: enough},
		{name: "excluded team", reply: exhausted, unrestricted: true, allowance: excluded, wantRejected: true, wantKind: errkind.Overloaded, wantQueries: 1},
		{name: "excluded team, no answer", reply: exhausted, silent: true, unrestricted: true, allowance: excluded, wantQueries: 1},
		{name: "no allowance, no answer", reply: exhausted, silent: true, unrestricted: true, allowance: none, wantRejected: true, wantKind: errkind.Overloaded, wantQueries: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			memory := storetest.NewMemory(storetest.Config{}).Client("e1")
			i := newInstance(memory)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			i.ctx = ctx
			owner := &admissionOwner{reply: c.reply, silent: c.silent}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := entry.NewCellServer(owner)
			go func() { _ = server.Serve(listener) }() // returns nil after Stop
			defer server.Stop()
			if c.gone {
				server.Stop()
			}
			go func() { _ = i.loop.Run(ctx) }() // returns nil when ctx is done
			go func() { _ = i.recordSubmissions(ctx) }()
			i.loop.Post(ctx, cell.OwnerObserved{Found: true, Owner: cell.Owner{Instance: "e2", Address: listener.Addr().String()}, Revision: 1})
			i.loop.Post(ctx, cell.StoreSynced{At: clock.Now()})
			for s := i.loop.Snapshot(); !s.OwnerFound || s.SyncedAt.IsZero(); s = i.loop.Snapshot() {
				time.Sleep(time.Millisecond)
			}
			submitted := &job.Job{ID: id, Queue: "q", Team: "t", Spec: "s", Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
			if c.recorded {
				mustPut(t, memory, jobKey(id), submitted)
			}
			pair := schedule.Pair{Queue: "q", Team: "t"}
			if c.unrestricted {
				pair.Team = "u"
			}
			i.view.merge(&schedule.View{Epoch: 1, Restricted: []schedule.Pair{pair}}, time.Now().Add(-c.viewAge))
			i.admissionQueries.Store(c.inFlight)
			i.allowance.receive(c.allowance, 0, time.Now())

			err = i.Submit(ctx, submitted)
			var refusal *errkind.Error
			if rejected := errors.As(err, &refusal); rejected != c.wantRejected {
				t.Fatalf("got %v, want rejected %v", err, c.wantRejected)
			}
			wantKind, wantDelay := cmp.Or(c.wantKind, errkind.QueueFull), 7*time.Second
			if c.silent {
				wantDelay = retryAfterNoOwner
			}
			if c.wantRejected && (refusal.Kind != wantKind || refusal.RetryAfter != wantDelay) {
				t.Errorf("got %+v, want %s after %s", refusal, wantKind, wantDelay)
			}
			if _, found, _, err := memory.Get(ctx, jobKey(id)); err != nil || found == c.wantRejected {
				t.Errorf("recorded is %v (%v), want %v", found, err, !c.wantRejected)
			}
			if n := owner.queries.Load(); n != c.wantQueries {
				t.Errorf("the owner got %d queries, want %d", n, c.wantQueries)
			}
			if n := i.admissionQueries.Load(); n != c.inFlight {
				t.Errorf("%d queries are in flight afterwards, want %d", n, c.inFlight)
			}
			cause := cmp.Or(c.reply.Admission.Cause, "hopeless")
			if c.silent {
				cause = causeNoOwner
			}
			counter, _ := i.cfg.Metrics.Get("admission.rejected_count." + cause).(metrics.Counter)
			if counted := counter != nil && counter.Count() == 1; counted != c.wantRejected {
				t.Errorf("the rejection is counted: %v, want %v", counted, c.wantRejected)
			}
		})
	}
}
