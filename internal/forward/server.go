package forward

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// idleMargin is the part of the configured idle limit for which an idle
	// connection of a caller is kept in addition, so that a request does not cross
	// its end.
	idleMargin = 1.25
	// defaultIdleLimit applies until a configuration is known.
	defaultIdleLimit = 30 * oleanderspool.Second
	// defaultHeaderLimit applies until a configuration is known that has one.
	defaultHeaderLimit = 5 * oleanderspool.Second
	// longestWait bounds a configured limit: the library closes connections after
	// it.
	longestWait = 5 * oleanderspool.Minute
	// sweepInterval is the span between two looks for connections that waited too
	// long, by which they may exceed their limit.
	sweepInterval = 500 * oleanderspool.Millis(1)
	// maxHeader bounds the header of a request in bytes before it is known which
	// configuration applies.
	maxHeader = 64 << 10
	// serveAfterStop is how long a stopping entry keeps its address open, so that
	// late requests are refused and not lost.
	serveAfterStop = 3200 * oleanderspool.Millis(1)
	// stopMargin is the end of the stop grace that is kept for the exit.
	stopMargin = 500 * oleanderspool.Millis(1)
)

// Server serves callers over HTTP/1.1.
type Server struct {
	gateway *Gateway
	server  *http.Server
	clock   oleanderspool.Clock
	logger  *slog.Logger

	mu      sync.Mutex
	waiting map[net.Conn]oleanderspool.Millis // connections without a request, since when
}

// NewServer returns a server of a gateway.
func NewServer(g *Gateway) *Server {
	s := &Server{gateway: g, clock: g.clock, logger: g.logger, waiting: make(map[net.Conn]oleanderspool.Millis)}
	s.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: longestWait.Duration(), // the configured limits apply before it
		IdleTimeout:       longestWait.Duration(),
		MaxHeaderBytes:    maxHeader,
		ConnState:         s.track,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	return s
}

func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		s.waiting[conn] = s.clock.Now()
		if c, ok := conn.(*callerConn); ok {
			c.headerAt.Store(0)
		}
	} else {
		delete(s.waiting, conn)
	}
}

// Serve serves callers until ctx ends, and then stops within the grace without
// cutting a request that can end in it.
func (s *Server) Serve(ctx context.Context, listener net.Listener, grace oleanderspool.Millis) error {
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(callerListener{listener, s.clock}) }()
	ticker := time.NewTicker(sweepInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			s.sweep()
		case <-ctx.Done():
			return s.stop(grace)
		}
	}
}

// sweep closes connections that wait for longer than the configuration allows for
// a request, or for the rest of its header.
func (s *Server) sweep() {
	header, idle := defaultHeaderLimit, defaultIdleLimit
	if c := s.gateway.view.Snapshot().Configuration; c != nil {
		if c.Limits.HeaderTimeout > 0 {
			header = c.Limits.HeaderTimeout
		}
		if c.Limits.IdleTimeout > 0 {
			idle = oleanderspool.Millis(float64(c.Limits.IdleTimeout) * idleMargin)
		}
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range s.waiting {
		if waitsTooLong(conn, now-since, header, idle, now) {
			_ = conn.Close() // no request of it is in progress
			delete(s.waiting, conn)
		}
	}
}

// stop serves new requests until the load balancer sends none, ends idle
// connections, and waits for the requests in progress.
func (s *Server) stop(grace oleanderspool.Millis) error {
	startedAt := s.clock.Now()
	s.gateway.Stop()
	s.logger.Info("stopping", "running", s.gateway.InFlight(), "grace_ms", int64(grace))
	time.Sleep(min(serveAfterStop, grace/2).Duration())
	left := max(0, grace-stopMargin-(s.clock.Now()-startedAt))
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	err := s.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		s.logger.Warn("requests cut by the end of the grace", "running", s.gateway.InFlight())
		return s.server.Close()
	}
	return err
}
