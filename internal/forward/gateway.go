// Package forward passes requests of callers on to backend servers and returns
// their answers. It decides how often a request is sent, and what its caller
// may be told when no complete answer came.
package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/backend"
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

// WithMetrics sets the counters.
func WithMetrics(metrics *observe.Metrics) Option {
	return func(g *Gateway) { g.metrics = metrics }
}

// WithInstance sets the name and the data centre of the entry.
func WithInstance(instance oleanderspool.InstanceID, dataCentre oleanderspool.DataCentreID) Option {
	return func(g *Gateway) { g.shared.name, g.dataCentre = instance, dataCentre }
}

// WithRetryBudget bounds the requests that all entries send once more to the
// servers of a service in ten seconds: a part of the requests for it, and a
// number in addition that the entries share.
func WithRetryBudget(ratio, extra float64) Option {
	return func(g *Gateway) { g.shared.ratio, g.shared.extra = ratio, extra }
}

// WithKeyFreshness sets how old the confirmation of a key may be when a request
// arrives; 0 means any age.
func WithKeyFreshness(limit oleanderspool.Millis) Option {
	return func(g *Gateway) { g.keyFreshness = limit }
}

// WithMemoryIdleTimeout sets how long memory of a backend server may be held without a
// request that uses it.
func WithMemoryIdleTimeout(limit oleanderspool.Millis) Option {
	return func(g *Gateway) { g.memoryIdle = limit }
}

// defaultMemoryIdle is the limit without the option.
const defaultMemoryIdle = 9 * oleanderspool.Second

// Gateway forwards requests. It is an [http.Handler].
type Gateway struct {
	view         *directory.View
	pool         *backend.Pool
	format       oleanderspool.ExchangeFormat
	clock        oleanderspool.Clock
	logger       *slog.Logger
	metrics      *observe.Metrics
	dataCentre   oleanderspool.DataCentreID
	keyFreshness oleanderspool.Millis
	memoryIdle   oleanderspool.Millis
	shared       *shared
	startedAt    oleanderspool.Millis
	stoppingAt   atomic.Int64 // instant; 0 while it does not stop
	running      atomic.Int64
}

// New returns a gateway that serves what the view contains.
func New(view *directory.View, format oleanderspool.ExchangeFormat, clock oleanderspool.Clock, options ...Option) *Gateway {
	entry := rand.Uint64() | 1 // 0 is no entry
	g := &Gateway{
		view: view, pool: backend.NewPool(clock), format: format, clock: clock,
		logger: slog.New(slog.DiscardHandler), metrics: observe.New(), memoryIdle: defaultMemoryIdle,
		startedAt: clock.Now(),
		shared: &shared{
			clock: clock, entry: entry, wake: func() {}, others: func() int { return 0 },
			rank: func() int { return 0 }, hear: func(directory.RegistryUpdate) {},
			board: placement.NewScheduler(placement.WithTieBreakSeed(entry)), crashes: newCrashLedger(), returns: newReturnLedger(),
			budgets: make(map[string]*retry.Budget), changed: make(map[placement.TaskID]bool),
		},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// State returns what the entry exchanges with the others.
func (g *Gateway) State() gossip.State {
	return g.shared
}

// Sharing returns what connects the follower of the registry with the others.
func (g *Gateway) Sharing() directory.Coordinator {
	return g.shared
}

// Entries is what the gateway needs to know of the other entries.
type Entries interface {
	// Wake announces a change of the state.
	Wake()
	// Alive returns the number of other entries.
	Alive() int
	// Rank returns the number of them that come before this one.
	Rank() int
}

// Connect sets the other entries, and what is done with their news of the registry.
// It is called before the first request.
func (g *Gateway) Connect(entries Entries, hear func(directory.RegistryUpdate)) {
	g.shared.wake, g.shared.others, g.shared.rank, g.shared.hear = entries.Wake, entries.Alive, entries.Rank, hear
}

// Run maintains the connections to backend servers until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	g.pool.Run(ctx)
}

// Ready reports whether the entry can serve: it knows a configuration, can
// confirm keys and does not stop. Callers are better off at an entry that does.
func (g *Gateway) Ready() bool {
	c := g.view.Snapshot().Configuration
	if g.stopping() || c == nil {
		return false
	}
	return !c.RequiresKeys() || !g.keysExpired(g.view.ConfirmationAge(g.clock.Now()))
}

// KeyMaxAge returns for how long after its confirmation a key is honoured; 0 means
// for any time.
func (g *Gateway) KeyMaxAge() oleanderspool.Millis {
	if g.keyFreshness == 0 {
		return 0
	}
	return max(1, g.keyFreshness-keyMargin)
}

// keysExpired reports whether keys that were confirmed a span ago can no longer
// be relied on.
func (g *Gateway) keysExpired(age oleanderspool.Millis) bool {
	return g.keyFreshness > 0 && age > g.KeyMaxAge()
}

// Stop makes the entry ask its callers to use other connections, and refuse new
// requests after a while.
func (g *Gateway) Stop() {
	g.stoppingAt.CompareAndSwap(0, int64(g.clock.Now()))
}

func (g *Gateway) stopping() bool {
	return g.stoppingAt.Load() != 0
}

// takeAfterStop is how long a stopping entry takes new requests. The load balancer
// has found out by then, and a request that is taken later may not end before
// the process is killed.
const takeAfterStop = 2500 * oleanderspool.Millis(1)

// closed reports whether the entry takes no requests any more.
func (g *Gateway) closed() bool {
	at := oleanderspool.Millis(g.stoppingAt.Load())
	return at != 0 && g.clock.Now()-at > takeAfterStop
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int {
	return int(g.running.Load())
}

// ServeHTTP implements [http.Handler].
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	t, refusal := g.admit(r)
	if refusal != nil {
		g.refuse(w, t, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), t.remaining().Duration())
	defer cancel()
	t.ctx = ctx
	if t.route.Kind == directory.KindStream {
		refusal = t.runStream(w)
	} else {
		refusal = t.runPlain(w)
	}
	if refusal != nil {
		g.refuse(w, t, refusal)
	}
}
