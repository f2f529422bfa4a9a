package daemon

import (
	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/httpjson"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/settings"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// FromSettings returns the configuration that settings describe.
func FromSettings(s settings.Settings) Config {
	cfg := Config{
		Self:          membership.Member{Instance: s.Instance, Region: s.Region, FailureDomain: s.FailureDomain},
		CallerAddress: s.CallerAddress, OperatorAddress: s.OperatorAddress, EntryAddress: s.EntryAddress,
		Control:             controlConfig(s),
		Caller:              callerConfig(s),
		Intake:              IntakeConfig{Memory: s.ClientMemoryBytes, Connections: s.ClientConnections},
		Operator:            operatorConfig(s),
		Store:               store.Config{Address: s.StoreEndpoints[0], Instance: s.Instance, CallTimeout: s.StoreCallTimeout, ProgressTimeout: s.StreamProgress},
		Worker:              worker.Config{CallTimeout: s.WorkerCallTimeout, MaxResultBytes: s.MaxResultBytes, Connections: s.WorkerConnections},
		InstanceListAddress: s.InstanceListEndpoint, InstanceListInterval: s.ListInterval, InstanceListTimeout: s.ListTimeout,
		TickInterval: DefaultTickInterval, AnswerTimeout: s.CallTimeout, DrainTimeout: s.DrainTimeout, ConnectionDrainTimeout: DefaultConnectionDrainTimeout,
		MemoryBytes: s.MemoryBytes, TimelineEvents: s.TimelineEvents, MaxDurablePayloadBytes: s.MaxDurableRequestBytes,
	}
	cfg.Components = componentConfigs(s, cfg.Control)
	return cfg
}

func controlConfig(s settings.Settings) control.Config {
	cfg := control.DefaultConfig(s.Regions...)
	cfg.RequestShards, cfg.PartitionsPerRegion = s.RequestShards, s.WorkerPartitions
	cfg.TaskLease, cfg.StartValidity, cfg.SyncInterval = s.TaskLease, s.StartValidity, s.WorkerSyncInterval
	cfg.ClockDrift, cfg.ClockMargin = s.ClockDrift, s.ClockMargin
	cfg.CallTimeout = s.EntryCallTimeout
	cfg.KeepAliveInterval, cfg.StoreLeaseTTL, cfg.KeyFreshness = s.KeepaliveInterval, s.StoreLeaseTTL, s.KeyFreshness
	cfg.DigestInterval, cfg.CrossRegionDigestInterval = s.DigestInterval, s.DigestIntervalCrossRegion
	cfg.DigestLifetime = 3 * s.DigestIntervalCrossRegion
	cfg.MaxDrainWait = s.DrainTimeout * 2 / 3
	return cfg
}

func componentConfigs(s settings.Settings, cfg control.Config) control.ComponentConfigs {
	components := control.DefaultComponentConfigs(cfg)
	components.Ownership.LeaseTTL, components.Ownership.KeepAliveInterval, components.Ownership.PromiseWindow = s.StoreLeaseTTL, s.KeepaliveInterval, s.PromiseWindow
	components.Ownership.ClockDrift, components.Ownership.ClockMargin, components.Ownership.ListLag = s.ClockDrift, s.ClockMargin, s.ListLag
	components.Keyring.Freshness, components.Keyring.ListLag = s.KeyFreshness, s.ListLag
	components.Keyring.ClockDrift, components.Keyring.ClockMargin = s.ClockDrift, s.ClockMargin
	components.Allowance.IdleTimeout, components.Allowance.MinWriteInterval = s.AllowanceIdle, s.AllowanceInterval
	components.Ledger.FlushInterval, components.Ledger.MaxTxnBytes, components.Ledger.MaxShardBytes = s.LedgerFlushInterval, int(s.LedgerTxnBytes), int(s.MaxShardBytes)
	components.Ledger.ResultRetention = s.ResultRetention
	components.Ledger.MemoryOnlyBytes, components.PlacementMemory = s.WorkMemoryBytes, s.WorkMemoryBytes
	components.Queue.MaxEntriesPerTeam = s.QueueLimitPerTeam
	components.Fairshare.HalfLife = s.FairShareHalfLife
	components.Quarantine.MaxFraction = s.QuarantineShare
	return components
}

func callerConfig(s settings.Settings) caller.Config {
	return caller.Config{Limits: limits(s), MaxResultBytes: s.MaxResultBytes, MaxWait: s.MaxWait, CallTimeout: s.CallTimeout}
}

func operatorConfig(s settings.Settings) operator.Config {
	cfg := operator.Config{Limits: limits(s), MaxWait: s.MaxWait, CallTimeout: s.CallTimeout, Regions: s.Regions, Pprof: s.Pprof}
	for _, key := range s.OperatorKeys {
		cfg.Keys = append(cfg.Keys, operator.Key(key))
	}
	return cfg
}

func limits(s settings.Settings) httpjson.Limits {
	return httpjson.Limits{
		MaxRequestBytes: s.MaxRequestBytes, MaxHeaderBytes: s.MaxHeaderBytes, ReadHeaderTimeout: s.ReadHeaderTimeout,
		ReadTimeout: s.ReadTimeout, WriteTimeout: s.WriteTimeout, IdleTimeout: s.IdleTimeout,
	}
}
