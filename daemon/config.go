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
	Self            membership.Member // New sets the incarnation and the address
	CallerAddress   string
	OperatorAddress string
	EntryAddress    string // address on which the other entry instances are served

	Control    control.Config
	Components control.ComponentConfigs
	Caller     caller.Config
	Intake     IntakeConfig
	Operator   operator.Config
	Store      store.Config
	Worker     worker.Config

	InstanceListAddress    string
	InstanceListInterval   time.Duration // interval at which the instance list is polled
	InstanceListTimeout    time.Duration // timeout of one read of the instance list
	TickInterval           time.Duration // interval of the control loop's timer
	AnswerTimeout          time.Duration // default time from the submission to the deadline of work of kind answer
	DrainTimeout           time.Duration // maximum duration of a graceful shutdown
	ConnectionDrainTimeout time.Duration // maximum wait for callers to close their connections after the handover
	MemoryBytes            int64         // memory of the process; the program sets the limit of the Go runtime by it
	TimelineEvents         int           // maximum number of events that the timeline keeps
	// MaxDurablePayloadBytes bounds the payload of durable work. The payload is stored in the record of a
	// request shard, and the store limits the size of its values.
	MaxDurablePayloadBytes int64
	Registry               metrics.Registry // metrics registry; nil creates a new one
	Seed                   uint64           // seed of the random number generator; 0 derives one from the clock
}

// Defaults of Config.
const (
	DefaultListInterval  = time.Second
	DefaultTickInterval  = 50 * time.Millisecond
	DefaultAnswerTimeout = 10 * time.Second
	DefaultDrainTimeout  = 30 * time.Second
	// DefaultConnectionDrainTimeout is longer than the 5 s for which the project's client keeps an idle connection.
	DefaultConnectionDrainTimeout = 8 * time.Second
	DefaultTimelineEvents         = 65536
)
