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
	// readerTimeout is the shortest that lets a reader replace a silent
	// connection on a busy machine.
	readerTimeout = attempt.MinReaderTimeout + oleanderspool.Second
	// poll is how often a condition is checked.
	poll = 5 * time.Millisecond
	// settle bounds the wait for a condition that has no bound of its own.
	settle = 15 * time.Second
)

// processes are the entries and agents of all worlds. A test does not wait for
// them to stop, which takes each agent 0.2 s; the suite does.
var processes errgroup.Group

var _ = AfterSuite(func() {
	stopped := make(chan error, 1)
	go func() { stopped <- processes.Wait() }()
	Eventually(stopped, settle).Should(Receive(BeNil()))
})

// runner is an agent with its backend server and the relays around it.
type runner struct {
	id      oleanderspool.InstanceID
	engine  *standengine.Engine
	service *standservice.Service
	agent   *agent.Agent
	metrics *observe.Metrics // of the agent
	front   *link.Relay      // from the entry to the agent
	back    *link.Relay      // from the agent to the engine or service
	stop    context.CancelFunc
	stopped chan struct{}
}

// world is an entry and agents in one process, with a relay on every link.
type world struct {
	platform *standplatform.Platform
	client   *platform.Client
	runners  []*runner
	list     []oleanderspool.InstanceState
	entry    *entry.Entry
	stop     context.CancelFunc // of the entry
	metrics  *observe.Metrics
}

// plan says what a world contains.
type plan struct {
	engines  int
	services int
	options  []standengine.Option
	agents   []agent.Option
	scripts  []script // agents that send what the test says
	absent   int      // entries that are listed and do not run
}

// newWorld starts a world and waits until its entry knows every runner.
func newWorld(p plan) *world {
	w := &world{platform: standplatform.New(standplatform.WithInstanceLag(0)), metrics: observe.NewMetrics()}
	w.client = platform.NewClient(serve(w.platform))
	for range p.engines {
		w.startEngine(p.options, p.agents...)
	}
	for range p.services {
		w.startService()
	}
	for _, run := range p.scripts {
		w.startScript(run)
	}
	for i := range p.absent {
		w.list = append(w.list, oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(fmt.Sprintf("absent-%d", i+1)), DataCentre: "dc-a", Address: "127.0.0.1:1", Role: "entry"})
	}
	w.platform.SetInstances(w.list)
	w.publish()
	w.startEntry()
	w.await()
	return w
}

