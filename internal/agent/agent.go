// Package agent implements the process that runs beside each backend server. It
// performs the input and output for the state machines that make the decisions:
// the attempt table, the request queue, the ledger of engine memory and the
// replica of the configuration.
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
	// DefaultMaxServiceCalls limits the concurrent calls of a plain service.
	DefaultMaxServiceCalls = 64
	// dispatchInterval is how often the queue is checked for work to dispatch when
	// no event triggers a check.
	dispatchInterval = 50 * oleanderspool.Millis(1)
	// shutdownGrace is how long a stopping agent still serves readers after the
	// last attempt has ended, so that no reader loses the end of its answer.
	shutdownGrace = 200 * oleanderspool.Millis(1)
)

// Agent is one agent process. It is safe for concurrent use.
type Agent struct {
	identity              oleanderspool.BackendServer
	incarnation           oleanderspool.Incarnation
	engine                oleanderspool.Engine
	service               oleanderspool.Service
	clock                 oleanderspool.Clock
	logger                *slog.Logger
	metrics               *observe.Metrics
	heartbeat             oleanderspool.Millis
	reportInterval        oleanderspool.Millis
	attemptLimits         attempt.Limits
	transferLimits        handover.Limits
	queueOptions          []queue.Option
	maxServiceCalls       int
	maxQueuedPromptTokens int64 // most prompt tokens in the queue; 0 for no limit
	version               string
	weightStore           oleanderspool.WeightStore
	peers                 *peer.Client
	entryAddresses        []string

	mu               sync.Mutex
	attempts         *attempt.Table
	queue            *queue.Queue
	ledger           *memory.Ledger
	planner          *order.Planner
	artefacts        map[oleanderspool.AttemptID]order.Artefact            // model and adapter that each running attempt uses
	calls            map[oleanderspool.AttemptID]peer.RunCall              // attempts that have not ended
	byFingerprint    map[oleanderspool.Fingerprint]oleanderspool.AttemptID // running attempts that can be resumed, by the fingerprint of the prompt
	cancels          map[oleanderspool.AttemptID]context.CancelFunc        // cancel functions of the attempts that the engine or service runs
	source           *handover.Source                                      // decides which streams to move to other agents
	target           *handover.Target                                      // tracks the streams moved here from other agents
	imports          map[oleanderspool.AttemptID]*cacheImport              // imported KV caches whose attempts have not been handed to the engine
	awaitReaderUntil map[oleanderspool.AttemptID]oleanderspool.Millis      // until when drain waits for a reader of an answer that finished after its KV cache was exported
	readBeforeEnd    map[oleanderspool.AttemptID]bool                      // attempts that have not ended and whose finished answer was read in full
	running          int                                                   // attempts that have not ended
	serviceCalls     int                                                   // calls of the plain service that are in progress
	leaving          bool
	watchers         int // open watch streams
	report           oleanderspool.EngineReport
	engineUp         bool // the engine answered the last request for a report
	engineSlow       bool // the engine makes less progress than usual
	crashes          crashRecord
	changed          broadcast.Signal                            // signals a change of the state that Watch reports
	readers          map[oleanderspool.AttemptID]*attemptReaders // readers of each attempt that has any
	configuration    *replica.Replica
	baseContext      context.Context // ends when the process abandons all work
	wakeQueue        chan struct{}   // triggers a check of the queue
	wakePlanner      chan struct{}   // triggers a check for engine orders
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

// WithMetrics sets the metrics.
func WithMetrics(m *observe.Metrics) Option {
	return func(a *Agent) { a.metrics = m }
}

// WithHeartbeat sets the interval between heartbeats on a stream, in milliseconds.
func WithHeartbeat(interval oleanderspool.Millis) Option {
	return func(a *Agent) { a.heartbeat = interval }
}

// WithAttemptLimits sets the limits of the attempt table.
func WithAttemptLimits(l attempt.Limits) Option {
	return func(a *Agent) { a.attemptLimits = l }
}

// WithTransferLimits sets the limits of KV cache transfers.
func WithTransferLimits(l handover.Limits) Option {
	return func(a *Agent) { a.transferLimits = l }
}

// WithQueueOptions sets options of the queue.
func WithQueueOptions(options ...queue.Option) Option {
	return func(a *Agent) { a.queueOptions = append(a.queueOptions, options...) }
}

// WithMaxQueuedPromptTokens limits the prompt tokens in the queue; 0 means no
// limit.
func WithMaxQueuedPromptTokens(tokens int64) Option {
	return func(a *Agent) { a.maxQueuedPromptTokens = tokens }
}

// WithWeightStore sets the store whose permits limit how fast weights are loaded.
func WithWeightStore(s oleanderspool.WeightStore) Option {
	return func(a *Agent) { a.weightStore = s }
}

// WithEntryAddresses sets the addresses (IP:port) of the entries from which the
// agent pulls the configuration while no entry watches it.
func WithEntryAddresses(addresses ...string) Option {
	return func(a *Agent) { a.entryAddresses = addresses }
}

// WithVersion sets the program version that Status reports.
func WithVersion(version string) Option {
	return func(a *Agent) { a.version = version }
}

// New returns the agent of an instance in a data centre. Run starts it.
func New(instance oleanderspool.InstanceID, dataCentre oleanderspool.DataCentreID, options ...Option) *Agent {
	a := &Agent{
		identity:         oleanderspool.BackendServer{Instance: instance, DataCentre: dataCentre},
		incarnation:      newIncarnation(),
		clock:            clock.NewSystem(),
		logger:           slog.New(slog.DiscardHandler),
		metrics:          observe.NewMetrics(),
		heartbeat:        DefaultHeartbeat,
		reportInterval:   DefaultReportInterval,
		attemptLimits:    attempt.DefaultLimits,
		transferLimits:   handover.DefaultLimits,
		maxServiceCalls:  DefaultMaxServiceCalls,
		peers:            peer.NewClient(),
		calls:            make(map[oleanderspool.AttemptID]peer.RunCall),
		byFingerprint:    make(map[oleanderspool.Fingerprint]oleanderspool.AttemptID),
		cancels:          make(map[oleanderspool.AttemptID]context.CancelFunc),
		imports:          make(map[oleanderspool.AttemptID]*cacheImport),
		awaitReaderUntil: make(map[oleanderspool.AttemptID]oleanderspool.Millis),
		readBeforeEnd:    make(map[oleanderspool.AttemptID]bool),
		readers:          make(map[oleanderspool.AttemptID]*attemptReaders),
		wakeQueue:        make(chan struct{}, 1),
		wakePlanner:      make(chan struct{}, 1),
		weightStore:      alwaysPermit{},
		artefacts:        make(map[oleanderspool.AttemptID]order.Artefact),
		planner:          order.NewPlanner(instance),
	}
	for _, o := range options {
		o(a)
	}
	a.identity.Incarnation = a.incarnation
	a.crashes.history = suspect.NewHistory(a.identity.Instance, a.incarnation)
	a.attempts = attempt.NewTable(a.incarnation, a.attemptLimits)
	a.source = handover.NewSource(a.transferLimits)
	a.target = handover.NewTarget(a.transferLimits)
	a.queue = queue.New(a.queueOptions...)
	a.ledger = memory.NewLedger(0, memory.WithListLag(DefaultEngineListLag))
	a.configuration = replica.New(a.logger, a.metrics, a.applyConfiguration)
	return a
}

// newIncarnation returns a random value that identifies one run of an agent.
func newIncarnation() oleanderspool.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails
	return oleanderspool.Incarnation(hex.EncodeToString(b[:]))
}

