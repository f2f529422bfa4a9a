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

// Config is what a daemon needs besides its peers' clients.
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
	ListTimeout    time.Duration // of one read of it
	Tick           time.Duration // of the control loop
	AnswerTimeout  time.Duration // deadline of an answer whose caller gives none
	DrainTimeout   time.Duration // longest planned stop
	Linger         time.Duration // longest service of open connections of callers after the handover
	TimelineEvents int           // events kept
	// MaxDurableBytes bounds the payload of work that is kept in the store, whose
	// values are bounded.
	MaxDurableBytes int64
	Registry        metrics.Registry // of metrics; nil for one of its own
	Seed            uint64           // of random choices; 0 for one from the clock
}

// Defaults of Config.
const (
	DefaultListInterval  = time.Second
	DefaultTick          = 50 * time.Millisecond
	DefaultAnswerTimeout = 10 * time.Second
	DefaultDrainTimeout  = 30 * time.Second
	// DefaultLinger is longer than the 5 s for which our client keeps an idle
	// connection.
	DefaultLinger         = 8 * time.Second
	DefaultTimelineEvents = 65536
)
