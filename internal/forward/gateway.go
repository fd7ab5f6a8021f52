// Package forward proxies requests of callers to backend servers and returns
// their answers. It decides which requests are retried, and what a caller
// receives when there is no complete answer.
package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/backend"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/clientconn"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

// Option configures a [Gateway].
type Option func(*Gateway)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(g *Gateway) { g.logger = logger }
}

// WithMetrics sets the metrics.
func WithMetrics(metrics *observe.Metrics) Option {
	return func(g *Gateway) { g.metrics = metrics }
}

// WithDataCentre sets the data centre of the entry.
func WithDataCentre(dataCentre oleanderspool.DataCentreID) Option {
	return func(g *Gateway) { g.dataCentre = dataCentre }
}

// WithRetryBudget bounds the retries to the servers of a service in ten
// seconds, over all entries: fraction is the part of its requests that may be
// retried, and reserve a constant number of additional retries that the entries
// share.
func WithRetryBudget(fraction, reserve float64) Option {
	return func(g *Gateway) { g.shared.retryFraction, g.shared.retryReserve = fraction, reserve }
}

// WithColdLimit bounds the requests that all entries together send to a server within
// one second: factor times the rate that a cold server of its service tolerates, plus
// slack. A factor of 0 means no limit.
func WithColdLimit(factor, slack float64) Option {
	return func(g *Gateway) { g.shared.coldLimits.factor, g.shared.coldLimits.slack = factor, slack }
}

// WithMaxKeyAge sets how long ago a key may have been confirmed when a
// request with it arrives; 0 means any time.
func WithMaxKeyAge(limit oleanderspool.Millis) Option {
	return func(g *Gateway) { g.maxKeyAge = limit }
}

// WithMemoryIdleTimeout sets how long memory of a backend server may stay
// reserved while no request uses it.
func WithMemoryIdleTimeout(limit oleanderspool.Millis) Option {
	return func(g *Gateway) { g.memoryIdleTimeout = limit }
}

// WithBufferMemory sets how many bytes of answers, and how many of bodies of requests,
// the entry holds in memory, over all requests. Small ones are not counted.
// [WithClientLimits] after it sets another bound for bodies.
func WithBufferMemory(bytes int64) Option {
	return func(g *Gateway) { g.buffers, g.limits.BodyMemory = buffer.NewBudget(bytes), bytes }
}

// WithClientLimits sets what clients may hold together.
func WithClientLimits(limits clientlimit.Limits) Option {
	return func(g *Gateway) { g.limits = limits }
}

// defaultBufferMemory applies without [WithBufferMemory].
const defaultBufferMemory = 64 << 20

// defaultMemoryIdleTimeout applies without [WithMemoryIdleTimeout].
const defaultMemoryIdleTimeout = 9 * oleanderspool.Second

// Gateway forwards requests. It is an [http.Handler].
type Gateway struct {
	view              *directory.View
	pool              *backend.Pool
	format            oleanderspool.ExchangeFormat
	clock             oleanderspool.Clock
	logger            *slog.Logger
	metrics           *observe.Metrics
	guard             *observe.Guard
	dataCentre        oleanderspool.DataCentreID
	maxKeyAge         oleanderspool.Millis
	memoryIdleTimeout oleanderspool.Millis
	quarantineStore   oleanderspool.QuarantineStore // nil for none
	buffers           *buffer.Budget
	limits            clientlimit.Limits
	tally             *observe.Tally
	lines             *observe.LineLimit // of lines that clients cause
	bodies            *bodies
	shared            *sharedState
	startedAt         oleanderspool.Millis
	stoppingAt        atomic.Int64    // instant of Stop; 0 before it
	ended             context.Context // ends with endRequests
	endRequests       context.CancelFunc
	inFlight          atomic.Int64
}

