package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// partition is a proxy between an entry and the store that can be cut like a network:
// nothing passes, nothing is answered, and what waits passes when TCP sends it again.
type partition struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	until    time.Time // end of the last cut
}

func newPartition(target string) *partition {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	p := &partition{listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *partition) address() string { return p.listener.Addr().String() }

// cut cuts for a duration and returns the instant at which it ends.
func (p *partition) cut(d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
	return p.until
}

func (p *partition) end() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until
}

// pass waits until bytes that are sent now arrive: at once, or at the first
// retransmission after the end of the cut.
func (p *partition) pass(first time.Duration) {
	sent := time.Now()
	for {
		end := p.end()
		if !time.Now().Before(end) {
			return
		}
		at := sent
		for step := first; at.Before(end); step *= 2 {
			at = at.Add(step)
		}
		time.Sleep(time.Until(at))
	}
}

// The first retransmission times of TCP, of an attempt to connect and of data.
const (
	connectRetry = time.Second
	dataRetry    = 200 * time.Millisecond
)

func (p *partition) serve(conn net.Conn) {
	defer conn.Close()
	p.pass(connectRetry)
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer store.Close()
	go func() {
		p.copy(conn, store)
		_ = conn.Close()
		_ = store.Close()
	}()
	p.copy(store, conn)
}

func (p *partition) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.pass(dataRetry)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