// Incarnation returns the identifier of this run of the agent.
func (a *Agent) Incarnation() oleanderspool.Incarnation {
	return a.incarnation
}

// Run serves calls on l until ctx ends, then refuses new work, finishes the
// running attempts and returns. The listener also ensures that only one agent
// runs per instance: a second one cannot listen on the same address.
func (a *Agent) Run(ctx context.Context, l net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a.baseContext = serving
	if a.engine != nil {
		a.adoptEngine(serving)
	}
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return peer.Serve(serving, l, &handler{Agent: a}, &handler{Agent: a}) })
	group.Go(func() error { clock.Every(serving, dispatchInterval, a.wakeQueue, a.dispatchQueue); return nil })
	group.Go(func() error { clock.Every(serving, a.reportInterval, nil, a.removeExpired); return nil })
	group.Go(func() error { a.pullConfiguration(serving); return nil })
	if a.engine != nil {
		group.Go(func() error {
			clock.Every(serving, a.reportInterval, nil, func() { a.observeEngine(serving) })
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

// drain announces that the agent is leaving, offers its streams to other agents
// and waits until no work is left.
func (a *Agent) drain(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.source.Leave()
	a.changed.Notify()
	a.mu.Unlock()
	a.metrics.StateChanged("leaving")
	a.logger.Info("agent leaving", "instance", a.identity.Instance)
	for a.busy() {
		a.offerStream()
		select {
		case <-ctx.Done():
			return
		case <-time.After(dispatchInterval.Duration()):
		}
	}
	time.Sleep(shutdownGrace.Duration())
}

// busy reports whether an attempt runs, a reader is awaited or memory is reserved
// for a group or an import.
func (a *Agent) busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for id, until := range a.awaitReaderUntil {
		if now >= until {
			delete(a.awaitReaderUntil, id)
		}
	}
	return a.running > 0 || len(a.awaitReaderUntil) > 0 || a.ledger.ReservedFor(memory.PurposeGroup) > 0 || a.ledger.ReservedFor(memory.PurposeImport) > 0
}

// removeExpired removes old attempts and expired imports, and stops the work of
// attempts that have lost their readers.
func (a *Agent) removeExpired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, id := range a.attempts.Tick(now) {
		a.stopWork(id)
		a.endAttempt(id)
	}
	for _, id := range a.target.RemoveExpired(now) {
		a.endImport(id, handover.ReasonTimeout, now)
	}
}

// stopWork removes an attempt from the queue or cancels it on the engine or
// service, after the attempt table has ended it.
func (a *Agent) stopWork(id oleanderspool.AttemptID) {
	a.queue.Cancel(id)
	if cancel, ok := a.cancels[id]; ok {
		if call, ok := a.calls[id]; ok {
			a.crashes.addCancellation(call.Request.Fingerprint, a.clock.Now())
		}
		cancel()
	}
}

// endAttempt releases what an ended attempt held and wakes its readers.
func (a *Agent) endAttempt(id oleanderspool.AttemptID) {
	call, ok := a.calls[id]
	if !ok {
		return
	}
	delete(a.calls, id)
	if a.byFingerprint[call.Request.Fingerprint] == id {
		delete(a.byFingerprint, call.Request.Fingerprint)
	}
	if artefact, ok := a.artefacts[id]; ok {
		a.planner.Release(artefact)
		delete(a.artefacts, id)
	}
	if a.source.Ended(id) {
		a.metrics.Transferred(observe.TransferExport, observe.TransferDone)
		if !a.readBeforeEnd[id] && a.attempts.Pieces(id, math.MaxInt64).State == attempt.StateFinished {
			// It has no reader while another backend server is expected to
			// continue it, but a reader may still come back for the answer.
			a.awaitReaderUntil[id] = a.clock.Now() + a.attemptLimits.ReaderTimeout
		}
	}
	delete(a.readBeforeEnd, id)
	a.releaseClaimedImport(id)
	a.running--
	a.metrics.Ended()
	a.notifyReaders(id)
}

// failAttempt ends an attempt with a refusal and wakes its readers.
func (a *Agent) failAttempt(id oleanderspool.AttemptID, refusal *oleanderspool.Refusal) {
	if a.attempts.Fail(id, refusal, a.clock.Now()) {
		a.metrics.Refused(refusal)
	}
	a.endAttempt(id)
}

// wakeDispatch triggers a check of the queue.
func (a *Agent) wakeDispatch() {
	broadcast.Wake(a.wakeQueue)
}

// Revision returns the revision of the configuration in force.
func (a *Agent) Revision() oleanderspool.Revision {
	return a.configuration.Revision()
}

// Ready reports whether the agent accepts new work.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.leaving && (a.engine == nil || a.engineUp)
}
