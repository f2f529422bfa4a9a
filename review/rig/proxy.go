package main

import (
	"net"
	"time"
)

// delayProxy forwards connections to an address and delivers all bytes later by a fixed time, in both
// directions, like a link between regions. It returns its own address.
func delayProxy(to string, delay time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", to)
				if err != nil {
					_ = near.Close()
					return
				}
				go forward(far, near, delay)
				forward(near, far, delay)
			}()
		}
	}()
	return listener.Addr().String()
}

type delayedBytes struct {
	at   time.Time
	data []byte
}

func forward(from, to net.Conn, delay time.Duration) {
	queue := make(chan delayedBytes, 4096)
	go func() {
		for b := range queue {
			time.Sleep(time.Until(b.at))
			if _, err := to.Write(b.data); err != nil {
				_ = from.Close()
			}
		}
		_ = to.Close()
	}()
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- delayedBytes{time.Now().Add(delay), buffer[:n]}
		}
		if err != nil {
			close(queue)
			return
		}
	}
}
