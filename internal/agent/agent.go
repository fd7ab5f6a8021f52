// Package agent is the process beside a backend server. It carries the inputs
// and outputs of the state machines that decide: the table of attempts, the
// queue, the ledger of engine memory and the replayed configuration.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/order"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/queue"
	"github.com/oleanderspool/oleanderspool/internal/replica"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// Defaults of the options, in milliseconds unless stated otherwise.
const (
	DefaultHeartbeat      = oleanderspool.Second
	DefaultReportInterval = oleanderspool.Millis(500)
	DefaultEngineListLag  = oleanderspool.Second
	// DefaultMaxServiceCalls bounds the calls of a plain service at a time.
	DefaultMaxServiceCalls = 64
	// pumpInterval is how often the queue is asked for work without an event.
	pumpInterval = 50 * oleanderspool.Millis(1)
	// stopGrace is how long a stopped agent still answers readers after the
	// last attempt has ended, so that none loses the end of its answer.
	stopGrace = 200 * oleanderspool.Millis(1)
)

// Agent is one agent process. It is safe for concurrent use.
type Agent struct {
	identity     oleanderspool.BackendServer
	incarnation  oleanderspool.Incarnation
	engine       oleanderspool.Engine
	service      oleanderspool.Service
	clock        oleanderspool.Clock
	logger       *slog.Logger
	metrics      *observe.Metrics
	heartbeat    oleanderspool.Millis
	reportEvery  oleanderspool.Millis
	limits       attempt.Limits
	transfers    handover.Limits
	queueOptions []queue.Option
	maxCalls     int
	maxWork      int64 // prompt work that may wait, in tokens; 0 for no bound
	version      string
	artefacts    oleanderspool.WeightStore
	peers        *peer.Client
	entries      []string

	mu            sync.Mutex
	attempts      *attempt.Table
	queue         *queue.Queue
	ledger        *memory.Ledger
	planner       *order.Planner
	uses          map[oleanderspool.AttemptID]order.Artefact            // what running attempts use of the engine
	calls         map[oleanderspool.AttemptID]peer.RunCall              // attempts that have not ended
	same          map[oleanderspool.Fingerprint]oleanderspool.AttemptID // running prompts
	cancels       map[oleanderspool.AttemptID]context.CancelFunc        // attempts that the engine or service runs
	source        *handover.Source                                      // streams that leave
	target        *handover.Target                                      // streams that come
	imports       map[oleanderspool.AttemptID]*cacheImport              // caches that wait for their attempts to be handed to the engine
	unreadUntil   map[oleanderspool.AttemptID]oleanderspool.Millis      // whole answers that a reader may come back for after a transfer
	running       int                                                   // attempts that have not ended
	serviceCalls  int                                                   // calls of the plain service in progress
	leaving       bool
	watchers      int // open watch streams
	report        oleanderspool.EngineReport
	engineUp      bool // the last report was answered
	engineSlow    bool // it makes less progress than usual
	crashes       crashes
	changed       broadcast.Signal                  // state that Watch reports
	feeds         map[oleanderspool.AttemptID]*feed // attempts that are read
	configuration *replica.Replica
	base          context.Context // ends when the process gives up all work
	wake          chan struct{}   // asks for a look at the queue
	reorder       chan struct{}   // asks for a look at the engine's orders
}

// Option configures an [Agent].
type Option func(*Agent)

// WithEngine sets the engine beside the agent, for a model runner.
func WithEngine(e oleanderspool.Engine) Option {
	return func(a *Agent) { a.engine = e }
}

// WithService sets the plain service beside the agent and its routes, for an
// application runner.
func WithService(s oleanderspool.Service, routes ...oleanderspool.RouteID) Option {
	return func(a *Agent) {
		a.service = s
		a.identity.Role = oleanderspool.RoleService
		a.identity.Routes = routes
	}
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(a *Agent) { a.logger = l }
}

// WithMetrics sets the counters.
func WithMetrics(m *observe.Metrics) Option {
	return func(a *Agent) { a.metrics = m }
}

