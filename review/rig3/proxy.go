package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, it holds all bytes back and delivers them when
// the cut has healed, as a partitioned network does; the end of a connection waits with them.
type proxy struct {
	address string
	target  string

	mu       sync.Mutex
	cond     *sync.Cond
	cut      bool
	listener net.Listener
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener}
	p.cond = sync.NewCond(&p.mu)
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(conn)
	}
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

func (p *proxy) forward(client net.Conn) {
	p.wait()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.copy(server, client)
	p.copy(client, server)
}

// copy forwards one direction. When the sender has closed it, both ends are closed.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
