package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// outbox collects the effects of one Apply. State, home and owner share it.
type outbox struct {
	now      time.Time
	effects  []Effect
	recorder *timeline.Recorder
}

func (o *outbox) emit(e Effect) { o.effects = append(o.effects, e) }

func (o *outbox) recordEvent(e timeline.Event) { o.recorder.Record(o.now, e) }

func (o *outbox) reply(token uint64, r PeerReply) {
	if token != 0 {
		o.emit(Reply{Token: token, Reply: r})
	}
}
