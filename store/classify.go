package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/mulberrydrum/mulberrydrum/store/wire"
)

// classifyTransportError classifies the error of a call that received no reply. If no connection was
// obtained, nothing was sent and the call had no effect.
func classifyTransportError(err error, connected bool) error {
	if connected {
		return fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// classifyReply returns the error for a reply with a status other than 200.
func classifyReply(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return fmt.Errorf("%w: status %d, read reply: %w", ErrUnclear, response.StatusCode, err)
	}
	var reply wire.ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return fmt.Errorf("%w: status %d with a body that is not an error reply of the gateway", ErrUnclear, response.StatusCode)
	}
	text := reply.Message
	if text == "" {
		text = reply.Error
	}
	return fmt.Errorf("%w: status %d: %s", classifyCode(reply.Code, text), response.StatusCode, text)
}

// classifyCode maps a gRPC status of the store to an error of this package.
//
// The code alone does not show whether the call had an effect. The store also uses Unavailable for a
// proposal that timed out or lost its leader, which may still be applied, and the gateway also uses
// ResourceExhausted for a reply that exceeds its size limit. Only messages that the store sends
// without applying anything prove that the call had no effect.
func classifyCode(code int, message string) error {
	switch {
	case code == wire.CodeOutOfRange && message == wire.MessageCompacted:
		return ErrCompacted
	case code == wire.CodeNotFound && message == wire.MessageLeaseNotFound:
		return ErrLeaseGone
	case code == wire.CodeInvalidArgument:
		return ErrRejected
	case code == wire.CodeResourceExhausted && (message == wire.MessageTooMany || message == wire.MessageNoSpace):
		return ErrUnavailable
	case code == wire.CodeUnavailable && message == wire.MessageNoLeader:
		return ErrUnavailable
	default:
		return ErrUnclear
	}
}
