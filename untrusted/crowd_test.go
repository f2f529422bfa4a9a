package untrusted

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowd is a number of clients that send the same kind of request at the same time. Seven of eight
// stop just short of the end of their request and leave the connection open.
type crowd struct {
	clients int
	head    string                                          // request line and headers up to those of the body; idPlaceholder stands for a new job ID
	send    func(w io.Writer, head string, ends bool) error // sends one request, whole if ends is set
	shared  bool                                            // the crowd connects from the address of the ordinary callers
}

// idPlaceholder stands for the ID of a job in the head of a request.
const idPlaceholder = "{id}"

const (
	wholeOf = 8 // one of this many clients sends its request to the end
	// attempts is the number of connections that a client opens if they are closed.
	attempts     = 3
	sources      = 4 // addresses from which the crowd connects
	writeTimeout = 5 * time.Second
)

// start returns when each client has sent its request or has used up its attempts. The connections
// stay open until stop is called.
func (c crowd) start(t *testing.T, address string) (stop func()) {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	stopped := false
	var sent, ended sync.WaitGroup
	for i := range c.clients {
		sent.Add(1)
		ended.Go(func() {
			once := sync.OnceFunc(sent.Done)
			defer once()
			for range attempts {
				dialer := net.Dialer{Timeout: writeTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 77, 0, byte(1+i%sources))}}
				if c.shared {
					dialer.LocalAddr = nil
				}
				conn, err := dialer.Dial("tcp", address)
				if err != nil {
					continue
				}
				mu.Lock()
				isStopped := stopped
				open[conn] = true
				mu.Unlock()
				if isStopped {
					_ = conn.Close()
					return
				}
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
				head := strings.ReplaceAll(c.head, idPlaceholder, fmt.Sprintf("%016x", sentJobs.Add(1)))
				if c.send(conn, head, i%wholeOf == 0) == nil {
					once()
					_, _ = io.Copy(io.Discard, conn) // until either side closes the connection
				}
				_ = conn.Close()
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
			}
		})
	}
	sent.Wait()
	return func() {
		mu.Lock()
		stopped = true
		for conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		ended.Wait()
	}
}

const (
	// headerBytes is the size of the headers that exceed the limit. It is below 1 MB, which the HTTP
	// library allows by default.
	headerBytes = 900_000
	headerLine  = 100 // bytes
	pieceBytes  = 8 << 10
	largeChunk  = 64 << 10
	smallChunk  = 8
	emptyLines  = 1 << 20 // number of empty lines of one client
)

// sendLongHeaders sends headers that exceed the limit.
func sendLongHeaders(w io.Writer, head string, ends bool) error {
	if _, err := io.WriteString(w, head+"X-Long: "+strings.Repeat("x", headerBytes)); err != nil || !ends {
		return err
	}
	_, err := io.WriteString(w, "\r\n\r\n")
	return err
}

// sendEndlessHeaders sends header lines that do not end.
func sendEndlessHeaders(w io.Writer, head string, _ bool) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	var block strings.Builder
	for sent := 0; sent < headerBytes; sent += headerLine {
		fmt.Fprintf(&block, "X-%08d: %s\r\n", sent, strings.Repeat("x", headerLine-14))
		if block.Len() >= pieceBytes {
			if _, err := io.WriteString(w, block.String()); err != nil {
				return err
			}
			block.Reset()
		}
	}
	_, err := io.WriteString(w, block.String())
	return err
}

// sendEmptyLines sends empty lines before a request.
func sendEmptyLines(w io.Writer, _ string, _ bool) error {
	block := strings.Repeat("\r\n", pieceBytes)
	for sent := 0; sent < emptyLines; sent += pieceBytes {
		if _, err := io.WriteString(w, block); err != nil {
			return err
		}
	}
	return nil
}

// sendNothing leaves the connection as it is.
func sendNothing(io.Writer, string, bool) error { return nil }

// body returns a body of the given size. A JSON object of a legal size with many steps takes the most
// memory once it is decoded.
func body(size int) string {
	const begin, end = `{"spec":"1ms","steps":[`, `{}]}`
	return begin + strings.Repeat("{},", (size-len(begin)-len(end))/3) + end
}

// sendBody returns a function that sends a body of the given size in pieces, with a pause between two.
func sendBody(size, piece int, pause time.Duration) func(io.Writer, string, bool) error {
	text := body(size)
	return sendText(func() string { return text }, piece, pause)
}

// sendText returns a function that sends the next body in pieces, with a pause between two.
func sendText(next func() string, piece int, pause time.Duration) func(io.Writer, string, bool) error {
	return func(w io.Writer, head string, ends bool) error {
		text := next()
		rest := text
		if !ends {
			rest = rest[:len(rest)-1]
		}
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, len(text)); err != nil {
			return err
		}
		for len(rest) > 0 {
			n := min(piece, len(rest))
			if _, err := io.WriteString(w, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			time.Sleep(pause)
		}
		return nil
	}
}

// sendChunks returns a function that sends a body of the given size in chunks.
func sendChunks(size, chunk int) func(io.Writer, string, bool) error {
	text := encodeChunks(body(size), chunk)
	return sendEncoded(func() string { return text })
}

// sendTextChunks returns a function that sends the next body in chunks.
func sendTextChunks(next func() string, chunk int) func(io.Writer, string, bool) error {
	return sendEncoded(func() string { return encodeChunks(next(), chunk) })
}

func encodeChunks(text string, chunk int) string {
	var encoded strings.Builder
	for rest := text; len(rest) > 0; {
		n := min(chunk, len(rest))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return encoded.String()
}

func sendEncoded(next func() string) func(io.Writer, string, bool) error {
	return func(w io.Writer, head string, ends bool) error {
		if _, err := io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n"+next()); err != nil || !ends {
			return err
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
}