// WithHeartbeat sets the span between heartbeats on a stream, in milliseconds.
func WithHeartbeat(span oleanderspool.Millis) Option {
	return func(a *Agent) { a.heartbeat = span }
}

// WithAttemptLimits sets the limits of the table of attempts.
func WithAttemptLimits(l attempt.Limits) Option {
	return func(a *Agent) { a.limits = l }
}

// WithTransferLimits sets the limits of transfers of KV caches.
func WithTransferLimits(l handover.Limits) Option {
	return func(a *Agent) { a.transfers = l }
}

// WithQueueOptions sets options of the queue.
func WithQueueOptions(options ...queue.Option) Option {
	return func(a *Agent) { a.queueOptions = append(a.queueOptions, options...) }
}

// WithMaxQueuedPromptTokens bounds the prompt work that waits, in tokens; 0 means no bound.
func WithMaxQueuedPromptTokens(tokens int64) Option {
	return func(a *Agent) { a.maxWork = tokens }
}

// WithWeightStore sets the store that bounds how fast weights are loaded.
func WithWeightStore(s oleanderspool.WeightStore) Option {
	return func(a *Agent) { a.artefacts = s }
}

// WithEntryAddresses sets the IP numbers and ports of entries, which are asked for the
// configuration while none watches the agent.
func WithEntryAddresses(addresses ...string) Option {
	return func(a *Agent) { a.entries = addresses }
}

// WithVersion sets the program version that the status shows.
func WithVersion(version string) Option {
	return func(a *Agent) { a.version = version }
}

// New returns an agent of an instance in a data centre. It runs with Run.
func New(instance oleanderspool.InstanceID, dataCentre oleanderspool.DataCentreID, options ...Option) *Agent {
	a := &Agent{
		identity:    oleanderspool.BackendServer{Instance: instance, DataCentre: dataCentre},
		incarnation: newIncarnation(),
		clock:       clock.NewSystem(),
		logger:      slog.New(slog.DiscardHandler),
		metrics:     observe.New(),
		heartbeat:   DefaultHeartbeat,
		reportEvery: DefaultReportInterval,
		limits:      attempt.DefaultLimits,
		transfers:   handover.DefaultLimits,
		maxCalls:    DefaultMaxServiceCalls,
		peers:       peer.NewClient(),
		calls:       make(map[oleanderspool.AttemptID]peer.RunCall),
		same:        make(map[oleanderspool.Fingerprint]oleanderspool.AttemptID),
		cancels:     make(map[oleanderspool.AttemptID]context.CancelFunc),
		imports:     make(map[oleanderspool.AttemptID]*cacheImport),
		unreadUntil: make(map[oleanderspool.AttemptID]oleanderspool.Millis),
		feeds:       make(map[oleanderspool.AttemptID]*feed),
		wake:        make(chan struct{}, 1),
		reorder:     make(chan struct{}, 1),
		artefacts:   alwaysPermit{},
		uses:        make(map[oleanderspool.AttemptID]order.Artefact),
		planner:     order.NewPlanner(instance),
	}
	for _, o := range options {
		o(a)
	}
	a.identity.Incarnation = a.incarnation
	a.crashes.history = suspect.NewHistory(a.identity.Instance, a.incarnation)
	a.attempts = attempt.NewTable(a.incarnation, a.limits)
	a.source = handover.NewSource(a.transfers)
	a.target = handover.NewTarget(a.transfers)
	a.queue = queue.New(a.queueOptions...)
	a.ledger = memory.NewLedger(0, memory.WithListLag(DefaultEngineListLag))
	a.configuration = replica.New(a.logger, a.metrics, a.configured)
	return a
}

// newIncarnation returns a value that no other run of an agent has.
func newIncarnation() oleanderspool.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails
	return oleanderspool.Incarnation(hex.EncodeToString(b[:]))
}

// Incarnation returns the identity of this run.
func (a *Agent) Incarnation() oleanderspool.Incarnation {
	return a.incarnation
}

