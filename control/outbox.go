package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// outbox collects what one Apply leads to. The parts of the state share it.
type outbox struct {
	now     time.Time
	effects []Effect
	record  *timeline.Recorder
}

func (o *outbox) emit(e Effect) { o.effects = append(o.effects, e) }

func (o *outbox) event(e timeline.Event) { o.record.Record(o.now, e) }

func (o *outbox) reply(token uint64, r PeerReply) {
	if token != 0 {
		o.emit(Reply{Token: token, Reply: r})
	}
}
