package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, deliver func(WatchBatch)) error {
	operation := fmt.Sprintf("watch %q from %d", prefix, from)
	if from < 1 {
		return eris.Wrap(fmt.Errorf("%w: the first revision is 1", ErrRejected), operation)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progressTimer := time.AfterFunc(c.cfg.ProgressTimeout, func() { cancel(ErrNoProgress) })
	defer progressTimer.Stop()
	err := c.watch(ctx, prefix, from, func(batches []WatchBatch) {
		progressTimer.Stop() // the time that deliver takes does not count towards the timeout
		for _, batch := range batches {
			deliver(batch)
		}
		progressTimer.Reset(c.cfg.ProgressTimeout)
	})
	if context.Cause(ctx) == ErrNoProgress {
		c.Close()
		return eris.Wrapf(ErrNoProgress, "%s: no message for %s", operation, c.cfg.ProgressTimeout)
	}
	return eris.Wrap(err, operation)
}

// watch opens one stream and passes its batches to deliverBatches until it fails.
func (c *Client) watch(ctx context.Context, prefix string, from int64, deliverBatches func([]WatchBatch)) error {
	request := wire.WatchRequest{Create: &wire.WatchCreate{
		Key:            wire.PrefixStart(prefix),
		RangeEnd:       wire.PrefixEnd(prefix),
		StartRevision:  from,
		ProgressNotify: true,
	}}
	response, err := c.post(ctx, c.watches, wire.PathWatch, request)
	if err != nil {
		return err
	}
	return readWatch(response, from, deliverBatches)
}

func readWatch(response *http.Response, from int64, deliverBatches func([]WatchBatch)) error {
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	order := revisionOrder{last: from - 1}
	for {
		var message wire.WatchMessage
		if err := decoder.Decode(&message); err != nil {
			return fmt.Errorf("%w: read watch: %w", ErrUnclear, err)
		}
		if message.Error != nil {
			return streamError(message.Error)
		}
		if message.Result == nil {
			return fmt.Errorf("%w: watch message has neither a result nor an error", ErrUnclear)
		}
		batches, err := order.batches(message.Result)
		if err != nil {
			return err
		}
		deliverBatches(batches)
	}
}

// revisionOrder checks that the revisions of a watch do not decrease. Every change up to the revision
// last was delivered.
type revisionOrder struct{ last int64 }

// batches divides a message into one batch for each revision. It takes the revision of a batch from
// its events, since the revision in the header of a message may be higher than that of events in later
// messages.
func (o *revisionOrder) batches(reply *wire.WatchReply) ([]WatchBatch, error) {
	switch {
	case reply.Canceled && reply.CompactRevision > 0:
		return nil, fmt.Errorf("%w: history starts after revision %d", ErrCompacted, reply.CompactRevision)
	case reply.Canceled:
		return nil, fmt.Errorf("%w: watch canceled: %s", ErrUnclear, reply.CancelReason)
	case reply.Created:
		return nil, nil
	case len(reply.Events) == 0:
		return o.progressNotice(reply)
	}
	var batches []WatchBatch
	for _, event := range reply.Events {
		revision := event.KV.ModRevision
		change := Change{KeyValue: fromWire(event.KV), Deleted: event.Type == wire.EventDelete}
		if n := len(batches); n > 0 && batches[n-1].Revision == revision {
			batches[n-1].Changes = append(batches[n-1].Changes, change)
			continue
		}
		if revision <= o.last {
			return nil, fmt.Errorf("%w: watch messages are out of order: revision %d is followed by %d", ErrUnclear, o.last, revision)
		}
		o.last = revision
		batches = append(batches, WatchBatch{Revision: revision, Changes: []Change{change}})
	}
	return batches, nil
}

func (o *revisionOrder) progressNotice(reply *wire.WatchReply) ([]WatchBatch, error) {
	if reply.Header == nil {
		return nil, fmt.Errorf("%w: progress notice has no header", ErrUnclear)
	}
	if reply.Header.Revision < o.last {
		return nil, fmt.Errorf("%w: watch messages are out of order: revision %d is followed by %d", ErrUnclear, o.last, reply.Header.Revision)
	}
	o.last = reply.Header.Revision
	return []WatchBatch{{Revision: o.last}}, nil
}
