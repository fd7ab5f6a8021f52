// Package backend calls backend servers over HTTP/1.1. It tells exactly how far
// a request got: whether a byte of it may have reached the server, and whether
// an answer is complete and belongs to it.
package backend

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// dialTimeout bounds the setup of a connection. It covers round trips within
	// a region; a machine without power does not answer at all.
	dialTimeout = 400 * oleanderspool.Millis(1)
	// unacknowledgedTimeout ends a connection whose peer does not acknowledge
	// sent bytes. It exceeds a retransmission of the operating system.
	unacknowledgedTimeout = 1500 * oleanderspool.Millis(1)
	// probeInterval is the span between keep-alive probes; a peer that misses
	// probeCount of them is gone.
	probeInterval = oleanderspool.Second
	probeCount    = 2
	// idleLimit bounds how long an unused connection is kept.
	idleLimit = 8 * oleanderspool.Second
	// freshLimit bounds the idle span of a connection for a request that may
	// run only once: a server that closes an idle connection at the same moment
	// leaves the outcome unknown.
	freshLimit = oleanderspool.Second
	// closeMargin is subtracted from the idle span that a server announces.
	closeMargin = 500 * oleanderspool.Millis(1)
	// maxIdle bounds the idle connections per server.
	maxIdle = 32
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	clock  oleanderspool.Clock
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[target][]*connection
}

// target is a run of a server: a connection to an earlier run at the same
// address is not used for a later one.
type target struct {
	instance oleanderspool.InstanceID
	address  string
	started  int64
}

func targetOf(s directory.Server) target {
	return target{instance: s.Instance, address: s.Address, started: s.Started}
}

// NewPool returns a pool without connections.
func NewPool(clock oleanderspool.Clock) *Pool {
	return &Pool{
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
		idle: make(map[target][]*connection),
	}
}

// connect returns a kept connection whose idle span is below the limit, or a
// new one.
func (p *Pool) connect(ctx context.Context, s directory.Server, limit oleanderspool.Millis) (*connection, error) {
	if c := p.take(targetOf(s), limit); c != nil {
		return c, nil
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return nil, oleanderspool.ErrNotSent.Wrap(err, "connect to %s", s.Instance)
	}
	return newConnection(conn, targetOf(s)), nil
}

func (p *Pool) take(t target, limit oleanderspool.Millis) *connection {
	now := p.clock.Now()
	for {
		p.mu.Lock()
		list := p.idle[t]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[t] = list[:len(list)-1]
		p.mu.Unlock()
		if now < c.keepUntil && now-c.usedAt < limit && c.quiet() {
			return c
		}
		c.close()
	}
}

// keep takes back a connection whose last answer was complete.
func (p *Pool) keep(c *connection) {
	now := p.clock.Now()
	c.usedAt = now
	span := idleLimit
	if c.announced > 0 {
		span = min(span, c.announced-closeMargin)
	}
	c.keepUntil = now + span
	p.mu.Lock()
	defer p.mu.Unlock()
	if span <= 0 || len(p.idle[c.target]) >= maxIdle {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// CloseExpired closes connections that are idle for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.keepUntil {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
}

// CloseIdle closes the idle connections to a server, for example after one of them
// broke.
func (p *Pool) CloseIdle(s directory.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[targetOf(s)] {
		c.close()
	}
	delete(p.idle, targetOf(s))
}

// Reachable reports whether a server accepts a connection.
func (p *Pool) Reachable(ctx context.Context, s directory.Server) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// pollInterval is how often an idle pool is swept.
const pollInterval = oleanderspool.Second

// Run sweeps the pool until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	clock.Every(ctx, pollInterval, nil, p.CloseExpired)
}
