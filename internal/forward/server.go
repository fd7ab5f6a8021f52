package forward

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clientconn"
)

const (
	// idleFactor multiplies the configured idle timeout, so that a connection
	// is closed later than the caller expects and a request does not arrive
	// while the server closes it.
	idleFactor = 1.25
	// defaultIdleTimeout is the idle timeout until a configuration is known.
	defaultIdleTimeout = 30 * oleanderspool.Second
	// defaultHeaderTimeout is the timeout for a request header until a
	// configuration that sets one is known.
	defaultHeaderTimeout = 5 * oleanderspool.Second
	// maxConnWait is the upper bound of a configured timeout: net/http closes
	// connections after it.
	maxConnWait = 5 * oleanderspool.Minute
	// sweepInterval is the interval between two checks for connections over
	// their timeout. A connection may exceed its timeout by this much.
	sweepInterval = 500 * oleanderspool.Millis(1)
	// maxHeader bounds the header of a request in bytes before the applicable
	// configuration is known.
	maxHeader = 64 << 10
	// listenAfterStop is how long a stopping entry keeps its listener open, so
	// that late requests are refused with an answer instead of a connection
	// error.
	listenAfterStop = 3200 * oleanderspool.Millis(1)
	// quietChecks is the number of checks in a row, quietCheckInterval apart, in which
	// no connection has arrived before a stopping entry closes its listener: connections
	// that wait to be accepted are reset then. Checks are counted instead of time, since
	// a process that lacks processor time accepts no connections either.
	quietChecks        = 6
	quietCheckInterval = 50 * oleanderspool.Millis(1)
	// closeMargin is the part of the grace period before stopMargin in which the
	// listener is closed also while connections arrive.
	closeMargin = oleanderspool.Second
	// stopMargin is the part at the end of the stop grace period that is
	// reserved for the refusal of the requests in progress and the exit of the process.
	stopMargin = 500 * oleanderspool.Millis(1)
	// refuseTimeout is the part of stopMargin for the refusals.
	refuseTimeout = 250 * oleanderspool.Millis(1)
)

// Server serves callers over HTTP/1.1.
type Server struct {
	gateway *Gateway
	server  *http.Server
	clock   oleanderspool.Clock
	logger  *slog.Logger
	guard   *clientconn.Guard
}

// NewServer returns a server of a gateway.
func NewServer(g *Gateway) *Server {
	s := &Server{gateway: g, clock: g.clock, logger: g.logger, guard: clientconn.NewGuard(g.limits, g.clock, g.tally)}
	s.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: maxConnWait.Duration(), // sweep applies the configured timeouts, which are shorter
		IdleTimeout:       maxConnWait.Duration(),
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	s.guard.Install(s.server)
	return s
}

// Serve serves callers until ctx ends, and then stops within the grace period.
// It aborts only requests that do not end within it.
func (s *Server) Serve(ctx context.Context, listener net.Listener, grace oleanderspool.Millis) error {
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(s.guard.Listen(listener)) }()
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

// sweep closes connections that have waited for a request, or for the rest of
// its header, for longer than the configuration allows, and those with too many
// unread bytes.
func (s *Server) sweep() {
	header, idle := defaultHeaderTimeout, defaultIdleTimeout
	if c := s.gateway.view.Snapshot().Configuration; c != nil {
		if c.Limits.HeaderTimeout > 0 {
			header = c.Limits.HeaderTimeout
		}
		if c.Limits.IdleTimeout > 0 {
			idle = oleanderspool.Millis(float64(c.Limits.IdleTimeout) * idleFactor)
		}
	}
	s.guard.Sweep(header, idle)
}

// stop keeps serving until the load balancer no longer opens connections, then
// closes idle connections and waits for the requests in progress.
func (s *Server) stop(grace oleanderspool.Millis) error {
	startedAt := s.clock.Now()
	s.gateway.Stop()
	s.logger.Info("stopping", "running", s.gateway.InFlight(), "grace_ms", int64(grace))
	time.Sleep(min(listenAfterStop, grace/2).Duration())
	s.awaitQuiet(startedAt + grace - stopMargin - closeMargin)
	err := s.shutdown(grace - stopMargin - (s.clock.Now() - startedAt))
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.logger.Warn("stop grace period over; refusing requests in progress", "running", s.gateway.InFlight())
	s.gateway.EndRequests()
	if err := s.shutdown(refuseTimeout); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.logger.Warn("closing connections with requests in progress", "running", s.gateway.InFlight())
	return s.server.Close()
}

// shutdown closes idle connections and waits for the requests in progress.
func (s *Server) shutdown(timeout oleanderspool.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(0, timeout).Duration())
	defer cancel()
	return s.server.Shutdown(ctx)
}

// awaitQuiet waits until no connection has arrived in several checks, or until an
// instant.
func (s *Server) awaitQuiet(until oleanderspool.Millis) {
	for quiet := 0; quiet < quietChecks && s.clock.Now() < until; quiet++ {
		before := s.guard.Opened()
		time.Sleep(quietCheckInterval.Duration())
		if s.guard.Opened() != before {
			quiet = -1
		}
	}
}