// New returns a gateway for the routes and servers in the view.
func New(view *directory.View, format oleanderspool.ExchangeFormat, clock oleanderspool.Clock, options ...Option) *Gateway {
	entry := rand.Uint64() | 1 // 0 means no entry
	g := &Gateway{
		view: view, format: format, clock: clock,
		logger: slog.New(slog.DiscardHandler), metrics: observe.NewMetrics(), memoryIdleTimeout: defaultMemoryIdleTimeout,
		startedAt: clock.Now(), buffers: buffer.NewBudget(defaultBufferMemory),
		limits: clientlimit.ForInstance(0, 0),
		shared: &sharedState{
			clock: clock, entry: entry, peers: noPeers{},
			onRegistryUpdate: func(directory.RegistryUpdate) {}, onConfirmation: func(directory.Confirmation) {},
			scheduler: placement.NewScheduler(placement.WithTieBreakSeed(entry)), exclusions: placement.NewExclusions(), crashes: newCrashExchange(), refusals: newRefusalTracker(),
			coldLimits: newColdLimits(entry, clock.Now()),
			budgets:    make(map[string]*retry.Budget), changed: make(map[placement.TaskID]bool),
			changedQuarantine: make(chan struct{}, 1), unsaved: make(map[oleanderspool.Fingerprint]pendingSave),
		},
	}
	g.ended, g.endRequests = context.WithCancel(context.Background())
	for _, o := range options {
		o(g)
	}
	for _, cause := range placement.RefusalCauses {
		g.metrics.DeclareOverloadCauses(string(cause))
	}
	g.guard = observe.NewGuard(g.logger, g.metrics)
	g.tally = observe.NewTally(clock, g.logger, g.metrics, "client limit reached")
	g.lines = observe.NewLineLimit(clock, g.tally)
	g.bodies = newBodies(g.limits, clock, g.tally)
	g.shared.onQuarantine = g.reportQuarantine
	g.shared.onLinkChange = g.reportLinkChange
	g.pool = backend.NewPool(clock, backend.WithObserver(g.observeAnswer), backend.WithBudget(g.buffers), backend.WithMaxConnections(g.limits.BackendConnections))
	return g
}

// observeAnswer records what a server says of itself in the header of an answer. It
// applies at once, also to requests that were placed before, and to this entry only:
// each entry gets answers of its own.
func (g *Gateway) observeAnswer(s directory.Server, id oleanderspool.RequestID, answer oleanderspool.AnswerHeader) {
	for _, name := range answer.Invalid {
		g.metrics.StateChanged("invalid_answer_header")
		g.logger.Warn("invalid header of an answer ignored", "request_id", id, "instance", s.Instance, "started", s.Started, "header", name)
	}
	if answer.Leaving && g.shared.recordLeaving(s.Run()) {
		g.metrics.StateChanged("server_leaving")
		g.logger.Info("server leaving", "request_id", id, "instance", s.Instance, "started", s.Started, "cause", "answer")
	}
	if answer.ColdRemaining > 0 && g.shared.recordCold(s.Run(), answer.ColdRemaining) {
		g.metrics.StateChanged("server_cold")
		g.logger.Info("server cold", "request_id", id, "instance", s.Instance, "started", s.Started, "cold_ms", int64(answer.ColdRemaining), "cause", "answer")
	}
	if answer.RetryAfter > 0 && g.shared.recordPause(s.Run(), answer.RetryAfter) {
		g.metrics.StateChanged("server_paused")
		g.logger.Info("server asked for time", "request_id", id, "instance", s.Instance, "started", s.Started, "retry_after_ms", int64(answer.RetryAfter))
	}
}

// reportLinkChange counts and logs that a link to a data centre degrades or recovers.
func (g *Gateway) reportLinkChange(c placement.LinkChange) {
	change, message := "data_centre_link_recovered", "data centre link recovered"
	if c.Degraded {
		change, message = "data_centre_link_degraded", "data centre link degraded"
	}
	g.metrics.StateChanged(change)
	g.logger.Warn(message, "data_centre", c.DataCentre, "lost", c.Lost)
}

// State returns the state that the entry exchanges with the other entries.
func (g *Gateway) State() gossip.State {
	return g.shared
}

// Coordinator returns the coordinator of the registry reads of all entries.
func (g *Gateway) Coordinator() directory.Coordinator {
	return g.shared
}

// Peers gives access to the other entries.
type Peers interface {
	// Wake triggers the distribution of a changed state.
	Wake()
	// LivePeers returns the number of other entries that are reachable.
	LivePeers() int
	// Rank returns the number of other entries that precede this one in their
	// common order.
	Rank() int
	// IsRelay reports whether no other entry confirms the configuration to this one.
	IsRelay() bool
	// HasSubscribers reports whether this entry confirms it to others.
	HasSubscribers() bool
	// ConfirmConfiguration confirms to these the configuration before an offset as of
	// an instant.
	ConfirmConfiguration(at oleanderspool.Millis, next oleanderspool.Offset)
}

