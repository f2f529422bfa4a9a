package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// verifiedResponse is a complete response whose length and digest match its headers.
type verifiedResponse struct {
	header http.Header
	body   []byte
}

// Error is an error response from an entry instance. It unwraps to an
// *errkind.Error; Detail also holds the faults or the conflict of a document.
type Error struct {
	Detail api.Error
}

// Error returns the kind, the field and the message.
func (e *Error) Error() string { return e.kindError().Error() }

// Unwrap returns the error as an *errkind.Error.
func (e *Error) Unwrap() error { return e.kindError() }

func (e *Error) kindError() *errkind.Error {
	return &errkind.Error{
		Kind:         e.Detail.Kind,
		Message:      e.Detail.Message,
		Field:        e.Detail.Field,
		Limit:        e.Detail.Limit,
		RetryAfter:   time.Duration(e.Detail.RetryAfter),
		FateOverride: e.Detail.Fate,
	}
}

// sendOnce sends call to one address, without retries.
func (c *Client) sendOnce(ctx context.Context, address string, call apiCall) (verifiedResponse, error) {
	request, err := c.newRequest(ctx, address, call)
	if err != nil {
		return verifiedResponse{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return verifiedResponse{}, sendError(ctx, call, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readResponse(response)
	if err != nil {
		return verifiedResponse{}, responseError(call, err)
	}
	if response.Header.Get(api.HeaderError) != "" || response.StatusCode != http.StatusOK {
		return verifiedResponse{}, parseErrorResponse(call, response, body)
	}
	return verifiedResponse{header: response.Header, body: body}, nil
}

func (c *Client) newRequest(ctx context.Context, address string, call apiCall) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "cannot build the HTTP request: %v", err)
	}
	if c.cfg.Secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.cfg.Secret)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(api.HeaderTimeout, time.Until(deadline).String())
	}
	if len(call.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if len(call.body) >= minContinueBytes {
		request.Header.Set("Expect", "100-continue")
	}
	return request, nil
}

var (
	errTooLarge    = errors.New("the response exceeds the size limit of this client")
	errWrongDigest = errors.New("the response body does not match its Content-Digest header")
	errNoDigest    = errors.New("the response has no Content-Digest header")
	errNoLength    = errors.New("the response has no Content-Length header")
	errTruncated   = errors.New("the response body is shorter than its Content-Length header states")
)

// readResponse reads the whole body and checks its length and digest.
func (c *Client) readResponse(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 {
		return nil, errNoLength
	}
	if response.ContentLength > c.cfg.MaxResponseBytes {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) != response.ContentLength {
		return nil, errTruncated
	}
	return body, checkDigest(response.Header.Get(api.HeaderDigest), body)
}

func checkDigest(header string, body []byte) error {
	if header == "" {
		return errNoDigest
	}
	sum := sha256.Sum256(body)
	if header != "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":" {
		return errWrongDigest
	}
	return nil
}

// sendError returns the error of a call without a response, with the fate of the
// call. The fate is known only if no connection was established, or if the call is
// read-only.
func sendError(ctx context.Context, call apiCall, err error) error {
	var opErr *net.OpError
	notSent := errors.As(err, &opErr) && opErr.Op == "dial"
	switch {
	case notSent && ctx.Err() == nil:
		return errkind.New(errkind.Unreachable, "cannot connect to the entry instance: %v", err)
	case ctx.Err() != nil && (notSent || call.isReadOnly()):
		return errkind.New(errkind.DeadlineExceeded, "the deadline of the call has passed")
	case call.isReadOnly():
		return errkind.New(errkind.Unreachable, "no response from the entry instance: %v", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "the call was sent, but no response was received: %v", err)
}

// responseError returns the error of a call whose response is incomplete, with the
// fate of the call.
func responseError(call apiCall, err error) error {
	if call.isReadOnly() {
		return errkind.New(errkind.ResultIncomplete, "%v", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%v", err)
}

func (c apiCall) isReadOnly() bool { return c.method == http.MethodGet }

// parseErrorResponse decodes an error response. A response in another format comes
// from an intermediary, such as a proxy, and does not indicate whether the work ran.
func parseErrorResponse(call apiCall, response *http.Response, body []byte) error {
	var decoded api.ErrorReply
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error.Kind == "" {
		if call.isReadOnly() {
			return errkind.New(errkind.Unreachable, "the response with status %s is not from an entry instance", response.Status)
		}
		return errkind.New(errkind.OutcomeUnknown, "the response with status %s is not from an entry instance", response.Status)
	}
	return &Error{Detail: decoded.Error}
}

func decode[T any](response verifiedResponse, err error) (T, error) {
	var out T
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(response.body, &out); err != nil {
		return out, errkind.New(errkind.ResultIncomplete, "the response cannot be decoded: %v", err)
	}
	return out, nil
}
