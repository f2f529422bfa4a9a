package soak

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
)

// network connects the zones and can cut them off. The machine with number M has the address
// 127.P.M.90, where P depends on the test process. Machines of the same zone use this address. Those of
// another zone z use 127.P.M.(91+z), where a proxy forwards to the machine. The proxies replace the
// addresses in all bytes that they forward by those that the receiver uses. That does not change the
// length of a message, since only the last digit differs.
type network struct {
	h       *harness
	mu      sync.Mutex
	changed *sync.Cond
	cut     [zones + 1]bool // by zone; the last one is outside
}

// outside is where the store and the advice service are. It is never cut off.
const outside = zones

// Numbers of the first instance and the first host, which other machines of their kind follow. They
// are multiples of the number of zones, so that the number of a machine gives its zone.
const (
	firstNode = 40 * zones
	firstHost = 50 * zones
)

var addressPrefix = fmt.Sprintf("127.%d.", os.Getpid()%250+1)

// machineIP returns the IP address of a machine.
func machineIP(number int) string { return fmt.Sprintf("%s%d.90", addressPrefix, number) }

func newNetwork(h *harness) *network {
	n := &network{h: h}
	n.changed = sync.NewCond(&n.mu)
	h.t.Cleanup(func() {
		for zone := range zones {
			n.setCut(zone, false)
		}
	})
	return n
}

// setCut cuts a zone off from everything outside it, or ends that. The proxies hold back bytes until
// the cut ends. A connection that is opened during the cut never delivers any.
func (n *network) setCut(zone int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = cut
	n.changed.Broadcast()
}

// wait returns when two zones are connected, and whether they were not when it was called.
func (n *network) wait(a, b int) (wasCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a != b && (n.cut[a] || n.cut[b]) {
		wasCut = true
		n.changed.Wait()
	}
	return wasCut
}

// addMachine makes the machine with the given number and port accessible from the other zones.
func (n *network) addMachine(number int, port string) {
	for from := range zones {
		if to := number % zones; from != to {
			address := fmt.Sprintf("%s%d.%d:%s", addressPrefix, number, 91+from, port)
			n.forward(address, net.JoinHostPort(machineIP(number), port), from, to)
		}
	}
}

// forward starts a proxy for connections from one zone to a server in another one, and returns its address.
func (n *network) forward(address, server string, from, to int) string {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		n.h.t.Fatal(err)
	}
	n.h.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go n.connect(client.(*net.TCPConn), server, from, to)
		}
	}()
	return listener.Addr().String()
}

// connect forwards the bytes of a connection until it ends.
func (n *network) connect(client *net.TCPConn, address string, from, to int) {
	defer client.Close()
	if n.wait(from, to) {
		return
	}
	server, err := net.Dial("tcp", address)
	if err != nil {
		_ = client.SetLinger(0) // closing it resets the connection, as a machine without a server does
		return
	}
	defer server.Close()
	var directions sync.WaitGroup
	copyBytes := func(dst, src *net.TCPConn, receiver int) {
		defer func() { _ = dst.CloseWrite() }() // fails if the connection is closed already
		addresses := addressTranslator{zone: receiver}
		buffer := make([]byte, 32<<10)
		for {
			count, err := src.Read(buffer)
			n.wait(from, to)
			addresses.translate(buffer[:count])
			if _, writeErr := dst.Write(buffer[:count]); err != nil || writeErr != nil {
				return
			}
		}
	}
	directions.Go(func() { copyBytes(server.(*net.TCPConn), client, to) })
	directions.Go(func() { copyBytes(client, server.(*net.TCPConn), from) })
	directions.Wait()
}

// addressTranslator replaces addresses of machines in a stream of bytes by those that a zone uses.
type addressTranslator struct {
	zone int
	last []byte // the bytes before the current ones in which an address may begin
}

func (a *addressTranslator) translate(b []byte) {
	const number = len("120")
	length := len(addressPrefix) + number + len(".9") // of an address before its last digit
	text := append(a.last, b...)
	for from := 0; ; {
		found := bytes.Index(text[from:], []byte(addressPrefix))
		if found < 0 || from+found+length >= len(text) {
			break
		}
		begin := from + found + len(addressPrefix)
		from = begin
		end := begin + number + len(".9")
		machine, err := strconv.Atoi(string(text[begin : begin+number]))
		digit := end - len(a.last)
		if err != nil || string(text[begin+number:end]) != ".9" || digit < 0 {
			continue // not an address, or translated with the bytes before
		}
		if machine%zones == a.zone {
			b[digit] = '0'
		} else {
			b[digit] = byte('1' + a.zone)
		}
	}
	a.last = append([]byte(nil), text[max(0, len(text)-length):]...)
}

// TestAddressTranslator guards against an address that is not translated because it arrives in parts.
func TestAddressTranslator(t *testing.T) {
	text := "a" + addressPrefix + "121.90:80," + addressPrefix + "122.92:80," + addressPrefix + "12." + addressPrefix + "123.90"
	want := "a" + addressPrefix + "121.93:80," + addressPrefix + "122.90:80," + addressPrefix + "12." + addressPrefix + "123.93"
	for size := 1; size <= len(text); size++ {
		addresses := addressTranslator{zone: 122 % zones}
		var got []byte
		for rest := []byte(text); len(rest) > 0; {
			part := rest[:min(size, len(rest))]
			rest = rest[len(part):]
			addresses.translate(part)
			got = append(got, part...)
		}
		if string(got) != want {
			t.Fatalf("in parts of %d bytes: %q, want %q", size, got, want)
		}
	}
}

var storedValue = regexp.MustCompile(`"value":"[^"]*"`)

// translateValues returns a handler that translates the addresses in the values that the store returns.
func translateValues(store http.Handler, zone int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, r)
		w.Header().Set("Content-Type", recorder.Header().Get("Content-Type"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(storedValue.ReplaceAllFunc(recorder.Body.Bytes(), func(field []byte) []byte {
			text := field[len(`"value":"`) : len(field)-1]
			value, err := base64.StdEncoding.AppendDecode(nil, text)
			if err != nil {
				return field
			}
			addresses := addressTranslator{zone: zone}
			addresses.translate(value)
			return fmt.Appendf(nil, `"value":"%s"`, base64.StdEncoding.AppendEncode(nil, value))
		})) // the instance may have closed the connection
	})
}
