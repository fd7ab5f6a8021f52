package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/agent"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/engine"
	"github.com/oleanderspool/oleanderspool/internal/entry"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/service"
	standengine "github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	standplatform "github.com/oleanderspool/oleanderspool/internal/standin/platform"
	standservice "github.com/oleanderspool/oleanderspool/internal/standin/service"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	model   = "ledger-model"
	account = "crew-leads"
	// readerTimeout is the shortest timeout in which a reader can replace a dead
	// connection on a busy machine.
	readerTimeout = attempt.MinReaderTimeout + oleanderspool.Second
	// pollInterval is how often a condition is checked.
	pollInterval = 5 * time.Millisecond
	// eventualTimeout bounds the wait for a condition without a limit of its own.
	eventualTimeout = 15 * time.Second
)

// processes are the entries and agents of all harnesses. A test does not wait for
// them to stop, which takes each agent 0.2 s; the suite does.
var processes errgroup.Group

var _ = AfterSuite(func() {
	stopped := make(chan error, 1)
	go func() { stopped <- processes.Wait() }()
	Eventually(stopped, eventualTimeout).Should(Receive(BeNil()))
})

// runner is an agent with its backend server and the relays of their links.
type runner struct {
	id         oleanderspool.InstanceID
	engine     *standengine.Engine
	service    *standservice.Service
	agent      *agent.Agent
	metrics    *observe.Metrics // of the agent
	frontRelay *link.Relay      // from the entry to the agent
	backRelay  *link.Relay      // from the agent to the engine or service
	stop       context.CancelFunc
	stopped    chan struct{}
}

// harness runs an entry and agents in one process, with a relay on every link.
type harness struct {
	platform *standplatform.Platform
	client   *platform.Client
	runners  []*runner
	list     []oleanderspool.InstanceState
	entry    *entry.Entry
	stop     context.CancelFunc // of the entry
	metrics  *observe.Metrics
}

// harnessConfig describes what a harness runs.
type harnessConfig struct {
	engines  int
	services int
	options  []standengine.Option
	agents   []agent.Option
	scripts  []script // scripted agents
	absent   int      // entries that are listed and do not run
}

// newHarness starts a harness and waits until its entry knows every runner.
func newHarness(p harnessConfig) *harness {
	h := &harness{platform: standplatform.New(standplatform.WithInstanceLag(0)), metrics: observe.NewMetrics()}
	h.client = platform.NewClient(startServer(h.platform))
	for range p.engines {
		h.startEngine(p.options, p.agents...)
	}
	for range p.services {
		h.startService()
	}
	for _, run := range p.scripts {
		h.startScript(run)
	}
	for i := range p.absent {
		h.list = append(h.list, oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(fmt.Sprintf("absent-%d", i+1)), DataCentre: "dc-a", Address: "127.0.0.1:1", Role: "entry"})
	}
	h.platform.SetInstances(h.list)
	h.publish()
	h.startEntry()
	h.waitUntilReady()
	return h
}