// Run serves calls on l until ctx ends, then refuses new work, finishes what
// runs and returns. The listener holds the instance's slot: a second agent
// cannot listen on the same address.
func (a *Agent) Run(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a.base = serving
	if a.engine != nil {
		a.adoptEngine(serving)
	}
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return peer.Serve(serving, l, &handler{Agent: a}, &handler{Agent: a}) })
	group.Go(func() error { clock.Every(serving, pumpInterval, a.wake, a.pump); return nil })
	group.Go(func() error { clock.Every(serving, a.reportEvery, nil, a.tick); return nil })
	group.Go(func() error { a.pullConfiguration(serving); return nil })
	if a.engine != nil {
		group.Go(func() error {
			clock.Every(serving, a.reportEvery, nil, func() { a.observeEngine(serving) })
			return nil
		})
		group.Go(func() error { a.runOrders(serving); return nil })
	}
	a.logger.Info("agent started", "instance", a.identity.Instance, "incarnation", a.incarnation)
	select {
	case <-ctx.Done():
		a.drain(serving)
	case <-serving.Done():
	}
	stop()
	err := group.Wait()
	a.logger.Info("agent stopped", "instance", a.identity.Instance)
	return err
}

// drain announces that the agent leaves and waits until nothing runs.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.source.Leave()
	a.changed.Notify()
	a.mu.Unlock()
	a.metrics.Changed("leaving")
	a.logger.Info("agent leaving", "instance", a.identity.Instance)
	for a.busy() {
		a.offerStream()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pumpInterval.Duration()):
		}
	}
	time.Sleep(stopGrace.Duration())
}

func (a *Agent) busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for id, until := range a.unreadUntil {
		if now >= until {
			delete(a.unreadUntil, id)
		}
	}
	return a.running > 0 || len(a.unreadUntil) > 0 || a.ledger.Owned(memory.OwnerGroup) > 0 || a.ledger.Owned(memory.OwnerImport) > 0
}

// tick forgets old attempts and stops work that nobody reads.
func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, id := range a.attempts.Tick(now) {
		a.stopWork(id)
		a.ended(id)
	}
	for _, id := range a.target.RemoveExpired(now) {
		a.endImport(id, handover.ReasonTimeout, now)
	}
}

// stopWork ends the work of an attempt that the table no longer runs.
func (a *Agent) stopWork(id oleanderspool.AttemptID) {
	a.queue.Cancel(id)
	if cancel, ok := a.cancels[id]; ok {
		if call, ok := a.calls[id]; ok {
			a.crashes.cancelled(call.Request.Fingerprint, a.clock.Now())
		}
		cancel()
	}
}

// ended notes that an attempt has ended and tells its readers.
func (a *Agent) ended(id oleanderspool.AttemptID) {
	call, ok := a.calls[id]
	if !ok {
		return
	}
	delete(a.calls, id)
	if a.same[call.Request.Fingerprint] == id {
		delete(a.same, call.Request.Fingerprint)
	}
	if used, ok := a.uses[id]; ok {
		a.planner.Release(used)
		delete(a.uses, id)
	}
	if a.source.Ended(id) {
		a.metrics.Transferred(observe.TransferExport, observe.TransferDone)
		if a.attempts.Pieces(id, math.MaxInt64).State == attempt.StateFinished {
			// It has no reader while the other server is to go on with it.
			a.unreadUntil[id] = a.clock.Now() + a.limits.ReaderTimeout
		}
	}
	a.dropCache(id)
	a.running--
	a.metrics.Ended()
	a.notify(id)
}

// fail ends an attempt with a refusal and tells its readers.
func (a *Agent) fail(id oleanderspool.AttemptID, refusal *oleanderspool.Refusal) {
	if a.attempts.Fail(id, refusal, a.clock.Now()) {
		a.metrics.Refused(refusal)
	}
	a.ended(id)
}

func (a *Agent) wakePump() {
	broadcast.Wake(a.wake)
}

// Revision returns the revision of the configuration in force.
func (a *Agent) Revision() oleanderspool.Revision {
	return a.configuration.Revision()
}

// Ready reports whether the agent takes new work.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.leaving && (a.engine == nil || a.engineUp)
}
