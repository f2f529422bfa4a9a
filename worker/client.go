package worker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Defaults of Config.
const (
	DefaultConnections        = 16
	DefaultControlConnections = 2
	DefaultCallTimeout        = 2 * time.Second
	DefaultDialTimeout        = time.Second
	DefaultResultTimeout      = 30 * time.Second
	DefaultMaxResultBytes     = 16 << 20
	DefaultMaxReplyBytes      = 8 << 20
	// DefaultIdleTimeout is below the 5 s after which workers close idle
	// connections, so that a call rarely reuses a connection that is being closed.
	DefaultIdleTimeout = 4 * time.Second
)

// Config limits the resources of a Client. Zero fields take their default.
type Config struct {
	Connections        int // per worker, for starts and results
	ControlConnections int // per worker, for all other calls, so that starts that wait for an outcome do not block them
	CallTimeout        time.Duration
	DialTimeout        time.Duration
	ResultTimeout      time.Duration
	IdleTimeout        time.Duration
	MaxResultBytes     int64
	MaxReplyBytes      int64
	Registry           metrics.Registry // for the byte counters of each worker; nil disables them
}

func (c Config) withDefaults() Config {
	setDefault(&c.Connections, DefaultConnections)
	setDefault(&c.ControlConnections, DefaultControlConnections)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.ResultTimeout, DefaultResultTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.MaxResultBytes, DefaultMaxResultBytes)
	setDefault(&c.MaxReplyBytes, DefaultMaxReplyBytes)
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Client implements API over HTTP/1.1. It is safe for concurrent use. It never
// retries a call that has side effects; net/http may retry a lookup or the fetch
// of a result on a new connection.
type Client struct {
	config           Config
	taskTransport    *http.Transport
	controlTransport *http.Transport
}

var _ API = (*Client)(nil)

// NewClient returns a Client with the limits of config.
func NewClient(config Config) *Client {
	c := &Client{config: config.withDefaults()}
	c.taskTransport = c.newTransport(c.config.Connections)
	c.controlTransport = c.newTransport(c.config.ControlConnections)
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.taskTransport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
}

func (c *Client) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     c.config.IdleTimeout,
		DisableCompression:  true,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.config.DialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, counters: countersFor(c.config.Registry, Address(address))}, nil
}

// Sync implements API.
func (c *Client) Sync(ctx context.Context, address Address, req SyncRequest) (SyncReply, error) {
	var reply SyncReply
	err := c.exchange(ctx, c.controlTransport, workerCall{
		operation: "sync " + string(address), method: http.MethodPost, address: address, path: "/v1/sync",
		timeout: c.config.CallTimeout, request: jsonEncoder(req), reply: jsonDecoder(&reply),
	})
	return reply, err
}

// Start implements API.
func (c *Client) Start(ctx context.Context, address Address, req StartRequest, check func() error) (StartReply, error) {
	operation := fmt.Sprintf("start %s on %s", req.Attempt, address)
	var reply StartReply
	err := c.exchange(ctx, c.taskTransport, workerCall{
		operation: operation, method: http.MethodPost, address: address, path: "/v1/tasks",
		timeout: c.config.CallTimeout + req.OutcomeWait, check: check,
		request: func() (Frame, error) { return EncodeStart(req) },
		reply: func(body []byte) (err error) {
			reply, err = DecodeStartReply(body)
			return err
		},
	})
	if err != nil {
		return StartReply{}, err
	}
	if err := verifyStart(req, reply); err != nil {
		return StartReply{}, WrapUnclear(operation, err)
	}
	return reply, nil
}

// Lookup implements API.
func (c *Client) Lookup(ctx context.Context, address Address, attempt task.Attempt) (LookupReply, error) {
	return c.callAttempt(ctx, http.MethodGet, address, attempt, "", nil)
}

// Stop implements API.
func (c *Client) Stop(ctx context.Context, address Address, req StopRequest) (LookupReply, error) {
	return c.callAttempt(ctx, http.MethodPost, address, req.Attempt, "/stop", jsonEncoder(req))
}

// Checkpoint implements API.
func (c *Client) Checkpoint(ctx context.Context, address Address, req CheckpointRequest) (LookupReply, error) {
	return c.callAttempt(ctx, http.MethodPost, address, req.Attempt, "/checkpoint", jsonEncoder(req))
}

// Throttle implements API.
func (c *Client) Throttle(ctx context.Context, address Address, req ThrottleRequest) (LookupReply, error) {
	return c.callAttempt(ctx, http.MethodPost, address, req.Attempt, "/throttle", jsonEncoder(req))
}

// callAttempt sends a request to the given subpath of an attempt.
func (c *Client) callAttempt(ctx context.Context, method string, address Address, attempt task.Attempt, subpath string, request func() (Frame, error)) (LookupReply, error) {
	var reply LookupReply
	operation := fmt.Sprintf("%s %s%s on %s", method, attempt, subpath, address)
	err := c.exchange(ctx, c.controlTransport, workerCall{
		operation: operation, method: method, address: address, path: attemptPath(attempt) + subpath,
		timeout: c.config.CallTimeout, request: request, reply: jsonDecoder(&reply),
	})
	if err != nil {
		return LookupReply{}, err
	}
	if reply.Found && reply.Report.Attempt != attempt {
		return LookupReply{}, WrapUnclear(operation, eris.Wrapf(ErrIncomplete, "the reply is for attempt %s, expected %s", reply.Report.Attempt, attempt))
	}
	return reply, nil
}

func attemptPath(attempt task.Attempt) string {
	return "/v1/tasks/" + url.PathEscape(string(attempt.Task)) + "/" + strconv.FormatUint(uint64(attempt.Number), 10)
}
