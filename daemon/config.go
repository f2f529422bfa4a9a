package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// Config configures a Daemon.
type Config struct {
	Self            membership.Member // the incarnation is set at the start
	CallerAddress   string
	OperatorAddress string
	EntryAddress    string // on which the other instances call

	Control  control.Config
	Parts    control.Parts
	Caller   caller.Config
	Operator operator.Config
	Store    store.Config
	Worker   worker.Config

	ListAddress    string
	ListInterval   time.Duration // between two reads of the instance list
	ListTimeout    time.Duration // of one read of the instance list
	Tick           time.Duration // of the control loop
	AnswerTimeout  time.Duration // default deadline of a request for an answer
	DrainTimeout   time.Duration // limit on the duration of a graceful shutdown
	Linger         time.Duration // limit on serving open connections of callers after the handover
	TimelineEvents int           // capacity of the timeline
	// MaxDurableBytes bounds the payload of durable work. The payload is kept in the store, which
	// limits the size of its values.
	MaxDurableBytes int64
	Registry        metrics.Registry // of metrics; nil creates a new one
	Seed            uint64           // of random choices; 0 derives one from the clock
}

// Defaults of Config.
const (
	DefaultListInterval  = time.Second
	DefaultTick          = 50 * time.Millisecond
	DefaultAnswerTimeout = 10 * time.Second
	DefaultDrainTimeout  = 30 * time.Second
	// DefaultLinger is longer than the 5 s for which the project's client keeps an idle connection.
	DefaultLinger         = 8 * time.Second
	DefaultTimelineEvents = 65536
)
