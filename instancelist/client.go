package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Default of Config, and limits of the connection.
const (
	DefaultCallTimeout = 2 * time.Second

	dialTimeout = 1 * time.Second
	// idleTimeout is shorter than that of the server, so that the server does not
	// close a connection during a call.
	idleTimeout       = 20 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	maxConnections    = 2 // one for the call in flight, one for the next call after a timeout
	// maxReplyBytes allows about 4 KB for each of 16,000 instances, twice the
	// number that the system is designed for.
	maxReplyBytes = 64 << 20
	// headerInstance lets the simulated platform of package standin distinguish its
	// callers; the real platform ignores it.
	headerInstance = "X-Instance"
)

// Config holds the address of the platform's instance list and the call parameters.
type Config struct {
	Address     string        // numeric IP address and port
	Instance    string        // name of this instance
	CallTimeout time.Duration // default DefaultCallTimeout
}

// Client implements Lister over HTTP/JSON.
type Client struct {
	cfg       Config
	transport *http.Transport
}

var _ Lister = (*Client)(nil)

// NewClient returns a client. It opens no connection before the first call.
func NewClient(cfg Config) *Client {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &Client{cfg: cfg, transport: &http.Transport{
		Proxy:               nil, // the platform is reached without a proxy
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// List implements Lister. After a failure the idle connections are closed,
// because on an unresponsive connection each later call would time out.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	instances, err := c.list(ctx)
	if err != nil {
		c.Close()
		return nil, eris.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err), "list instances")
	}
	return instances, nil
}

func (c *Client) list(ctx context.Context) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+PathInstances, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerInstance, c.cfg.Instance)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("reply exceeds the limit of %d bytes", maxReplyBytes)
	}
	return decode(body)
}

// decode decodes a reply. It rejects a reply without a list or with invalid values:
// if an empty object were accepted, every instance would be treated as gone.
func decode(body []byte) ([]Instance, error) {
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, fmt.Errorf("decode reply: %w", err)
	}
	if reply.Instances == nil {
		return nil, fmt.Errorf("reply has no field %q", "instances")
	}
	for _, instance := range reply.Instances {
		if err := checkInstance(instance); err != nil {
			return nil, err
		}
	}
	return reply.Instances, nil
}

func checkInstance(instance Instance) error {
	switch {
	case instance.Name == "":
		return fmt.Errorf("instance with address %q has no name", instance.Address)
	case !slices.Contains([]Role{RoleEntry, RoleWorker}, instance.Role):
		return fmt.Errorf("instance %q has unknown role %q", instance.Name, instance.Role)
	case !slices.Contains([]State{StateLive, StateLeaving, StateGone}, instance.State):
		return fmt.Errorf("instance %q has unknown state %q", instance.Name, instance.State)
	}
	return nil
}
