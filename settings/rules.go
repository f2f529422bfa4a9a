package settings

import (
	"fmt"
	"time"
)

// rules checks the constraints between fields.
func (c checker) rules(s Settings) {
	c.leaseRules(s)
	c.workerRules(s)
	c.sizeRules(s)
	c.Require(s.DigestInterval <= s.DigestIntervalCrossRegion, "digest_interval_cross_region",
		fmt.Sprintf("%s is less than digest_interval", s.DigestIntervalCrossRegion),
		fmt.Sprintf("%s or more (digest_interval)", s.DigestInterval))
	c.Require(s.AllowanceInterval <= s.AllowanceIdle, "allowance_idle",
		fmt.Sprintf("%s is less than allowance_interval", s.AllowanceIdle),
		fmt.Sprintf("%s or more (allowance_interval)", s.AllowanceInterval))
	c.Require(s.ReadHeaderTimeout <= s.ReadTimeout, "read_timeout",
		fmt.Sprintf("%s is less than read_header_timeout", s.ReadTimeout),
		fmt.Sprintf("%s or more (read_header_timeout)", s.ReadHeaderTimeout))
}

// leaseRules ensures that one late keepalive does not end the lease term, and that
// the freshness of keys does not expire between two keepalives, which confirm it.
func (c checker) leaseRules(s Settings) {
	c.Require(s.KeepaliveInterval < s.StoreLeaseTTL/2, "keepalive_interval",
		fmt.Sprintf("%s does not allow a second keepalive within store_lease_ttl", s.KeepaliveInterval),
		fmt.Sprintf("less than %s (half of store_lease_ttl)", s.StoreLeaseTTL/2))
	c.Require(s.StoreCallTimeout <= s.KeepaliveInterval, "store_call_timeout",
		fmt.Sprintf("a keepalive of %s would overlap the next one", s.StoreCallTimeout),
		fmt.Sprintf("at most %s (keepalive_interval)", s.KeepaliveInterval))
	c.Require(s.KeepaliveInterval < s.KeyFreshness, "key_freshness",
		fmt.Sprintf("%s expires before the next keepalive confirms it", s.KeyFreshness),
		fmt.Sprintf("more than %s (keepalive_interval), at most 10s", s.KeepaliveInterval))
	c.Require(s.ClockMargin < s.PromiseWindow/2, "clock_margin",
		fmt.Sprintf("%s is at least half of promise_window", s.ClockMargin),
		fmt.Sprintf("less than %s (half of promise_window)", s.PromiseWindow/2))
}

// workerRules ensures that tasks survive a change of owner, and that workers do
// not reject starts because their last report is too old.
func (c checker) workerRules(s Settings) {
	takeover := s.StoreLeaseTTL + s.PromiseWindow + s.ClockMargin + time.Duration(s.ClockDrift*float64(s.StoreLeaseTTL+s.PromiseWindow))
	c.Require(s.TaskLease > takeover, "task_lease",
		fmt.Sprintf("%s expires before an ordinary takeover completes", s.TaskLease),
		fmt.Sprintf("more than %s (store_lease_ttl, promise_window and drift)", takeover))
	c.Require(s.StartValidity > s.WorkerSyncInterval, "start_validity",
		fmt.Sprintf("%s expires before the next sync", s.StartValidity),
		fmt.Sprintf("more than %s (worker_sync_interval)", s.WorkerSyncInterval))
	const minSyncsPerLease = 3
	c.Require(s.TaskLease >= minSyncsPerLease*s.WorkerSyncInterval, "worker_sync_interval",
		fmt.Sprintf("%s allows fewer than %d syncs in task_lease", s.WorkerSyncInterval, minSyncsPerLease),
		fmt.Sprintf("at most %s (a third of task_lease)", s.TaskLease/minSyncsPerLease))
}

// sizeRules ensures that an accepted value does not exceed a limit at a later stage.
func (c checker) sizeRules(s Settings) {
	c.Require(s.MaxDurableRequestBytes <= s.MaxRequestBytes, "max_durable_request_bytes",
		fmt.Sprintf("%d is more than max_request_bytes", s.MaxDurableRequestBytes),
		fmt.Sprintf("at most %d (max_request_bytes)", s.MaxRequestBytes))
	c.Require(s.MaxDurableRequestBytes <= s.MaxShardBytes/2, "max_durable_request_bytes",
		fmt.Sprintf("%d could fill a request shard", s.MaxDurableRequestBytes),
		fmt.Sprintf("at most %d (half of max_shard_bytes)", s.MaxShardBytes/2))
	// A body, the copies of its strings, which take up to four times its size, and its values, which take up
	// to 15 MB, fit beside connections that are being closed.
	const minRequests, valueBytes = 10, 32 << 20
	c.Require(s.ClientMemoryBytes >= valueBytes+minRequests*s.MaxRequestBytes, "client_memory_bytes",
		fmt.Sprintf("%d does not suffice for a body of max_request_bytes", s.ClientMemoryBytes),
		fmt.Sprintf("%d or more (%d and %d times max_request_bytes)", valueBytes+minRequests*s.MaxRequestBytes, valueBytes, minRequests))
	const minPayloads = 16 // a team may use half, a payload and its result twice the size of a body
	c.Require(s.WorkMemoryBytes >= minPayloads*s.MaxRequestBytes, "work_memory_bytes",
		fmt.Sprintf("%d does not suffice for work with a body of max_request_bytes", s.WorkMemoryBytes),
		fmt.Sprintf("%d or more (%d times max_request_bytes)", minPayloads*s.MaxRequestBytes, minPayloads))
	c.Require(s.MemoryBytes >= s.ClientMemoryBytes+2*s.WorkMemoryBytes, "memory_bytes",
		fmt.Sprintf("%d is less than client_memory_bytes and twice work_memory_bytes", s.MemoryBytes),
		fmt.Sprintf("%d or more", s.ClientMemoryBytes+2*s.WorkMemoryBytes))
	c.Require(s.MaxShardBytes <= s.LedgerTxnBytes, "ledger_txn_bytes",
		fmt.Sprintf("%d is less than max_shard_bytes, so a full shard could not be written", s.LedgerTxnBytes),
		fmt.Sprintf("%d or more (max_shard_bytes)", s.MaxShardBytes))
}
