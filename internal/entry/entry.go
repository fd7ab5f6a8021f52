// Package entry implements the process that serves callers. It performs the I/O
// for the state machines that make the decisions: admission, routing, retries,
// claims, suspects, membership and the replicated configuration.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/admission"
	"github.com/oleanderspool/oleanderspool/internal/claim"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/replica"
	"github.com/oleanderspool/oleanderspool/internal/retry"
	"github.com/oleanderspool/oleanderspool/internal/routing"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Defaults of the options, in milliseconds unless stated otherwise.
const (
	// DefaultWatchLimit bounds the agents that an entry watches. At one report
	// a second and 115 to 124 bytes each, reports take 4.6 to 5.0 KB/s of the
	// 6 KB/s for control traffic; at 500 ms they would take 9.2 to 9.9 KB/s.
	DefaultWatchLimit    = 40
	DefaultWatchInterval = oleanderspool.Second
	// DefaultKeyLifetime must be at most half of the log's retention.
	DefaultKeyLifetime = 24 * oleanderspool.Hour
	// DefaultDrainDelay is how long a stopping entry still accepts requests, so
	// that the platform's load balancer sees that it is not ready.
	DefaultDrainDelay = 2 * oleanderspool.Second
	// maxClaims bounds the claims in memory.
	maxClaims = 1_000_000
	// membershipTick is well below the time after which an agent is suspected.
	membershipTick = 200 * oleanderspool.Millis(1)
)

// Entry is one entry process. It is safe for concurrent use.
type Entry struct {
	instance       oleanderspool.InstanceID
	dataCentre     oleanderspool.DataCentreID
	clock          oleanderspool.Clock
	logger         *slog.Logger
	metrics        *observe.Metrics
	log            oleanderspool.Log
	list           oleanderspool.InstanceList
	watchLimit     int
	reportInterval oleanderspool.Millis
	listBudget     int // bytes per second
	keyLifetime    oleanderspool.Millis
	retention      oleanderspool.Millis
	peerAddresses  []string
	drainDelay     oleanderspool.Millis
	version        string
	distances      map[oleanderspool.DataCentreID]float64
	budget         *retry.Budget

	peers         *peer.Client
	router        *routing.Router
	claims        *claimLog
	suspects      *suspectTracker
	configuration *replica.Replica
	applied       configuration.Configuration // used by configured only, one call at a time
	stopping      atomic.Bool                 // not ready, so that the load balancer stops sending requests
	closed        atomic.Bool                 // new requests are refused

	mu        sync.Mutex // guards the state machines below
	admission *admission.Controller
	retries   *retry.Policy

	members memberTracker
}

// Option configures an [Entry].
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(e *Entry) { e.logger = l }
}

// WithMetrics sets the counters.
func WithMetrics(m *observe.Metrics) Option {
	return func(e *Entry) { e.metrics = m }
}

// WithWatchLimit bounds the agents that the entry watches.
func WithWatchLimit(agents int) Option {
	return func(e *Entry) { e.watchLimit = agents }
}

// WithListBudget sets how much traffic the entry spends on the platform's
// instance list, in bytes per second.
func WithListBudget(bytesPerSecond int) Option {
	return func(e *Entry) { e.listBudget = bytesPerSecond }
}

// WithKeyLifetime sets how long an idempotency key is valid, in milliseconds.
// It must be at most half of the log's retention.
func WithKeyLifetime(d oleanderspool.Millis) Option {
	return func(e *Entry) { e.keyLifetime = d }
}

// WithRetention sets how long the log keeps records, in milliseconds.
func WithRetention(d oleanderspool.Millis) Option {
	return func(e *Entry) { e.retention = d }
}

// WithPeers sets the IP addresses and ports of other entries, from which the
// configuration is fetched while the log is down.
func WithPeers(addresses ...string) Option {
	return func(e *Entry) { e.peerAddresses = addresses }
}

// WithDrainDelay sets how long a stopping entry still accepts requests, in
// milliseconds.
func WithDrainDelay(d oleanderspool.Millis) Option {
	return func(e *Entry) { e.drainDelay = d }
}

// WithRetryBudget sets the budget of retries.
func WithRetryBudget(b *retry.Budget) Option {
	return func(e *Entry) { e.budget = b }
}

// WithVersion sets the program version that the status reports.
func WithVersion(version string) Option {
	return func(e *Entry) { e.version = version }
}