func startServer(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func newRelay(address string) *link.Relay {
	r, err := link.New(address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	return r
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

func (h *harness) startEngine(options []standengine.Option, agents ...agent.Option) {
	options = append([]standengine.Option{standengine.WithModels(model), standengine.WithReportInterval(20)}, options...)
	e := standengine.New(options...)
	DeferCleanup(e.Close)
	r := &runner{id: oleanderspool.InstanceID(fmt.Sprintf("runner-%d", len(h.runners)+1)), engine: e, backRelay: newRelay(startServer(e))}
	h.startAgent(r, "model", append(agents, agent.WithEngine(engine.NewClient(r.backRelay.Address())))...)
}

func (h *harness) startService() {
	s := standservice.New()
	r := &runner{id: oleanderspool.InstanceID(fmt.Sprintf("services-%d", len(h.runners)+1)), service: s, backRelay: newRelay(startServer(s))}
	h.startAgent(r, "service", agent.WithService(service.NewClient(r.backRelay.Address()), "pegs", "stock"))
}

func (h *harness) startAgent(r *runner, role string, options ...agent.Option) {
	limits := attempt.DefaultLimits
	limits.ReaderTimeout = readerTimeout
	r.metrics = observe.NewMetrics()
	options = append(options, agent.WithAttemptLimits(limits), agent.WithMetrics(r.metrics))
	r.agent = agent.New(r.id, "dc-a", options...)
	l := listen()
	r.frontRelay = newRelay(l.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.stopped = stop, make(chan struct{})
	processes.Go(func() error {
		defer close(r.stopped)
		return r.agent.Run(ctx, l)
	})
	DeferCleanup(stop)
	h.runners = append(h.runners, r)
	h.list = append(h.list, oleanderspool.InstanceState{Instance: r.id, DataCentre: "dc-a", Address: r.frontRelay.Address(), Role: role})
}

func (h *harness) startEntry() {
	h.entry = entry.New("entry-1", "dc-a", h.client, h.client, entry.WithMetrics(h.metrics), entry.WithDrainDelay(0))
	ctx, stop := context.WithCancel(context.Background())
	l := listen()
	e := h.entry // a test may start another
	processes.Go(func() error { return e.Run(ctx, l) })
	h.stop = stop
	DeferCleanup(stop)
}

func (h *harness) publish() {
	var engines, services []oleanderspool.InstanceID
	for _, r := range h.runners {
		if r.service == nil {
			engines = append(engines, r.id)
		} else {
			services = append(services, r.id)
		}
	}
	c, err := configuration.New(
		configuration.WithPriorities(configuration.Priority{ID: "interactive", Level: 1}),
		configuration.WithServerSets(
			configuration.ServerSet{ID: "runners"}.WithInstances(engines...),
			configuration.ServerSet{ID: "services"}.WithInstances(services...),
		),
		configuration.WithVersions(configuration.Version{ID: "v1", Model: model, Artefact: "ledger-model/v1"}),
		configuration.WithModels(configuration.Model{ID: model, Version: "v1", Set: "runners", MaxPromptTokens: 1_000_000}),
		configuration.WithClientAccounts(configuration.ClientAccount{ID: account, Priority: "interactive", ShareOfCapacity: 1, KeyHash: configuration.HashKey("key")}),
		configuration.WithServiceRoutes(
			configuration.ServiceRoute{ID: "pegs", Set: "services"},
			configuration.ServiceRoute{ID: "stock", Set: "services", Idempotent: true},
		),
	)
	Expect(err).NotTo(HaveOccurred())
	data, err := configuration.Diff(configuration.Configuration{}, c).WithID("first").Print()
	Expect(err).NotTo(HaveOccurred())
	_, err = h.client.Append(context.Background(), oleanderspool.StreamConfiguration, [][]byte{data})
	Expect(err).NotTo(HaveOccurred())
}

// waitUntilReady waits until the entry routes to every runner and all have the
// configuration.
func (h *harness) waitUntilReady() {
	GinkgoHelper()
	Eventually(func() bool {
		for _, r := range h.runners {
			if r.agent == nil {
				continue
			}
			if h.entry.Revision() == 0 || r.agent.Revision() != h.entry.Revision() || !r.agent.Ready() {
				return false
			}
		}
		return metricSum(h.metrics, "state_changes_total", "backend_server_started") == float64(len(h.runners))
	}, eventualTimeout, pollInterval).Should(BeTrue())
	for _, r := range h.runners {
		if r.agent == nil {
			continue
		}
		Eventually(func() *oleanderspool.Refusal {
			if r.service != nil {
				return h.send(h.idempotentCall()).refusal
			}
			return h.send(h.modelRequest("ready?", 1)).refusal
		}, eventualTimeout, pollInterval).Should(BeNil())
	}
}

// metricSum returns the sum of the counters or gauges of a process that have the
// given name and label value, or any label value if label is empty.
func metricSum(m *observe.Metrics, name, label string) float64 {
	families, err := m.Registry().Gather()
	Expect(err).NotTo(HaveOccurred())
	total := 0.0
	for _, f := range families {
		if f.GetName() != "oleanderspool_"+name {
			continue
		}
		for _, s := range f.GetMetric() {
			labelled := label == ""
			for _, l := range s.GetLabel() {
				labelled = labelled || l.GetValue() == label
			}
			if labelled {
				total += s.GetCounter().GetValue() + s.GetGauge().GetValue()
			}
		}
	}
	return total
}

// runningAttempts returns the number of attempts in progress at an agent.
func (r *runner) runningAttempts() float64 {
	return metricSum(r.metrics, "requests_running", "")
}

func fingerprintOf(text string) oleanderspool.Fingerprint {
	return oleanderspool.Fingerprint(xxhash.Sum64String(text))
}

func (h *harness) modelRequest(prompt string, tokens int) oleanderspool.Request {
	return oleanderspool.Request{
		ID: h.entry.NewRequestID(), Account: account, Kind: oleanderspool.KindModel, Model: model, Idempotent: true,
		Prompt: prompt, PromptTokens: oleanderspool.EstimateTokens(prompt), MaxTokens: tokens,
		Deadline: h.entry.Now() + 30*oleanderspool.Second, Fingerprint: fingerprintOf(prompt),
	}
}

func (h *harness) idempotentCall() oleanderspool.Request {
	return oleanderspool.Request{
		ID: h.entry.NewRequestID(), Account: account, Kind: oleanderspool.KindService, Route: "stock", Method: http.MethodGet,
		Path: "/stock/straps", Idempotent: true, Deadline: h.entry.Now() + 30*oleanderspool.Second, Fingerprint: fingerprintOf("stock"),
	}
}

// nonIdempotentCall returns a call that is not idempotent; key may be empty.
func (h *harness) nonIdempotentCall(reference string, key oleanderspool.IdempotencyKey) oleanderspool.Request {
	return oleanderspool.Request{
		ID: h.entry.NewRequestID(), Account: account, Kind: oleanderspool.KindService, Route: "pegs", Method: http.MethodPost,
		Path: "/pegs/reserve", Key: key, Body: []byte(fmt.Sprintf(`{"reference":%q,"item":"straps","count":1}`, reference)),
		Deadline: h.entry.Now() + 30*oleanderspool.Second, Fingerprint: fingerprintOf(reference),
	}
}

// answer is what a caller has received.
type answer struct {
	text       string
	refusal    *oleanderspool.Refusal
	longestGap time.Duration // longest time between two pieces
	duration   time.Duration
}

// send runs a request to its end.
func (h *harness) send(r oleanderspool.Request) answer {
	return h.start(r).waitForEnd()
}

// stream is a request in progress.
type stream struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	pieces int
	answer answer
}

// start starts a request.
func (h *harness) start(r oleanderspool.Request) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{cancel: cancel, done: make(chan struct{})}
	started := time.Now()
	go func() {
		defer close(s.done)
		defer cancel()
		var text strings.Builder
		last := started
		refusal := h.entry.Serve(ctx, r, func(p oleanderspool.Piece) error {
			text.WriteString(p.Text)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pieces++
			s.answer.longestGap = max(s.answer.longestGap, time.Since(last))
			last = time.Now()
			return nil
		})
		s.answer.text, s.answer.refusal, s.answer.duration = text.String(), refusal, time.Since(started)
	}()
	return s
}

// waitForPieces waits for a number of pieces.
func (s *stream) waitForPieces(pieces int) {
	GinkgoHelper()
	Eventually(func() (int, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pieces < pieces && closed(s.done) {
			return s.pieces, StopTrying(fmt.Sprintf("the stream has ended: %v", s.answer.refusal))
		}
		return s.pieces, nil
	}, eventualTimeout, pollInterval).Should(BeNumerically(">=", pieces))
}

func (s *stream) waitForEnd() answer {
	GinkgoHelper()
	Eventually(s.done, 2*eventualTimeout, pollInterval).Should(BeClosed())
	return s.answer
}

// runs returns how often the services ran the call with the given reference.
func (h *harness) runs(reference string) int {
	total := 0
	for _, r := range h.runners {
		if r.service == nil {
			continue
		}
		for _, run := range r.service.Runs() {
			if run.Reference == reference {
				total += run.Count
			}
		}
	}
	return total
}

// requests lists the engine requests of all runners since the harness was ready.
func (h *harness) requests() []standengine.Request {
	var all []standengine.Request
	for _, r := range h.runners {
		if r.engine == nil {
			continue
		}
		for _, q := range r.engine.Requests() {
			if q.PromptTokens > probePromptTokens {
				all = append(all, q)
			}
		}
	}
	return all
}

// probePromptTokens is the length of the prompt that waitUntilReady sends; other
// prompts are longer.
const probePromptTokens = 2

// freeTokens returns the free memory of an engine in tokens, or -1 on an error.
func (r *runner) freeTokens() int64 {
	report, err := engine.NewClient(r.backRelay.Address()).Report(context.Background())
	if err != nil {
		return -1
	}
	return report.FreeTokens
}

// parallel runs the cases of a test concurrently.
func parallel[T any](cases []T, run func(c T)) {
	var group sync.WaitGroup
	for _, c := range cases {
		group.Go(func() {
			defer GinkgoRecover()
			run(c)
		})
	}
	group.Wait()
}
