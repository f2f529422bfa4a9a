package entry

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/entry/entrypb"
	"github.com/mulberrydrum/mulberrydrum/membership"
)

// ErrNotSent says that a call surely did not reach the other instance.
var ErrNotSent = eris.New("call was not sent")

const (
	// maxMessageBytes allows a result of the largest size with its record.
	maxMessageBytes = 20 << 20
	// A connection on which nothing arrives for pingAfter is probed, and closed
	// pingTimeout later. A silent connection is given up earlier by a call that
	// times out.
	pingAfter   = 10 * time.Second
	pingTimeout = 3 * time.Second
	dialTimeout = time.Second
)

// Client calls the other entry instances. It is safe for concurrent use.
type Client struct {
	self    string
	counter *byteCounter

	mu    sync.Mutex
	conns map[string]*connection // by address
}

// connection is one gRPC connection with the number of calls in a row that
// timed out on it.
type connection struct {
	conn     *grpc.ClientConn
	mu       sync.Mutex
	timeouts int
}

// maxTimeouts is after how many timeouts in a row a connection is replaced. One
// slow call is no proof; two without any success between them are acted on.
const maxTimeouts = 2

// NewClient returns a client for calls of the instance self. Bytes to and from
// instances of other regions are counted apart.
func NewClient(self membership.Member) *Client {
	return &Client{self: self.Instance, counter: newByteCounter(self.Region), conns: map[string]*connection{}}
}

// Call makes a call to another instance. The error wraps ErrNotSent if the call
// surely had no effect there.
func (c *Client) Call(ctx context.Context, to membership.Member, request control.PeerRequest) (control.PeerReply, error) {
	connected, err := c.connect(to)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", to.Address, err)
	}
	reply, err := c.invoke(ctx, entrypb.NewEntryClient(connected.conn), request)
	c.observe(to.Address, connected, err)
	if err == nil {
		return reply, nil
	}
	if status.Code(err) == codes.Unavailable && isConnectError(err) {
		return nil, eris.Wrapf(ErrNotSent, "call %s: %v", to.Address, err)
	}
	return nil, eris.Wrapf(err, "call %s", to.Address)
}

// Timeline fetches the events of another instance, in the JSON form.
func (c *Client) Timeline(ctx context.Context, to membership.Member, task, team string, since time.Time) ([]byte, error) {
	connected, err := c.connect(to)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", to.Address, err)
	}
	reply, err := entrypb.NewEntryClient(connected.conn).Timeline(ctx, &entrypb.TimelineRequest{Task: task, Team: team, Since: encodeTime(since)})
	c.observe(to.Address, connected, err)
	if err != nil {
		return nil, eris.Wrapf(err, "timeline of %s", to.Address)
	}
	return reply.GetEvents(), nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connected := range c.conns {
		_ = connected.conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) connect(to membership.Member) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connected, ok := c.conns[to.Address]; ok {
		return connected, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+to.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			dialer := net.Dialer{Timeout: dialTimeout}
			raw, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return c.counter.wrap(raw, to.Region), nil
		}),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, err
	}
	connected := &connection{conn: conn}
	c.conns[to.Address] = connected
	return connected, nil
}

// observe replaces a connection on which calls only time out: it may have gone
// silent while a new one would work.
func (c *Client) observe(address string, connected *connection, err error) {
	code := status.Code(err)
	connected.mu.Lock()
	if code == codes.DeadlineExceeded {
		connected.timeouts++
	} else if err == nil {
		connected.timeouts = 0
	}
	replace := connected.timeouts >= maxTimeouts
	connected.mu.Unlock()
	if !replace {
		return
	}
	c.mu.Lock()
	if c.conns[address] == connected {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = connected.conn.Close()
}

func (c *Client) invoke(ctx context.Context, client entrypb.EntryClient, request control.PeerRequest) (control.PeerReply, error) {
	switch r := request.(type) {
	case control.SubmitRequest:
		reply, err := client.Submit(ctx, &entrypb.SubmitRequest{From: c.self, Spec: encodeSpec(&r.Spec), Wait: durationpb.New(r.Wait)})
		return decodeJobReply(reply), err
	case control.QueryRequest:
		reply, err := client.Query(ctx, &entrypb.QueryRequest{From: c.self, Op: uint32(r.Op), Job: encodeJob(r.Job), Wait: durationpb.New(r.Wait)})
		return decodeJobReply(reply), err
	case control.PlaceRequest:
		reply, err := client.Place(ctx, encodePlace(c.self, r))
		return decodePlaceReply(reply), err
	case control.WithdrawRequest:
		reply, err := client.Withdraw(ctx, &entrypb.WithdrawRequest{From: c.self, Attempts: encodeAttempts(r.Attempts), Reason: string(r.Reason), OnlyWaiting: r.OnlyWaiting})
		return control.WithdrawReply{NotRun: decodeAttempts(reply.GetNotRun())}, err
	case control.LookupRequest:
		reply, err := client.Lookup(ctx, encodeLookup(c.self, r))
		return decodeLookupReply(reply), err
	case control.PermitRequest:
		reply, err := client.Permit(ctx, &entrypb.PermitRequest{From: c.self, Attempt: encodeAttempt(r.Attempt), Job: encodeJob(r.Job), Index: int32(r.Index), Worker: r.Worker, BootId: r.BootID})
		return control.PermitReply{Granted: reply.GetGranted()}, err
	case control.ReportRequest:
		reply, err := client.Report(ctx, encodeReport(c.self, r))
		return control.ReportReply{Recorded: reply.GetRecorded()}, err
	case control.PromiseRequest:
		reply, err := client.Promise(ctx, encodePromise(c.self, r))
		return control.PromiseReply{From: decodeSuccessor(reply.GetFrom()), Granted: reply.GetGranted()}, err
	case control.HandoverNotice:
		_, err := client.Handover(ctx, encodeHandover(c.self, r.Record))
		return control.HandoverReply{}, err
	case control.DigestMessage:
		message := encodeDigest(r)
		reply, err := client.Exchange(ctx, message)
		c.counter.digests.Add(int64(proto.Size(message) + proto.Size(reply)))
		return decodeDigest(reply), err
	case control.FetchConfigRequest:
		reply, err := client.FetchConfig(ctx, &entrypb.FetchConfigRequest{From: c.self, After: r.After})
		return decodeConfig(reply), err
	case control.OverviewRequest:
		reply, err := client.Overview(ctx, &entrypb.OverviewRequest{From: c.self})
		if err != nil {
			return nil, err
		}
		var overview control.Overview
		err = json.Unmarshal(reply.GetOverview(), &overview)
		return overview, err
	default:
		return nil, status.Errorf(codes.Internal, "no encoding for %T", request)
	}
}
