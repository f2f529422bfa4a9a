package worker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// workerCall describes one HTTP request to a worker and how its reply is decoded.
type workerCall struct {
	operation string // for error messages
	method    string
	address   Address
	path      string
	timeout   time.Duration
	request   func() (Frame, error)   // encodes the request body; nil for no body
	reply     func(body []byte) error // decodes the reply body
	check     func() error            // called before each write; nil for no check
}

// exchange sends the request of one call and decodes the reply.
func (c *Client) exchange(ctx context.Context, transport *http.Transport, call workerCall) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	resp, err := c.send(ctx, transport, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := readLimited(resp, c.config.MaxReplyBytes)
	if err != nil {
		return WrapUnclear(call.operation, err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(call.operation, resp.StatusCode, body)
	}
	if err := call.reply(body); err != nil {
		return WrapUnclear(call.operation, err)
	}
	return nil
}

// jsonEncoder returns the encoder of a request without raw bytes after the JSON.
func jsonEncoder(request any) func() (Frame, error) {
	return func() (Frame, error) { return NewFrame(request, nil) }
}

// jsonDecoder returns the decoder of a reply without raw bytes after the JSON.
func jsonDecoder(reply any) func([]byte) error {
	return func(body []byte) error {
		_, err := ParseFrame(body, reply)
		return err
	}
}

// send writes the request and returns the response with its body unread.
func (c *Client) send(ctx context.Context, transport *http.Transport, call workerCall) (*http.Response, error) {
	var conn atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got := info.Conn.(*checkedConn)
		got.beginCall(call.check)
		conn.Store(got)
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, WrapNotRun(call.operation, err)
	}
	if call.check != nil {
		if err := call.check(); err != nil {
			return nil, WrapNotRun(call.operation, &checkError{err})
		}
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if usedConn := conn.Load(); usedConn != nil && usedConn.disableWrites() {
		return nil, WrapUnclear(call.operation, err)
	}
	return nil, WrapNotRun(call.operation, err)
}

// newRequest builds the request. GetBody is not set: without it, net/http cannot
// retry a request that has a body.
func newRequest(ctx context.Context, call workerCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+string(call.address)+call.path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if call.request == nil {
		return req, nil
	}
	frame, err := call.request()
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.ContentLength = frame.Len()
	req.Body = io.NopCloser(frame.Reader())
	return req, nil
}

// statusError classifies a reply with a status other than 200. Only an explicit
// rejection by the worker counts as ErrNotRun.
func statusError(operation string, status int, body []byte) error {
	var rejection Rejection
	err := json.Unmarshal(body, &rejection)
	if err == nil && rejection.Reason != "" && status >= 400 && status < 500 {
		return eris.Wrap(&rejection, operation)
	}
	return WrapUnclear(operation, eris.Errorf("status %d: %.200q", status, body))
}

// readLimited reads the whole body, or fails with ErrTooLarge beyond limit bytes.
func readLimited(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, eris.Wrapf(ErrTooLarge, "reply of %d bytes exceeds the limit of %d bytes", resp.ContentLength, limit)
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, eris.Wrap(err, "read reply")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	if int64(len(body)) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "reply exceeds the limit of %d bytes", limit)
	}
	return body, nil
}

// verifyStart checks that the reply belongs to the request and that a result
// that it contains is complete.
func verifyStart(req StartRequest, reply StartReply) error {
	if !reply.Started {
		return eris.Wrap(ErrIncomplete, "the reply neither confirms nor rejects the start")
	}
	if reply.Outcome == nil {
		return nil
	}
	if reply.Outcome.Attempt != req.Attempt {
		return eris.Wrapf(ErrIncomplete, "the reply is for attempt %s, expected %s", reply.Outcome.Attempt, req.Attempt)
	}
	if reply.ResultBytes > MaxInlineResultBytes {
		return nil
	}
	return verifyResult(*reply.Outcome, reply.ResultBytes)
}

func verifyResult(outcome task.Outcome, length int64) error {
	if int64(len(outcome.Result)) != length {
		return eris.Wrapf(ErrIncomplete, "result has %d bytes, expected %d", len(outcome.Result), length)
	}
	if got := Digest(outcome.Result); got != outcome.Digest {
		return eris.Wrapf(ErrIncomplete, "result has digest %s, expected %s", got, outcome.Digest)
	}
	return nil
}

// Digest returns the SHA-256 digest of b in hex, the encoding used for results.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