func serve(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func relayTo(address string) *link.Relay {
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

func (w *world) startEngine(options []standengine.Option, agents ...agent.Option) {
	options = append([]standengine.Option{standengine.WithModels(model), standengine.WithReportInterval(20)}, options...)
	e := standengine.New(options...)
	DeferCleanup(e.Close)
	r := &runner{id: oleanderspool.InstanceID(fmt.Sprintf("runner-%d", len(w.runners)+1)), engine: e, back: relayTo(serve(e))}
	w.startAgent(r, "model", append(agents, agent.WithEngine(engine.NewClient(r.back.Address())))...)
}

func (w *world) startService() {
	s := standservice.New()
	r := &runner{id: oleanderspool.InstanceID(fmt.Sprintf("services-%d", len(w.runners)+1)), service: s, back: relayTo(serve(s))}
	w.startAgent(r, "service", agent.WithService(service.NewClient(r.back.Address()), "pegs", "stock"))
}

func (w *world) startAgent(r *runner, role string, options ...agent.Option) {
	limits := attempt.DefaultLimits
	limits.ReaderTimeout = readerTimeout
	r.metrics = observe.NewMetrics()
	options = append(options, agent.WithAttemptLimits(limits), agent.WithMetrics(r.metrics))
	r.agent = agent.New(r.id, "dc-a", options...)
	l := listen()
	r.front = relayTo(l.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.stopped = stop, make(chan struct{})
	processes.Go(func() error {
		defer close(r.stopped)
		return r.agent.Run(ctx, l)
	})
	DeferCleanup(stop)
	w.runners = append(w.runners, r)
	w.list = append(w.list, oleanderspool.InstanceState{Instance: r.id, DataCentre: "dc-a", Address: r.front.Address(), Role: role})
}

func (w *world) startEntry() {
	w.entry = entry.New("entry-1", "dc-a", w.client, w.client, entry.WithMetrics(w.metrics), entry.WithDrainDelay(0))
	ctx, stop := context.WithCancel(context.Background())
	l := listen()
	e := w.entry // a test may start another
	processes.Go(func() error { return e.Run(ctx, l) })
	w.stop = stop
	DeferCleanup(stop)
}

func (w *world) publish() {
	var engines, services []oleanderspool.InstanceID
	for _, r := range w.runners {
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
	_, err = w.client.Append(context.Background(), oleanderspool.StreamConfiguration, [][]byte{data})
	Expect(err).NotTo(HaveOccurred())
}

// await waits until the entry routes to every runner and all have the
// configuration.
func (w *world) await() {
	GinkgoHelper()
	Eventually(func() bool {
		for _, r := range w.runners {
			if r.agent == nil {
				continue
			}
			if w.entry.Revision() == 0 || r.agent.Revision() != w.entry.Revision() || !r.agent.Ready() {
				return false
			}
		}
		return sample(w.metrics, "state_changes_total", "backend_server_started") == float64(len(w.runners))
	}, settle, poll).Should(BeTrue())
	for _, r := range w.runners {
		if r.agent == nil {
			continue
		}
		Eventually(func() *oleanderspool.Refusal {
			if r.service != nil {
				return w.send(w.lookup()).refusal
			}
			return w.send(w.question("ready?", 1)).refusal
		}, settle, poll).Should(BeNil())
	}
}

// sample returns the sum of the counters or gauges of a process that have the
// given name and label value; any label value when it is empty.
func sample(m *observe.Metrics, name, label string) float64 {
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

// running returns the number of attempts in progress at an agent.
func (r *runner) running() float64 {
	return sample(r.metrics, "requests_running", "")
}

func fingerprintOf(text string) oleanderspool.Fingerprint {
	return oleanderspool.Fingerprint(xxhash.Sum64String(text))
}

func (w *world) question(prompt string, tokens int) oleanderspool.Request {
	return oleanderspool.Request{
		ID: w.entry.NewRequestID(), Account: account, Kind: oleanderspool.KindModel, Model: model, Idempotent: true,
		Prompt: prompt, PromptTokens: oleanderspool.EstimateTokens(prompt), MaxTokens: tokens,
		Deadline: w.entry.Now() + 30*oleanderspool.Second, Fingerprint: fingerprintOf(prompt),
	}
}

func (w *world) lookup() oleanderspool.Request {
	return oleanderspool.Request{
		ID: w.entry.NewRequestID(), Account: account, Kind: oleanderspool.KindService, Route: "stock", Method: http.MethodGet,
		Path: "/stock/straps", Idempotent: true, Deadline: w.entry.Now() + 30*oleanderspool.Second, Fingerprint: fingerprintOf("stock"),
	}
}

// reservation is not idempotent. It has no key unless one is given.
func (w *world) reservation(reference string, key oleanderspool.IdempotencyKey) oleanderspool.Request {
	return oleanderspool.Request{
		ID: w.entry.NewRequestID(), Account: account, Kind: oleanderspool.KindService, Route: "pegs", Method: http.MethodPost,
		Path: "/pegs/reserve", Key: key, Body: []byte(fmt.Sprintf(`{"reference":%q,"item":"straps","count":1}`, reference)),
		Deadline: w.entry.Now() + 30*oleanderspool.Second, Fingerprint: fingerprintOf(reference),
	}
}

// answer is what a caller has received.
type answer struct {
	text    string
	refusal *oleanderspool.Refusal
	gaps    time.Duration // longest span between two pieces
	took    time.Duration
}

// send runs a request to its end.
func (w *world) send(r oleanderspool.Request) answer {
	return w.open(r).wait()
}

// stream is a request in progress.
type stream struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	pieces int
	answer answer
}

// open starts a request.
func (w *world) open(r oleanderspool.Request) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{cancel: cancel, done: make(chan struct{})}
	started := time.Now()
	go func() {
		defer close(s.done)
		defer cancel()
		var text strings.Builder
		last := started
		refusal := w.entry.Serve(ctx, r, func(p oleanderspool.Piece) error {
			text.WriteString(p.Text)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pieces++
			s.answer.gaps = max(s.answer.gaps, time.Since(last))
			last = time.Now()
			return nil
		})
		s.answer.text, s.answer.refusal, s.answer.took = text.String(), refusal, time.Since(started)
	}()
	return s
}

// received waits for a number of pieces.
func (s *stream) received(pieces int) {
	GinkgoHelper()
	Eventually(func() (int, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pieces < pieces && closed(s.done) {
			return s.pieces, StopTrying(fmt.Sprintf("the stream has ended: %v", s.answer.refusal))
		}
		return s.pieces, nil
	}, settle, poll).Should(BeNumerically(">=", pieces))
}

func (s *stream) wait() answer {
	GinkgoHelper()
	Eventually(s.done, 2*settle, poll).Should(BeClosed())
	return s.answer
}

// runs returns how often the engines ran a prompt of the given answer length,
// or the services a reference.
func (w *world) runs(reference string) int {
	total := 0
	for _, r := range w.runners {
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

// requests lists the engine requests of all runners since the world was ready.
func (w *world) requests() []standengine.Request {
	var all []standengine.Request
	for _, r := range w.runners {
		if r.engine == nil {
			continue
		}
		for _, q := range r.engine.Requests() {
			if q.PromptTokens > readyTokens {
				all = append(all, q)
			}
		}
	}
	return all
}

// readyTokens is the length of the prompt that await sends; other prompts are
// longer.
const readyTokens = 2

// free returns the free memory of an engine in tokens.
func (r *runner) free() int64 {
	report, err := engine.NewClient(r.back.Address()).Report(context.Background())
	if err != nil {
		return -1
	}
	return report.FreeTokens
}

// parallel runs the cases of a test at the same time, each in its own world.
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
