// Package backend sends requests to backend servers over HTTP/1.1. It reports
// exactly how far a request got: whether a byte of it may have reached the server,
// and whether an answer is complete and belongs to the request.
package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/tcp"
)

const (
	// dialTimeout bounds the setup of a connection. It is long enough for round
	// trips within a region. A machine without power does not answer at all, so the
	// attempt must be given up.
	dialTimeout = 400 * oleanderspool.Millis(1)
	// unacknowledgedTimeout closes a connection whose peer does not acknowledge sent
	// bytes. It is longer than one TCP retransmission of the operating system.
	unacknowledgedTimeout = 1500 * oleanderspool.Millis(1)
	// probeInterval is the interval of TCP keep-alive probes. A peer that misses
	// probeCount of them is considered unreachable.
	probeInterval = oleanderspool.Second
	probeCount    = 2
	// idleTimeout is the longest time that an unused connection is kept.
	idleTimeout = 8 * oleanderspool.Second
	// nonIdempotentIdleTimeout is the longest idle time of a connection that is
	// reused for a request that may run only once: if the server closes the idle
	// connection while the request is sent, the outcome is unknown.
	nonIdempotentIdleTimeout = oleanderspool.Second
	// keepAliveMargin is subtracted from the keep-alive timeout that a server
	// announces.
	keepAliveMargin = 500 * oleanderspool.Millis(1)
	// maxIdleConnections is the maximum number of idle connections per server.
	maxIdleConnections = 32
)

// Pool opens connections to backend servers and reuses them. It is safe for
// concurrent use.
type Pool struct {
	clock  oleanderspool.Clock
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the connections to each run of a server: one to an earlier process at
	// the same address is not used for requests to a later one.
	idle    map[directory.ServerRun][]*connection
	observe func(directory.Server, oleanderspool.RequestID, oleanderspool.AnswerHeader)
	budget  *buffer.Budget
	// open counts the connections, if maxOpen bounds them.
	open    atomic.Int64
	maxOpen int64 // 0 for no bound
}

// Option configures a [Pool].
type Option func(*Pool)

// WithObserver sets a function that receives the header of each answer of a server to
// a request with the given ID, also of answers that belong to another request.
func WithObserver(observe func(s directory.Server, id oleanderspool.RequestID, answer oleanderspool.AnswerHeader)) Option {
	return func(p *Pool) { p.observe = observe }
}

// defaultBudget is the memory in bytes for long headers without [WithBudget].
const defaultBudget = 16 << 20

// WithBudget sets the memory that long headers of answers share with other buffers.
func WithBudget(b *buffer.Budget) Option {
	return func(p *Pool) { p.budget = b }
}

// WithMaxConnections bounds the open connections of the pool; 0 for no bound. At the
// bound idle connections are closed for new ones.
func WithMaxConnections(connections int) Option {
	return func(p *Pool) { p.maxOpen = int64(connections) }
}

// NewPool returns a pool without connections.
func NewPool(clock oleanderspool.Clock, options ...Option) *Pool {
	p := &Pool{
		clock: clock,
		dialer: net.Dialer{
			Timeout:         dialTimeout.Duration(),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval.Duration(), Interval: probeInterval.Duration(), Count: probeCount},
			Control: func(_, _ string, c syscall.RawConn) error {
				var err error
				controlErr := c.Control(func(fd uintptr) {
					err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout))
				})
				if controlErr != nil {
					return controlErr
				}
				return err
			},
		},
		idle:    make(map[directory.ServerRun][]*connection),
		observe: func(directory.Server, oleanderspool.RequestID, oleanderspool.AnswerHeader) {},
		budget:  buffer.NewBudget(defaultBudget),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// connect returns an idle connection that has been unused for less than maxIdle and
// on which no request with the given ID was rejected, or else a new one.
func (p *Pool) connect(ctx context.Context, s directory.Server, maxIdle oleanderspool.Millis, id oleanderspool.RequestID) (*connection, error) {
	if c := p.takeIdle(s.Run(), maxIdle, id); c != nil {
		return c, nil
	}
	if !p.claim() {
		return nil, oleanderspool.ErrNotSent.New("cannot connect to %s: %d connections are open", s.Instance, p.maxOpen)
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		p.open.Add(-1)
		return nil, oleanderspool.ErrNotSent.Wrap(err, "cannot connect to %s", s.Instance)
	}
	c := newConnection(tcp.NewConn(conn), s.Run(), p.budget)
	c.onClose = func() { p.open.Add(-1) }
	return c, nil
}

// claim reports whether a new connection may be opened, and counts it.
func (p *Pool) claim() bool {
	for p.open.Add(1) > p.maxOpen && p.maxOpen > 0 {
		p.open.Add(-1)
		if !p.closeAnyIdle() {
			return false
		}
	}
	return true
}

// closeAnyIdle closes an idle connection and reports whether there was one.
func (p *Pool) closeAnyIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		list[0].close()
		p.idle[key] = slices.Delete(list, 0, 1)
		return true
	}
	return false
}

func (p *Pool) takeIdle(key directory.ServerRun, maxIdle oleanderspool.Millis, id oleanderspool.RequestID) *connection {
	now := p.clock.Now()
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if now < c.expiresAt && now-c.lastUsedAt < maxIdle && !slices.Contains(c.rejected, id) && c.reusable() {
			return c
		}
		c.close()
	}
}

// put returns a connection to the pool. Its last answer must have been complete.
func (p *Pool) put(c *connection) {
	now := p.clock.Now()
	c.lastUsedAt = now
	timeout := idleTimeout
	if c.keepAliveTimeout > 0 {
		timeout = min(timeout, c.keepAliveTimeout-keepAliveMargin)
	}
	c.expiresAt = now + timeout
	p.mu.Lock()
	defer p.mu.Unlock()
	if timeout <= 0 || len(p.idle[c.key]) >= maxIdleConnections {
		c.close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expiresAt {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}

// CloseIdle closes the idle connections to a server, for example after a
// connection to it broke.
func (p *Pool) CloseIdle(s directory.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[s.Run()] {
		c.close()
	}
	delete(p.idle, s.Run())
}

// Probe is what an attempt to connect shows about a server.
type Probe int

// The results of a probe.
const (
	// Listening: the server accepts connections.
	Listening Probe = iota
	// NotListening: its machine answers that no process listens at its address.
	NotListening
	// Unreachable: nothing answers in time.
	Unreachable
)

// Probe reports whether a server accepts a connection.
func (p *Pool) Probe(ctx context.Context, s directory.Server) Probe {
	conn, err := p.dialer.DialContext(ctx, "tcp", s.Address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	default:
		return Unreachable
	}
}

// closeExpiredInterval is the interval at which Run closes expired connections.
const closeExpiredInterval = oleanderspool.Second

// Run periodically closes expired connections until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	clock.Every(ctx, closeExpiredInterval, nil, p.CloseExpired)
}
