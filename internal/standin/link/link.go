// Package link is a TCP relay with faults for tests. It relays bytes between
// its own address and a target and knows no protocol.
package link

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// Direction is a direction of the relay.
type Direction int

// The directions.
const (
	// Forward is from the client to the target.
	Forward Direction = iota
	// Backward is from the target to the client.
	Backward
	directions = 2
)

// Relay relays connections to a target. It is safe for concurrent use.
type Relay struct {
	target  string
	address string

	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	connections map[*connection]struct{}
	accepted    int
	delay       time.Duration
	cut         [directions]bool
	healed      chan struct{} // closed when a cut ends
	closed      bool
	running     sync.WaitGroup
}

// New returns a relay from a free port on loopback to the target, an IP number
// and port.
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

// Address returns the IP number and port that the relay listens on.
func (r *Relay) Address() string {
	return r.address
}

// Accepted returns how many connections were accepted so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// SetDelay sets the time that each byte takes through the relay, in both
// directions.
func (r *Relay) SetDelay(span oleanderspool.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = span.Duration()
}

// Cut holds all bytes and connection ends in one direction, as a network that
// loses packets does. After Heal they arrive.
func (r *Relay) Cut(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[d] = true
}

// Heal ends the cuts.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = [directions]bool{}
	close(r.healed)
	r.healed = make(chan struct{})
}

// BlackHole makes the connections that exist now silent in both directions for
// good. Neither side learns of it. New connections work.
func (r *Relay) BlackHole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.silence()
	}
}

// Reset resets the connections that exist now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.reset()
	}
}

// Refuse stops listening, so that new connections are refused. Existing ones
// stay.
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

// Close ends the relay and resets its connections.
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

// serve accepts connections until the listener is closed. The caller holds the
// lock, or is New.
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

// start relays a connection.
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

// state returns the faults of a direction.
func (r *Relay) state(d Direction) (delay time.Duration, cut bool, healed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.cut[d], r.healed
}