// New returns an entry of an instance in a data centre that uses the
// platform's log and instance list. Run starts it.
func New(instance oleanderspool.InstanceID, dataCentre oleanderspool.DataCentreID, log oleanderspool.Log, list oleanderspool.InstanceList, options ...Option) *Entry {
	e := &Entry{
		instance:       instance,
		dataCentre:     dataCentre,
		log:            log,
		list:           list,
		clock:          clock.NewSystem(),
		logger:         slog.New(slog.DiscardHandler),
		metrics:        observe.NewMetrics(),
		watchLimit:     DefaultWatchLimit,
		reportInterval: DefaultWatchInterval,
		listBudget:     membership.DefaultListBudget,
		keyLifetime:    DefaultKeyLifetime,
		retention:      2 * DefaultKeyLifetime,
		drainDelay:     DefaultDrainDelay,
		budget:         retry.NewBudget(retry.DefaultBudgetFraction, retry.DefaultBudgetReserve),
		peers:          peer.NewClient(),
		admission:      admission.New(),
	}
	for _, o := range options {
		o(e)
	}
	e.retries = retry.New(retry.WithBudget(e.budget), retry.WithSeed(randomSeed()))
	e.configuration = replica.New(e.logger, e.metrics, e.applyConfiguration)
	e.claims = newClaimLog(e.log, e.clock, e.metrics, claim.Limits{KeyLifetime: e.keyLifetime, MaxClaims: maxClaims})
	e.suspects = newSuspectTracker(e)
	e.members = newMemberTracker(e, membership.NewList(e.instance, randomSeed()|1, membership.WithListBudget(e.listBudget)))
	e.router = routing.NewRouter(routing.WithSets(e.serverSet), routing.WithLatencies(e.distances), routing.WithSeed(randomSeed()))
	return e
}

// Run follows the log, the instance list and the agents' reports, and serves
// peers on l. It returns after ctx has ended and the requests in progress have
// finished.
func (e *Entry) Run(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return peer.Serve(serving, l, &handler{entry: e}, nil) })
	group.Go(func() error { e.followConfiguration(serving); return nil })
	group.Go(func() error { e.claims.read(serving); return nil })
	group.Go(func() error { e.claims.append(serving); return nil })
	group.Go(func() error { e.suspects.read(serving); return nil })
	group.Go(func() error { e.suspects.append(serving); return nil })
	group.Go(func() error { e.members.run(serving); return nil })
	e.logger.Info("entry started", "instance", e.instance)
	select {
	case <-ctx.Done():
		e.drain(serving)
	case <-serving.Done():
	}
	stop()
	err := group.Wait()
	e.logger.Info("entry stopped", "instance", e.instance)
	return err
}

// drain waits for the drain delay, in which the load balancer sees that the entry
// is not ready, and then for the requests in progress.
func (e *Entry) drain(ctx context.Context) {
	e.stopping.Store(true)
	e.metrics.StateChanged("leaving")
	e.logger.Info("entry draining", "instance", e.instance)
	clock.Sleep(ctx, e.drainDelay)
	e.closed.Store(true)
	for e.inProgress() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, membershipTick)
	}
}

func (e *Entry) inProgress() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests, _ := e.admission.InProgress()
	return requests
}

// Ready reports whether the entry can serve: it has a configuration, its agents
// have reported or had the time to, and it is not stopping.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.configuration.Revision() > 0 && e.members.warmedUp.Load()
}

// Accepting reports whether new requests are served. A stopping entry serves
// them until the load balancer has had the time to see that it is not ready.
func (e *Entry) Accepting() bool {
	return !e.closed.Load() && e.configuration.Revision() > 0
}

// serverSet returns the set of backend servers that serves a request.
func (e *Entry) serverSet(r oleanderspool.Request) (oleanderspool.ServerSetID, bool) {
	c := e.Configuration()
	if r.Kind == oleanderspool.KindService {
		route, ok := c.ServiceRoute(r.Route)
		return route.Set, ok
	}
	model, ok := c.Model(r.Model)
	return model.Set, ok
}

// uniqueID returns a random value that no other process generates.
func uniqueID() string {
	var b [9]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails
	return hex.EncodeToString(b[:])
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	seed := uint64(0)
	for _, v := range b {
		seed = seed<<8 | uint64(v)
	}
	return seed
}

// Revision returns the revision of the configuration in force.
func (e *Entry) Revision() oleanderspool.Revision {
	return e.configuration.Revision()
}
