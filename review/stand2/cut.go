package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link forwards connections to an address. While it is cut, nothing passes in either
// direction, as at a partition: bytes wait, and a connection that is opened meanwhile is
// set up when its opening packet is sent again after the cut (1, 3 and 7 s after the
// first one, as by Linux). Bytes that waited pass when they are sent again: 0.2 s after
// the first time, and then after twice the time before.
type link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	from time.Time // of the cut; zero for none
	to   time.Time // zero while it lasts
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target}
	go k.serve()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.from, k.to = time.Now(), time.Time{}
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.to = time.Now()
}

// passes reports whether a packet passes now.
func (k *link) passes() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.from.IsZero() || !k.to.IsZero()
}

// await returns once a packet that is first sent now, and again after the delays of next,
// passes.
func (k *link) await(next func(attempt int) time.Duration) {
	for attempt := 0; !k.passes(); attempt++ {
		time.Sleep(next(attempt))
	}
}

func (k *link) serve() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(conn)
	}
}

func (k *link) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	k.await(func(attempt int) time.Duration { return time.Second << attempt })
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	done := make(chan struct{})
	go func() {
		k.copy(far, near)
		close(done)
	}()
	k.copy(near, far)
	_ = near.Close()
	_ = far.Close()
	<-done
}

func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.await(func(attempt int) time.Duration { return 200 * time.Millisecond << attempt })
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
