package daemon

import (
	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/intake"
	"github.com/mulberrydrum/mulberrydrum/listen"
)

// IntakeConfig limits what callers may use. Zero values stand for the defaults.
type IntakeConfig struct {
	Memory      int64 // bytes, for connections and requests
	Connections int
}

// Defaults of IntakeConfig, which the defaults of the settings repeat.
const (
	DefaultClientMemory      = 64 << 20
	DefaultClientConnections = 1024
)

const (
	// Operators and readiness checks have a share of their own, so that callers cannot displace them. It
	// suffices for a document of the largest size with the most values.
	operatorRequests       = 10       // times the largest body
	operatorValueBytes     = 32 << 20 // twice what the most values of a body take
	operatorFraction       = 16       // of the connections of callers
	minOperatorConnections = 16
)

// gate limits the connections of the listeners for callers and operators.
func (d *Daemon) gate(cfg Config, logger *log.Logger) {
	if cfg.Intake.Memory == 0 {
		cfg.Intake.Memory = DefaultClientMemory
	}
	if cfg.Intake.Connections == 0 {
		cfg.Intake.Connections = DefaultClientConnections
	}
	newGate := func(name string, memory int64, connections int, bounds func() listen.Bounds) *listen.Gate {
		budget := intake.NewBudget(intake.Limits{Memory: memory, Connections: connections, ConnectionBytes: listen.ConnectionBytes})
		report := listen.NewReport(name, budget, d.registry, func(event string, fields ...any) { logger.Warn(event, fields...) })
		return &listen.Gate{Budget: budget, Bounds: bounds, Report: report}
	}
	boundsOf := func(l httpjson.Limits) func() listen.Bounds {
		b := listen.Bounds{HeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.ReadHeaderTimeout, IdleTimeout: l.IdleTimeout}.OrDefault()
		return func() listen.Bounds { return b }
	}
	operatorConnections := max(minOperatorConnections, cfg.Intake.Connections/operatorFraction)
	operatorMemory := operatorValueBytes + operatorRequests*cfg.Operator.Limits.MaxRequestBytes + int64(operatorConnections)*listen.ConnectionBytes
	d.listeners.caller = newGate("client", cfg.Intake.Memory, cfg.Intake.Connections, boundsOf(cfg.Caller.Limits)).Listen(d.listeners.caller)
	d.listeners.operator = newGate("operator", operatorMemory, operatorConnections, boundsOf(cfg.Operator.Limits)).Listen(d.listeners.operator)
}
