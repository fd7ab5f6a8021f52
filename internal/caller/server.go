// Package caller implements the HTTP API for callers: chat and text completions,
// calls of plain services, and the liveness and readiness probes of the load
// balancer.
package caller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Gateway runs requests. The entry implements it.
type Gateway interface {
	// Configuration returns the configuration in force.
	Configuration() configuration.Configuration
	// NewRequestID returns the id of a new request.
	NewRequestID() oleanderspool.RequestID
	// Now returns the current time on the clock that deadlines refer to.
	Now() oleanderspool.Millis
	// Ready reports whether the load balancer should send new requests.
	Ready() bool
	// Accepting reports whether the gateway serves new requests.
	Accepting() bool
	// Serve runs a request and passes the pieces of its response to emit, in
	// order. It returns nil after the final piece, else the refusal.
	Serve(ctx context.Context, r oleanderspool.Request, emit func(oleanderspool.Piece) error) *oleanderspool.Refusal
}

// Limits bounds the requests that callers may send. Durations are in
// milliseconds, sizes in bytes.
type Limits struct {
	BodyBytes      int64
	HeaderBytes    int
	HeaderTimeout  oleanderspool.Millis // until all headers have arrived
	BodyTimeout    oleanderspool.Millis // until the whole body has arrived
	DefaultTimeout oleanderspool.Millis // for a request without a Request-Timeout header
	MaxTimeout     oleanderspool.Millis // longest accepted Request-Timeout
	Heartbeat      oleanderspool.Millis // between comments that keep a stream without tokens alive
}

// DefaultLimits suit prompts of a million tokens, about 4 MiB of text.
var DefaultLimits = Limits{
	BodyBytes:      16 << 20,
	HeaderBytes:    64 << 10,
	HeaderTimeout:  5 * oleanderspool.Second,
	BodyTimeout:    30 * oleanderspool.Second,
	DefaultTimeout: 2 * oleanderspool.Minute,
	MaxTimeout:     oleanderspool.Hour,
	Heartbeat:      5 * oleanderspool.Second,
}

// Server is the HTTP handler for callers.
type Server struct {
	gateway Gateway
	limits  Limits
	logger  *slog.Logger
	metrics *observe.Metrics
	router  *mux.Router
}

// Option configures a [Server].
type Option func(*Server)

// WithLimits sets the limits.
func WithLimits(l Limits) Option {
	return func(s *Server) { s.limits = l }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(s *Server) { s.logger = l }
}

// WithMetrics sets the metrics that count refusals.
func WithMetrics(m *observe.Metrics) Option {
	return func(s *Server) { s.metrics = m }
}

// NewServer returns a server that passes requests to g.
func NewServer(g Gateway, options ...Option) *Server {
	s := &Server{
		gateway: g,
		limits:  DefaultLimits,
		logger:  slog.New(slog.DiscardHandler),
		metrics: observe.NewMetrics(),
		router:  mux.NewRouter().UseEncodedPath(),
	}
	for _, o := range options {
		o(s)
	}
	s.router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	s.router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	s.router.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/completions", s.completion).Methods(http.MethodPost)
	s.router.HandleFunc("/services/{route}", s.service)
	s.router.HandleFunc("/services/{route}/{path:.*}", s.service)
	s.router.NotFoundHandler = http.HandlerFunc(s.notFound)
	s.router.MethodNotAllowedHandler = http.HandlerFunc(s.notFound)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Serve serves requests on l until ctx ends, then shuts down gracefully: it
// returns when the requests in progress have finished.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.limits.HeaderTimeout.Duration(),
		MaxHeaderBytes:    s.limits.HeaderBytes,
		IdleTimeout:       time.Minute,
		ErrorLog:          slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
	}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopped <- server.Shutdown(context.WithoutCancel(ctx))
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready reports to the load balancer whether to send new requests.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, oleanderspool.Refuse(oleanderspool.RefusalUnknownRoute, "no such resource: "+r.Method+" "+r.URL.Path))
}
