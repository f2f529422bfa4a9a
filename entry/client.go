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

// ErrNotSent indicates that a call definitely did not reach the other instance.
var ErrNotSent = eris.New("call was not sent")

const (
	// maxMessageBytes fits a result of the maximum size together with its record.
	maxMessageBytes = 20 << 20
	// A connection that receives nothing for keepaliveTime is probed with a keepalive ping and
	// closed if there is no response within keepaliveTimeout. A connection with maxTimeouts
	// timed-out calls is replaced before that.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	dialTimeout      = time.Second
)

// Client calls the other entry instances. It is safe for concurrent use.
type Client struct {
	self    string
	counter *byteCounter

	mu    sync.Mutex
	conns map[string]*connection // by address
}

// connection is a gRPC connection with the number of calls that timed out on it since the last
// success.
type connection struct {
	grpcConn             *grpc.ClientConn
	mu                   sync.Mutex
	timeoutsSinceSuccess int
}

// maxTimeouts is the number of timeouts, without a success in between, after which a connection is
// replaced. A single timeout may be just a slow call.
const maxTimeouts = 2

// NewClient returns a client for calls by the instance self. Traffic with instances in other
// regions is counted separately.
func NewClient(self membership.Member) *Client {
	return &Client{self: self.Instance, counter: newByteCounter(self.Region), conns: map[string]*connection{}}
}

// Call sends a request to another instance. The error wraps ErrNotSent if the call definitely had
// no effect there.
func (c *Client) Call(ctx context.Context, to membership.Member, request control.PeerRequest) (control.PeerReply, error) {
	peerConn, err := c.connect(to)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", to.Address, err)
	}
	reply, err := c.invoke(ctx, entrypb.NewEntryClient(peerConn.grpcConn), request)
	c.recordResult(to.Address, peerConn, err)
	if err == nil {
		return reply, nil
	}
	if status.Code(err) == codes.Unavailable && isConnectError(err) {
		return nil, eris.Wrapf(ErrNotSent, "call %s: %v", to.Address, err)
	}
	return nil, eris.Wrapf(err, "call %s", to.Address)
}

// Timeline fetches timeline events of another instance, encoded as JSON.
func (c *Client) Timeline(ctx context.Context, to membership.Member, task, team string, since time.Time) ([]byte, error) {
	peerConn, err := c.connect(to)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", to.Address, err)
	}
	reply, err := entrypb.NewEntryClient(peerConn.grpcConn).Timeline(ctx, &entrypb.TimelineRequest{Task: task, Team: team, Since: encodeTime(since)})
	c.recordResult(to.Address, peerConn, err)
	if err != nil {
		return nil, eris.Wrapf(err, "fetch the timeline of %s", to.Address)
	}
	return reply.GetEvents(), nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, peerConn := range c.conns {
		_ = peerConn.grpcConn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) connect(to membership.Member) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peerConn, ok := c.conns[to.Address]; ok {
		return peerConn, nil
	}
	grpcConn, err := grpc.NewClient("passthrough:///"+to.Address,
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
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, err
	}
	peerConn := &connection{grpcConn: grpcConn}
	c.conns[to.Address] = peerConn
	return peerConn, nil
}

// recordResult records the result of a call, and drops the connection after maxTimeouts timeouts
// without a success in between: it may be dead although a new connection would work.
func (c *Client) recordResult(address string, peerConn *connection, err error) {
	code := status.Code(err)
	peerConn.mu.Lock()
	if code == codes.DeadlineExceeded {
		peerConn.timeoutsSinceSuccess++
	} else if err == nil {
		peerConn.timeoutsSinceSuccess = 0
	}
	replace := peerConn.timeoutsSinceSuccess >= maxTimeouts
	peerConn.mu.Unlock()
	if !replace {
		return
	}
	c.mu.Lock()
	if c.conns[address] == peerConn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = peerConn.grpcConn.Close()
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
		reply, err := client.Withdraw(ctx, &entrypb.WithdrawRequest{From: c.self, Attempts: encodeAttempts(r.Attempts), Reason: string(r.Reason), OnlyWaiting: r.OnlyQueued})
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
		c.counter.digestBytes.Add(int64(proto.Size(message) + proto.Size(reply)))
		return decodeDigest(reply), err
	case control.FetchConfigRequest:
		reply, err := client.FetchConfig(ctx, &entrypb.FetchConfigRequest{From: c.self, After: r.AfterRevision})
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
		return nil, status.Errorf(codes.Internal, "request type %T has no encoding", request)
	}
}
