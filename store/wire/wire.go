// Package wire defines the messages of the published etcd v3 HTTP/JSON gateway that the store client
// uses. Keys and values are base64, and 64-bit integers are JSON strings. The stand-in for the store
// uses the same messages.
package wire

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathCompact   = "/v3/kv/compaction"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// HeaderInstance is the header with the name of the calling instance. The platform's store ignores
// it; the stand-in uses it to limit faults to an instance.
const HeaderInstance = "X-Instance"

// Header is part of every reply.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Value       []byte `json:"value,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to but not including RangeEnd, or Key alone if RangeEnd is
// empty.
type RangeRequest struct {
	Key        []byte `json:"key,omitempty"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int64  `json:"limit,omitempty,string"` // maximum number of keys in the reply; 0 for all
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
	KeysOnly   bool   `json:"keys_only,omitempty"`
}

// Values of a RangeRequest that reads the most recently changed key.
const (
	SortDescending = "DESCEND"
	SortByRevision = "MOD"
)

// RangeReply is the reply to a RangeRequest.
type RangeReply struct {
	Header *Header    `json:"header,omitempty"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Values of a Compare on the revision of the last change of a key, the only kind that the client uses.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare is a condition on a key.
type Compare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest sets a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// Operation is one step of a transaction; exactly one field is set.
type Operation struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success if all compares hold and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
	Failure []Operation `json:"failure,omitempty"`
}

// OperationReply is the reply to one Operation. Replies to puts and deletes are not used and stay
// empty.
type OperationReply struct {
	Range *RangeReply `json:"response_range,omitempty"`
}

// TxnReply is the reply to a TxnRequest.
type TxnReply struct {
	Header    *Header          `json:"header,omitempty"`
	Succeeded bool             `json:"succeeded,omitempty"`
	Responses []OperationReply `json:"responses,omitempty"`
}

// CompactRequest drops the history up to Revision.
type CompactRequest struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// LeaseRequest is the request to grant (TTL, in seconds), keep alive or revoke (ID) a lease.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseReply is the reply to grant and revoke, and the result of a keepalive. A TTL of 0 in the result
// of a keepalive means that the lease has expired or was revoked.
type LeaseReply struct {
	Header *Header `json:"header,omitempty"`
	ID     int64   `json:"ID,string,omitempty"`
	TTL    int64   `json:"TTL,string,omitempty"`
}

// LeaseMessage is one message of the keepalive stream.
type LeaseMessage struct {
	Result *LeaseReply  `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request,omitempty"`
}

// WatchCreate holds the range of keys to watch and the first revision.
type WatchCreate struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// EventDelete is the type of an Event that deletes a key; puts have no type.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchReply is one message of a watch. If it has no events and neither creates nor cancels the watch,
// it is a progress notice. The revision in the header is that of the store when the message was sent:
// it may be higher than that of the last event, and then later messages hold the events in between.
type WatchReply struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchMessage is one line of the watch stream.
type WatchMessage struct {
	Result *WatchReply  `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError ends a stream.
type StreamError struct {
	Code     int    `json:"code,omitempty"`
	GRPCCode int    `json:"grpc_code,omitempty"`
	Message  string `json:"message,omitempty"`
}

// ErrorReply is the body of a reply whose status is not 200.
type ErrorReply struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code,omitempty"` // gRPC status code
	Message string `json:"message,omitempty"`
}

// gRPC status codes that the client distinguishes.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Messages of the store's errors.
const (
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageCompacted     = "etcdserver: mvcc: required revision has been compacted"
	MessageTooLarge      = "etcdserver: request is too large"
	MessageDuplicateKey  = "etcdserver: duplicate key given in txn request"
	MessageEmptyKey      = "etcdserver: key is not provided"
	MessageNoLeader      = "etcdserver: no leader"
	MessageTooMany       = "etcdserver: too many requests"
	MessageNoSpace       = "etcdserver: mvcc: database space exceeded"
)

// PrefixEnd returns the end of the range that covers every key with the prefix: the prefix up to and
// including its last byte below 0xff, with that byte increased by one. For a prefix without such a
// byte it returns the single byte 0, which stands for the end of the key space.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// PrefixStart returns the key at which a range over the prefix starts. For the empty prefix it is the
// single byte 0, which sorts before every other key, since the gateway accepts no empty key.
func PrefixStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