// noPeers are the peers of a single entry.
type noPeers struct{}

func (noPeers) Wake() {}

func (noPeers) LivePeers() int { return 0 }

func (noPeers) Rank() int { return 0 }

func (noPeers) IsRelay() bool { return true }

func (noPeers) HasSubscribers() bool { return false }

func (noPeers) ConfirmConfiguration(oleanderspool.Millis, oleanderspool.Offset) {}

// SetPeers sets the other entries, and the functions that receive their updates of
// the registry and their confirmations of the configuration. It is called before
// the first request.
func (g *Gateway) SetPeers(peers Peers, onRegistryUpdate func(directory.RegistryUpdate), onConfirmation func(directory.Confirmation)) {
	g.shared.peers, g.shared.onRegistryUpdate, g.shared.onConfirmation = peers, onRegistryUpdate, onConfirmation
}

// Run maintains the connections to backend servers and the quarantined parts until ctx
// ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.runQuarantineStore(ctx)
	g.pool.Run(ctx)
}

// Ready reports whether the entry can serve: it has a configuration, its
// confirmation of keys is recent enough, it may send requests to all services, and it
// is not stopping. A load balancer should prefer such an entry.
func (g *Gateway) Ready() bool {
	c := g.view.Snapshot().Configuration
	if g.stopping() || c == nil || c.LimitsColdServers() && g.shared.coldLimits.opensIn(g.clock.Now()) > 0 {
		return false
	}
	return !c.RequiresKeys() || !g.keysExpired(g.view.ConfirmationAge(g.clock.Now()))
}

// EffectiveMaxKeyAge returns for how long after its confirmation a key is
// accepted; 0 means for any time.
func (g *Gateway) EffectiveMaxKeyAge() oleanderspool.Millis {
	if g.maxKeyAge == 0 {
		return 0
	}
	return max(1, g.maxKeyAge-keyAgeMargin)
}

// keysExpired reports whether keys that were last confirmed this long ago are
// no longer accepted.
func (g *Gateway) keysExpired(age oleanderspool.Millis) bool {
	return g.maxKeyAge > 0 && age > g.EffectiveMaxKeyAge()
}

// Stop makes the entry ask its callers to close their connections, and refuse
// new requests after acceptAfterStop.
func (g *Gateway) Stop() {
	g.stoppingAt.CompareAndSwap(0, int64(g.clock.Now()))
}

func (g *Gateway) stopping() bool {
	return g.stoppingAt.Load() != 0
}

// acceptAfterStop is how long a stopping entry accepts new requests. By then
// the load balancer has noticed the stop, and a request that is accepted later
// may not end before the process is killed.
const acceptAfterStop = 2500 * oleanderspool.Millis(1)

// EndRequests ends the requests in progress: each caller without a part of its answer
// gets a refusal that says whether the request may have run.
func (g *Gateway) EndRequests() {
	g.endRequests()
}

// refusesNew reports whether the entry no longer accepts new requests, nor sends
// accepted ones that no backend server has received.
func (g *Gateway) refusesNew() bool {
	at := oleanderspool.Millis(g.stoppingAt.Load())
	return at != 0 && g.clock.Now()-at > acceptAfterStop
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// ServeHTTP implements [http.Handler].
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	if conn := clientconn.FromContext(r.Context()); conn != nil {
		defer conn.EndRequest()
	}
	answer := &callerAnswer{ResponseWriter: w}
	t, refusal := g.admit(answer, r)
	defer t.resetBody()
	defer t.recoverPanic()
	if refusal == nil {
		refusal = t.run(answer)
	}
	if refusal != nil {
		g.refuse(answer, t, refusal)
	}
	g.endAnswer(answer, t)
}

// run sends an admitted request to backend servers and answers it, or returns a refusal.
func (t *transaction) run(answer *callerAnswer) *oleanderspool.Refusal {
	ctx, cancel := context.WithTimeout(t.request.Context(), t.remaining().Duration())
	defer cancel()
	defer context.AfterFunc(t.gateway.ended, cancel)()
	t.ctx = ctx
	answer.limitWrites(t.remaining() + ownAnswerTimeout)
	t.awaitColdLimit()
	if t.route.Kind == directory.KindStream {
		return t.runStream(answer)
	}
	return t.runPlain(answer)
}
