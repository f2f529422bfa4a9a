package store

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var reply wire.LeaseReply
	request := wire.LeaseRequest{TTL: WholeSeconds(ttl)}
	if err := c.call(ctx, "grant lease", wire.PathGrant, request, &reply); err != nil {
		return 0, err
	}
	if reply.ID == 0 {
		return 0, eris.Wrap(fmt.Errorf("%w: reply has no lease ID", ErrUnclear), "grant lease")
	}
	return reply.ID, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var message wire.LeaseMessage
	operation := fmt.Sprintf("keep lease %d alive", lease)
	if err := c.call(ctx, operation, wire.PathKeepAlive, wire.LeaseRequest{ID: lease}, &message); err != nil {
		return 0, err
	}
	if message.Error != nil {
		return 0, eris.Wrap(streamError(message.Error), operation)
	}
	if message.Result == nil || message.Result.ID != lease {
		return 0, eris.Wrap(fmt.Errorf("%w: reply has no result for the lease", ErrUnclear), operation)
	}
	if message.Result.TTL <= 0 {
		return 0, eris.Wrap(ErrLeaseGone, operation)
	}
	return time.Duration(message.Result.TTL) * time.Second, nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	var reply wire.LeaseReply
	operation := fmt.Sprintf("revoke lease %d", lease)
	if err := c.call(ctx, operation, wire.PathRevoke, wire.LeaseRequest{ID: lease}, &reply); err != nil {
		return err
	}
	if reply.Header == nil {
		return missingHeaderError(operation)
	}
	return nil
}

// WholeSeconds rounds a time to live up to whole seconds, the unit of the store, and to at least one.
// A longer lease only delays a takeover, whereas a shorter one would expire while its holder still
// relies on it.
func WholeSeconds(ttl time.Duration) int64 {
	return max(1, int64((ttl+time.Second-1)/time.Second))
}

// streamError classifies the error that ends a stream. Newer gateways send the gRPC status in the
// field code, older ones in the field grpc_code, together with an HTTP status.
func streamError(e *wire.StreamError) error {
	code := cmp.Or(e.GRPCCode, e.Code)
	return fmt.Errorf("%w: stream ended: %s", classifyCode(code, e.Message), e.Message)
}
