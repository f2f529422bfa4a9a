package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// Defaults of Config and bounds of the connections.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultProgressTimeout = 3 * time.Second // three times the interval of 1 s at which the store sends progress notices
	DefaultMaxConnections  = 8               // bounds the calls in flight; additional calls would only queue in the store

	dialTimeout = 1 * time.Second
	// idleTimeout is shorter than the usual idle timeout of servers, since a call on a connection
	// that the server is closing has an unclear outcome.
	idleTimeout       = 20 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	maxReplyBytes     = 64 << 20
	maxErrorBytes     = 64 << 10
)

// Config configures a Client.
type Config struct {
	Address         string        // numeric IP address and port
	Instance        string        // name of this instance, sent with every call
	CallTimeout     time.Duration // timeout of every call except Watch; default DefaultCallTimeout
	ProgressTimeout time.Duration // a watch fails after this time without a message; default DefaultProgressTimeout
	MaxConnections  int           // maximum number of connections for calls; default DefaultMaxConnections
}

// Client is a Store that uses the etcd v3 HTTP/JSON gateway.
type Client struct {
	cfg     Config
	calls   *http.Transport
	watches *http.Transport // separate, so that open watches use no connections of calls
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It opens no connection before the first call.
func NewClient(cfg Config) *Client {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.ProgressTimeout <= 0 {
		cfg.ProgressTimeout = DefaultProgressTimeout
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	return &Client{
		cfg:     cfg,
		calls:   newTransport(cfg.MaxConnections, cfg.MaxConnections),
		watches: newTransport(0, 1),
	}
}

func newTransport(maxConnections, maxIdle int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		Proxy:               nil, // the store is reached directly
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// call posts request and decodes the reply. Its error is classified and names the operation.
func (c *Client) call(ctx context.Context, operation, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	response, err := c.post(ctx, c.calls, path, request)
	if err != nil {
		return eris.Wrap(err, operation)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		c.closeIdleAfterTimeout(err)
		return eris.Wrap(fmt.Errorf("%w: read reply: %w", ErrUnclear, err), operation)
	}
	if len(body) > maxReplyBytes {
		return eris.Wrap(fmt.Errorf("%w: reply is longer than %d bytes", ErrUnclear, maxReplyBytes), operation)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return eris.Wrap(fmt.Errorf("%w: decode reply: %w", ErrUnclear, err), operation)
	}
	return nil
}

// post sends request and returns the reply if its status is 200; the caller must close its body.
// Otherwise post returns a classified error.
func (c *Client) post(ctx context.Context, transport *http.Transport, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", ErrRejected, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: build request: %w", ErrRejected, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(wire.HeaderInstance, c.cfg.Instance)
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		c.closeIdleAfterTimeout(err)
		return nil, classifyTransportError(err, connected.Load())
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, classifyReply(response)
	}
	return response, nil
}

// closeIdleAfterTimeout closes the idle connections if err is a timeout. If the network path to the
// store is broken, they are unusable too, and each would cause another call to time out.
func (c *Client) closeIdleAfterTimeout(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.Close()
	}
}
