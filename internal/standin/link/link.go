// Package link provides a TCP relay that injects network faults in tests. It
// relays bytes between its own address and a target, whatever their protocol.
package link

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// Direction is a direction in which the relay forwards bytes.
type Direction int

// The directions.
const (
	// Forward is from the client to the target.
	Forward Direction = iota
	// Backward is from the target to the client.
	Backward
	directions = 2
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	target  string
	address string

	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	connections map[*connection]struct{}
	accepted    int
	delay       time.Duration
	cut         [directions]bool
	healed      chan struct{} // closed and replaced by Heal
	closed      bool
	running     sync.WaitGroup
}

// New starts a relay from a free loopback port to the target, an IP address and
// port.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target:      target,
		address:     listener.Addr().String(),
		connections: map[*connection]struct{}{},
		healed:      make(chan struct{}),
	}
	r.serve(listener)
	return r, nil
}

// Address returns the IP address and port that the relay listens on.
func (r *Relay) Address() string {
	return r.address
}

// Accepted returns how many connections were accepted so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// SetDelay sets the one-way latency that the relay adds in each direction.
func (r *Relay) SetDelay(delay oleanderspool.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay.Duration()
}

// Cut holds back all bytes and connection ends in one direction, like a network
// that loses packets. They are delivered after Heal.
func (r *Relay) Cut(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[d] = true
}

// Heal ends the cuts of both directions.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = [directions]bool{}
	close(r.healed)
	r.healed = make(chan struct{})
}

// BlackHole stops the delivery on all existing connections, in both directions
// and for good, without closing them. New connections work.
func (r *Relay) BlackHole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.blackHole()
	}
}

// Reset closes all existing connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.reset()
	}
}

// Refuse stops listening, so that new connections are refused. Existing
// connections stay open.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopListening()
}

// Accept listens again after Refuse, on the same address.
func (r *Relay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.closed {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.serve(listener)
	return nil
}

// Close stops the relay, resets its connections and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.stopListening()
	for c := range r.connections {
		c.reset()
	}
	r.mu.Unlock()
	r.running.Wait()
}

func (r *Relay) stopListening() {
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

// serve starts a goroutine that accepts connections until the listener is closed.
// The caller holds the lock, except in New.
func (r *Relay) serve(listener net.Listener) {
	r.listener = listener
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		for {
			client, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				r.start(client.(*net.TCPConn))
			}
		}
	}()
}

// start starts a goroutine that relays a connection.
func (r *Relay) start(client *net.TCPConn) {
	c := newConnection(r, client)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.reset()
		return
	}
	r.accepted++
	r.connections[c] = struct{}{}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		c.run(r.target)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, c)
	}()
}

// faults returns the delay and the cut of a direction, and a channel that is
// closed by the next Heal.
func (r *Relay) faults(d Direction) (delay time.Duration, cut bool, healed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.cut[d], r.healed
}
