package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/intake"
)

const (
	// A client has to send at least minBodyProgress of a body within the time limit for headers. At the
	// default of 3 s that is a hundredth of the rate of a modem.
	minBodyProgress = 4 << 10
	// firstBodyBuffer is the size of the first buffer for a body of unknown length, which is doubled.
	firstBodyBuffer = 4 << 10
	// A body that was not read is discarded within discardTime, so that the client receives the
	// response instead of a reset, and the connection is kept if the body has at most discardBytes.
	discardTime  = 200 * time.Millisecond
	discardBytes = 4 << 10
)

// ErrOverloaded means that a request was not read or not handled, because the budget of its server is
// exhausted.
var ErrOverloaded = errors.New("the memory for requests of clients is exhausted")

// ReadBody reads the body of a request of at most limit bytes. It charges the body, the receive buffer of
// the connection and, once the body is read, decodeFactor bytes for each of its bytes. Its error is
// ErrOverloaded, an *http.MaxBytesError, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, decodeFactor int64) ([]byte, error) {
	c := connOf(r.Context())
	if c == nil {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body, err := c.readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	return body, c.charge(decodeFactor * int64(len(body)))
}

// Charge charges bytes that the request of a context is about to use. Its error is ErrOverloaded.
func Charge(ctx context.Context, bytes int64) error {
	if c := connOf(ctx); c != nil {
		return c.charge(bytes)
	}
	return nil
}

// Keep returns what the request of a context was charged, except the given number of bytes.
func Keep(ctx context.Context, bytes int64) {
	if c := connOf(ctx); c != nil {
		c.held.Keep(bytes)
	}
}

// Finish prepares the response to a request whose body may not have been read. The HTTP library would
// wait for the rest of it.
func Finish(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil || r.ContentLength == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyRead {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > discardBytes {
		w.Header().Set("Connection", "close")
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTime)) // fails only on a closed connection
}

func (c *conn) charge(bytes int64) error {
	verdict := c.held.Charge(time.Now(), bytes)
	c.gate.apply(verdict)
	if verdict.Admitted {
		return nil
	}
	if verdict.Cause != intake.CauseClosing { // which was counted when the connection was chosen
		c.gate.Report.refusedRequest(verdict.Cause)
	}
	return ErrOverloaded
}

// readBody reads a body of a known length, or of an unknown one if length is negative.
func (c *conn) readBody(body io.Reader, length, limit int64) ([]byte, error) {
	capacity := length + 1 // the library reports the end of a body with a further read
	if length < 0 {
		capacity = min(firstBodyBuffer, limit+1)
	}
	if err := c.charge(SocketBuffer + capacity); err != nil {
		return nil, err
	}
	if !c.enter(reading, intake.Receiving) {
		return nil, ErrOverloaded
	}
	read, err := c.readAll(body, make([]byte, 0, capacity), limit)
	admitted := c.enter(handling, intake.Handling)
	var timeout net.Error
	switch {
	case !admitted, errors.Is(err, net.ErrClosed):
		return nil, ErrOverloaded // closed for another connection
	case errors.As(err, &timeout) && timeout.Timeout():
		c.gate.Report.closedConnection(closedForBodyTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyRead = err == nil
	return read, err
}

// readAll reads until the end of the body, with a time limit that is extended by progress.
func (c *conn) readAll(body io.Reader, read []byte, limit int64) ([]byte, error) {
	progress := minBodyProgress
	for {
		if len(read) == cap(read) {
			capacity := min(2*int64(cap(read)), limit+1)
			if err := c.charge(capacity - int64(cap(read))); err != nil {
				return nil, err
			}
			read = append(make([]byte, 0, capacity), read...)
		}
		if progress >= minBodyProgress {
			progress = 0
			if err := c.extendDeadline(); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		progress += n
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (c *conn) extendDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(c.gate.Bounds().HeaderTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(deadline) {
		deadline = c.deadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// enter changes the mode of the connection. It returns false if the connection is being closed for
// another one.
func (c *conn) enter(m mode, phase intake.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
	return c.held.Enter(time.Now(), phase)
}
