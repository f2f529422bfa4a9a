package settings

import "time"

// Settings are the settings of one entry instance. The struct tags hold the description,
// default and bounds of each field; a field without a default must be set.
type Settings struct {
	Instance             string        `json:"instance" doc:"name of this instance, as in the instance list"`
	Region               string        `json:"region" doc:"region of this instance, one of regions"`
	FailureDomain        string        `json:"failure_domain" doc:"failure domain of this instance"`
	Regions              []string      `json:"regions" doc:"every region of the deployment; the same on all instances"`
	CallerAddress        string        `json:"caller_address" doc:"IP:PORT on which this instance serves callers"`
	OperatorAddress      string        `json:"operator_address" doc:"IP:PORT on which this instance serves operators"`
	EntryAddress         string        `json:"entry_address" doc:"IP:PORT at which the other entry instances reach this one"`
	StoreEndpoints       []string      `json:"store_endpoints" doc:"IP:PORT of each endpoint of the platform's store"`
	InstanceListEndpoint string        `json:"instance_list_endpoint" doc:"IP:PORT of the platform's instance list"`
	OperatorKeys         []OperatorKey `json:"operator_keys" default:"[]" doc:"operators, each with name and digest; may be empty where operator_address is a loopback address"`
	LogLevel             string        `json:"log_level" default:"info" doc:"debug, info, warn or error"`
	Pprof                bool          `json:"pprof" default:"false" doc:"serve /debug/pprof/ on operator_address"`

	StoreLeaseTTL             time.Duration `json:"store_lease_ttl" default:"9s" min:"1s" max:"5m" doc:"TTL of the store lease to which the member key is attached"`
	KeepaliveInterval         time.Duration `json:"keepalive_interval" default:"3s" min:"100ms" max:"1m" doc:"interval between keepalives of the store lease; less than half of store_lease_ttl"`
	StoreCallTimeout          time.Duration `json:"store_call_timeout" default:"2s" min:"50ms" max:"1m" doc:"timeout of one call to the store, except a watch"`
	StreamProgress            time.Duration `json:"stream_progress" default:"3s" min:"1s" max:"30s" doc:"a watch of the store that delivers nothing for this time is replaced; the store sends a notice every second"`
	PromiseWindow             time.Duration `json:"promise_window" default:"5s" min:"500ms" max:"1m" doc:"time for which a successor promises not to take over"`
	ClockDrift                float64       `json:"clock_drift" default:"0.01" min:"0" max:"0.1" doc:"fraction by which the rates of two monotonic clocks may differ"`
	ClockMargin               time.Duration `json:"clock_margin" default:"100ms" min:"0s" max:"5s" doc:"subtracted from every term, in addition to clock_drift"`
	ListInterval              time.Duration `json:"list_interval" default:"1s" min:"100ms" max:"1m" doc:"interval between reads of the instance list"`
	ListTimeout               time.Duration `json:"list_timeout" default:"2s" min:"50ms" max:"1m" doc:"timeout of one read of the instance list"`
	ListLag                   time.Duration `json:"list_lag" default:"10s" min:"0s" max:"5m" doc:"maximum lag of the instance list"`
	KeyFreshness              time.Duration `json:"key_freshness" default:"5s" min:"500ms" max:"10s" doc:"a withdrawn key is refused everywhere after this time"`
	DigestInterval            time.Duration `json:"digest_interval" default:"1s" min:"100ms" max:"1m" doc:"interval between state digests to an entry instance of the same region"`
	DigestIntervalCrossRegion time.Duration `json:"digest_interval_cross_region" default:"5s" min:"100ms" max:"5m" doc:"interval between state digests to an entry instance of another region"`
	EntryCallTimeout          time.Duration `json:"entry_call_timeout" default:"2s" min:"50ms" max:"1m" doc:"timeout of one call to another entry instance, except calls that wait for work"`

	WorkerPartitions   int           `json:"worker_partitions_per_region" default:"4" min:"1" max:"1024" doc:"worker partitions of each region; the same on all instances"`
	RequestShards      int           `json:"request_shards" default:"64" min:"1" max:"4096" doc:"request shards of the deployment; the same on all instances"`
	TaskLease          time.Duration `json:"task_lease" default:"30s" min:"2s" max:"10m" doc:"lease of a running task; outlasts an ordinary takeover"`
	StartValidity      time.Duration `json:"start_validity" default:"3s" min:"200ms" max:"1m" doc:"time after a worker's last report in which it accepts a start"`
	WorkerSyncInterval time.Duration `json:"worker_sync_interval" default:"1s" min:"50ms" max:"1m" doc:"interval between syncs with a worker"`
	WorkerCallTimeout  time.Duration `json:"worker_call_timeout" default:"2s" min:"50ms" max:"1m" doc:"timeout of one call to a worker, in addition to the wait for short work"`
	WorkerConnections  int           `json:"worker_connections" default:"16" min:"1" max:"64" doc:"connections to one worker for starts and results; each start of short work holds one until its result"`
	FairShareHalfLife  time.Duration `json:"fair_share_half_life" default:"10m" min:"1s" max:"720h" doc:"half-life of the usage that counts for fair sharing"`
	QuarantineShare    float64       `json:"quarantine_share" default:"0.1" min:"0" max:"0.5" doc:"maximum fraction of the workers of a partition in quarantine"`
	QueueLimitPerTeam  int           `json:"queue_limit_per_team" default:"1000" min:"1" max:"100000" doc:"maximum number of waiting tasks of one team at one owner"`
	AllowanceInterval  time.Duration `json:"allowance_interval" default:"250ms" min:"50ms" max:"1m" doc:"minimum interval between allowance transactions of an owner"`
	AllowanceIdle      time.Duration `json:"allowance_idle" default:"30s" min:"100ms" max:"10m" doc:"allowance that is unused for this time is returned"`

	LedgerFlushInterval time.Duration `json:"ledger_flush_interval" default:"20ms" min:"1ms" max:"5s" doc:"minimum interval between group commits of the process"`
	LedgerTxnBytes      int64         `json:"ledger_txn_bytes" default:"786432" min:"65536" max:"1000000" doc:"maximum size of the values of one group commit, in bytes; below the maximum call size of the store"`
	MaxShardBytes       int64         `json:"max_shard_bytes" default:"524288" min:"65536" max:"1000000" doc:"maximum size of the value of one request shard, in bytes"`
	ResultRetention     time.Duration `json:"result_retention" default:"10m" min:"1s" max:"24h" doc:"time for which a finished request can be found by its key"`
	TimelineEvents      int           `json:"timeline_events" default:"65536" min:"1024" max:"1048576" doc:"number of timeline events kept in memory"`
	DrainTimeout        time.Duration `json:"drain_timeout" default:"30s" min:"1s" max:"10m" doc:"a planned stop ends after this time at the latest"`

	MaxRequestBytes        int64         `json:"max_request_bytes" default:"1048576" min:"1024" max:"16777216" doc:"maximum size of the body of a submission, in bytes"`
	MaxDurableRequestBytes int64         `json:"max_durable_request_bytes" default:"65536" min:"1024" max:"262144" doc:"maximum payload of work that is kept in the store, in bytes"`
	MaxResultBytes         int64         `json:"max_result_bytes" default:"16777216" min:"1024" max:"16777216" doc:"maximum result of one task, in bytes; it is sent between entry instances in one message"`
	MaxHeaderBytes         int           `json:"max_header_bytes" default:"16384" min:"4096" max:"1048576" doc:"maximum size of the request line and headers of a call, in bytes"`
	MaxWait                time.Duration `json:"max_wait" default:"5m" min:"1s" max:"1h" doc:"longest wait that a caller may request"`
	CallTimeout            time.Duration `json:"call_timeout" default:"10s" min:"100ms" max:"1m" doc:"timeout of a call of a caller, in addition to its wait"`
	ReadHeaderTimeout      time.Duration `json:"read_header_timeout" default:"5s" min:"100ms" max:"1m" doc:"time within which a caller must send its headers"`
	ReadTimeout            time.Duration `json:"read_timeout" default:"10s" min:"100ms" max:"5m" doc:"time within which a caller must send headers and body"`
	WriteTimeout           time.Duration `json:"write_timeout" default:"10s" min:"100ms" max:"5m" doc:"time within which a caller must receive its response"`
	IdleTimeout            time.Duration `json:"idle_timeout" default:"1m" min:"1s" max:"10m" doc:"a connection of a caller is closed when idle for this time"`
	ClientMemoryBytes      int64         `json:"client_memory_bytes" default:"67108864" min:"33554432" max:"17179869184" doc:"memory for connections and requests of callers, in bytes; at least 32 MB and 10 times max_request_bytes; calls beyond it are refused"`
	WorkMemoryBytes        int64         `json:"work_memory_bytes" default:"33554432" min:"1048576" max:"17179869184" doc:"memory for short work of callers and its results, in bytes, and as much again for work that is placed on this instance; at least 16 times max_request_bytes; work beyond it is refused, and results of short work are kept for less than result_retention"`
	MemoryBytes            int64         `json:"memory_bytes" default:"268435456" min:"67108864" max:"1099511627776" doc:"memory of the process, in bytes; from three quarters of it on, memory is reclaimed more often"`
	ClientConnections      int           `json:"client_connections" default:"1024" min:"16" max:"100000" doc:"maximum number of open connections of callers; idle ones are closed first, and operators have another sixteenth"`
}

// OperatorKey authenticates one operator. The settings hold only the digest of the
// secret, so that read access to the settings does not grant operator access.
type OperatorKey struct {
	Name   string `json:"name"`   // recorded with each change
	Digest string `json:"digest"` // SHA-256 of the secret, in hex
}
