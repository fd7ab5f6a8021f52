package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

const (
	host = "pegs.example"
	// waitTimeout bounds the wait for a condition that has no time limit of its
	// own.
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	grace        = 8 * oleanderspool.Second
)

// jumpingClock is the boot clock with a jump, as after a suspension of the
// machine.
type jumpingClock struct {
	*clock.Boot
	jump atomic.Int64
}

func (s *jumpingClock) Now() oleanderspool.Millis {
	return s.Boot.Now() + oleanderspool.Millis(s.jump.Load())
}

// harness is an entry with stand-ins for the platform's store and backend
// servers.
type harness struct {
	store   *platformtest.Store
	runners []*platformtest.Runner
	clock   *jumpingClock
	view    *directory.View
	gateway *forward.Gateway
	address string
	client  *http.Client
	stop    context.CancelFunc
	stopped chan error
	lastID  int
	// startedAt is the start of the entry on its clock.
	startedAt oleanderspool.Millis
}

var configuration = platformtest.Configuration{
	Routes: []platformtest.Route{
		{Name: "reserve", Host: host, Prefix: "/reserve/", Kind: platformtest.KindNonIdempotent, Service: "app", TimeoutMs: 1500, TTFTGoalMs: 150, Attempts: 2},
		{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 3000, TTFTGoalMs: 150, Attempts: 2},
		{Name: "ask", Host: host, Prefix: "/ask/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 5000, TTFTGoalMs: 300, InterTokenGoalMs: 200, Attempts: 2, Resumable: true},
		{Name: "audit", Host: host, Prefix: "/audit/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 15000, TTFTGoalMs: 3000, InterTokenGoalMs: 800, Attempts: 2, Resumable: true},
		{Name: "once", Host: host, Prefix: "/ask/once/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 5000, TTFTGoalMs: 300, InterTokenGoalMs: 200, Attempts: 2},
		{Name: "open", Host: host, Prefix: "/open/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 3000, Attempts: 1, Public: true},
	},
	Services: []string{"app"}, Engines: []string{"llm"},
	Accounts: map[string][]string{"crew": {"crew-key", "spare-key"}, "audit": {"audit-key"}},
}

// newHarness starts an entry and a number of backend servers of each service.
func newHarness(apps, engines int, options ...forward.Option) *harness {
	return startHarness(func(f func()) { DeferCleanup(f) }, apps, engines, options...)
}

// startHarness is newHarness outside of a spec; atEnd registers a function to run at
// the end of the test.
func startHarness(atEnd func(func()), apps, engines int, options ...forward.Option) *harness {
	h := &harness{store: platformtest.NewStore(2)}
	h.startWorld(atEnd, apps, engines, options...)
	return h
}

// startWorld starts backend servers of each service and an entry.
func (h *harness) startWorld(atEnd func(func()), apps, engines int, options ...forward.Option) {
	for i := range apps {
		h.runners = append(h.runners, platformtest.NewRunner(h.store, fmt.Sprintf("app-%d", i), "app"))
	}
	for i := range engines {
		h.runners = append(h.runners, platformtest.NewRunner(h.store, fmt.Sprintf("llm-%d", i), "llm"))
	}
	h.store.Configure(configuration)
	atEnd(func() {
		h.store.Close()
		for _, r := range h.runners {
			r.Close()
		}
	})
	h.startEntry(atEnd, options...)
	h.awaitServers(apps, engines)
}

// startEntry starts an entry of the harness.
func (h *harness) startEntry(atEnd func(func()), options ...forward.Option) {
	h.clock, h.view, h.stopped = &jumpingClock{Boot: clock.NewBoot()}, directory.NewView(), make(chan error, 1)
	store := platform.NewStoreClient(h.store.Address())
	logger := slog.New(slog.NewTextHandler(GinkgoWriter, nil))
	follower := directory.NewFollower(h.view, platform.NewConfigurationFeed(store), platform.NewServerFeed(store, h.clock), h.clock, logger)
	h.gateway = forward.New(h.view, platform.Headers{}, h.clock, append([]forward.Option{
		forward.WithLogger(logger), forward.WithDataCentre("dc-a"),
		forward.WithRetryBudget(0.2, 20), forward.WithMaxKeyAge(5 * oleanderspool.Second),
	}, options...)...)
	h.startedAt = h.clock.Now()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h.address = listener.Addr().String()
	h.client = &http.Client{Transport: &http.Transport{}}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	background, end := context.WithCancel(context.Background())
	go follower.RunConfigurations(background)
	go follower.RunServers(background)
	go h.gateway.Run(background)
	stopped := h.stopped
	server := forward.NewServer(h.gateway)
	go func() { stopped <- server.Serve(ctx, listener, grace) }()
	client := h.client
	atEnd(func() {
		client.CloseIdleConnections()
		stop()
		end()
	})
}

func (h *harness) awaitServers(apps, engines int) {
	GinkgoHelper()
	Eventually(func() []int {
		s := h.view.Snapshot()
		if s.Configuration == nil {
			return nil
		}
		return []int{len(s.Servers("app")), len(s.Servers("llm"))}
	}, waitTimeout, pollInterval).Should(Equal([]int{apps, engines}))
}

func (h *harness) behave(b platformtest.Behaviour) {
	for _, r := range h.runners {
		r.SetBehaviour(b)
	}
}

func (h *harness) runs() int {
	n := 0
	for _, r := range h.runners {
		n += r.Runs()
	}
	return n
}

// query is a request of a caller.
type query struct {
	method, path, key, body string
	deadline                int // ms; 0 for none
	prompt                  int // tokens
	lastEvent               string
	parts                   []string // shared parts of the prompt
	forged                  bool
}

// reply is the answer that the caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	closes bool  // the connection
	err    error // of reading the body
}

func (h *harness) send(q query) reply {
	GinkgoHelper()
	response, err := h.open(context.Background(), q)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

func (h *harness) open(ctx context.Context, q query) (*http.Response, error) {
	return h.client.Do(h.newRequest(ctx, q))
}

// statusOf sends a request and returns the status of a complete answer, and 0 without
// one.
func (h *harness) statusOf(r *http.Request) int {
	response, err := h.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (h *harness) newRequest(ctx context.Context, q query) *http.Request {
	if q.method == "" {
		q.method = http.MethodPost
	}
	if q.key == "" {
		q.key = "crew-key"
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+h.address+q.path, strings.NewReader(q.body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = host + ":80"
	h.lastID++
	r.Header = platformtest.CallerHeader{
		ID: fmt.Sprintf("request-%d", h.lastID), APIKey: q.key, DeadlineMs: q.deadline,
		PromptTokens: q.prompt, LastEventID: q.lastEvent, Parts: q.parts, Forged: q.forged,
	}.Encode()
	return r
}

// events returns the ids of a stream's events.
func events(body string) []string {
	var ids []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
}
