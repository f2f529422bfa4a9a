package daemon

import (
	"context"

	"github.com/mulberrydrum/mulberrydrum/control"
)

// execute starts the execution of an effect, on a separate goroutine if it calls a peer. The control
// state bounds the number of these goroutines: it repeats an effect only after it has received the
// result.
func (d *engine) execute(effect control.Effect) {
	ctx := d.effectsCtx
	switch e := effect.(type) {
	case control.Resync:
		d.requestResync()
	case control.Drained:
		close(d.drained)
	case control.Send:
		go d.send(ctx, e)
	case control.StartTask:
		go d.startTask(ctx, e)
	case control.SyncWorker:
		go d.syncWorker(ctx, e)
	case control.LookupTask:
		go d.lookupTask(ctx, e)
	case control.FetchResult:
		go d.fetchResult(ctx, e)
	case control.StopTask:
		go d.stopTask(ctx, e)
	default:
		go d.callStore(ctx, effect)
	}
}

// callStore executes the effects that are calls to the store.
func (d *engine) callStore(ctx context.Context, effect control.Effect) {
	switch e := effect.(type) {
	case control.GrantLease:
		d.post(ctx, d.grantLease(ctx, e))
	case control.RenewLease:
		d.post(ctx, d.renewLease(ctx, e))
	case control.WriteMember:
		d.writeMember(ctx, e)
	case control.ReadShard:
		d.post(ctx, d.readShard(ctx, e))
	case control.CommitLedger:
		d.post(ctx, d.commitLedger(ctx, e))
	case control.WriteOwnership:
		d.post(ctx, d.writeOwnership(ctx, e))
	case control.WriteAllowances:
		d.post(ctx, d.writeAllowances(ctx, e))
	default:
		d.log.Error("unknown effect type", "type", effect)
	}
}

// post delivers an event to the control loop. The error is ignored: delivery fails only while the
// daemon is stopping.
func (d *engine) post(ctx context.Context, e control.Event) {
	_ = d.loop.Post(ctx, e)
}

// send sends a request to an instance and posts the reply to the control loop.
func (d *engine) send(ctx context.Context, e control.Send) {
	callCtx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	reply, err := d.callMember(callCtx, e)
	if _, isReport := e.Request.(control.ReportRequest); isReport && err != nil {
		d.meters.count(metricReportResent)
	}
	if fetched, ok := reply.(control.FetchConfigReply); ok && err == nil {
		d.post(ctx, toConfigChanged(fetched))
		return
	}
	d.post(ctx, control.PeerDone{Send: e, Reply: reply, Err: err})
}

// callMember calls another instance, or the local control loop if this instance is the receiver.
func (d *engine) callMember(ctx context.Context, e control.Send) (control.PeerReply, error) {
	if e.To.Incarnation == d.cfg.Self.Incarnation {
		return d.loop.Call(ctx, d.cfg.Self.Instance, e.Request)
	}
	return d.clients.Entries.Call(ctx, e.To, e.Request)
}
