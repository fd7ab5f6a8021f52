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
	// settle bounds the wait for a condition that has no bound of its own.
	settle = 10 * time.Second
	poll   = 5 * time.Millisecond
	grace  = 8 * oleanderspool.Second
)

// skewedClock is the boot clock with a jump, as after a suspension.
type skewedClock struct {
	*clock.Boot
	jump atomic.Int64
}

func (s *skewedClock) Now() oleanderspool.Millis {
	return s.Boot.Now() + oleanderspool.Millis(s.jump.Load())
}

// world is an entry before stand-ins of the platform.
type world struct {
	store   *platformtest.Store
	runners []*platformtest.Runner
	clock   *skewedClock
	view    *directory.View
	gateway *forward.Gateway
	address string
	client  *http.Client
	stop    context.CancelFunc
	stopped chan error
	lastID  int
}

var configuration = platformtest.Configuration{
	Routes: []platformtest.Route{
		{Name: "reserve", Host: host, Prefix: "/reserve/", Kind: platformtest.KindOnce, Service: "app", TimeoutMs: 1500, GoalMs: 150, Attempts: 2},
		{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 3000, GoalMs: 150, Attempts: 2},
		{Name: "ask", Host: host, Prefix: "/ask/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 5000, GoalMs: 300, PauseMs: 200, Attempts: 2, Resumable: true},
		{Name: "audit", Host: host, Prefix: "/audit/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 15000, GoalMs: 3000, PauseMs: 800, Attempts: 2, Resumable: true},
		{Name: "once", Host: host, Prefix: "/ask/once/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 5000, GoalMs: 300, PauseMs: 200, Attempts: 2},
		{Name: "open", Host: host, Prefix: "/open/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 3000, Attempts: 1, Public: true},
	},
	Services: []string{"app"}, Engines: []string{"llm"},
	Accounts: map[string][]string{"crew": {"crew-key", "spare-key"}, "audit": {"audit-key"}},
}

// newWorld starts an entry and a number of runners of each service.
func newWorld(apps, engines int, options ...forward.Option) *world {
	w := &world{store: platformtest.NewStore(2), clock: &skewedClock{Boot: clock.NewBoot()}, view: directory.NewView(), stopped: make(chan error, 1)}
	for i := range apps {
		w.runners = append(w.runners, platformtest.NewRunner(w.store, fmt.Sprintf("app-%d", i), "app"))
	}
	for i := range engines {
		w.runners = append(w.runners, platformtest.NewRunner(w.store, fmt.Sprintf("llm-%d", i), "llm"))
	}
	w.store.Configure(configuration)
	store := platform.NewStore(w.store.Address())
	logger := slog.New(slog.NewTextHandler(GinkgoWriter, nil))
	follower := directory.NewFollower(w.view, platform.NewConfigurationFeed(store), platform.NewServerFeed(store, w.clock), w.clock, logger)
	w.gateway = forward.New(w.view, platform.Headers{}, w.clock, append([]forward.Option{
		forward.WithLogger(logger), forward.WithInstance("entry-1", "dc-a"),
		forward.WithRetryBudget(0.2, 20), forward.WithKeyFreshness(5 * oleanderspool.Second),
	}, options...)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	w.address = listener.Addr().String()
	w.client = &http.Client{Transport: &http.Transport{}}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	background, end := context.WithCancel(context.Background())
	go follower.RunConfigurations(background)
	go follower.RunServers(background)
	go func() { w.stopped <- forward.NewServer(w.gateway).Serve(ctx, listener, grace) }()
	DeferCleanup(func() {
		w.client.CloseIdleConnections()
		stop()
		end()
		w.store.Close()
		for _, r := range w.runners {
			r.Close()
		}
	})
	w.awaitServers(apps, engines)
	return w
}

func (w *world) awaitServers(apps, engines int) {
	GinkgoHelper()
	Eventually(func() []int {
		s := w.view.Snapshot()
		if s.Configuration == nil {
			return nil
		}
		return []int{len(s.Servers("app")), len(s.Servers("llm"))}
	}, settle, poll).Should(Equal([]int{apps, engines}))
}

func (w *world) behave(b platformtest.Behaviour) {
	for _, r := range w.runners {
		r.Behave(b)
	}
}

func (w *world) runs() int {
	n := 0
	for _, r := range w.runners {
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
	forged                  bool
}

// reply is what the caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the body
}

func (w *world) send(q query) reply {
	GinkgoHelper()
	response, err := w.open(context.Background(), q)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (w *world) open(ctx context.Context, q query) (*http.Response, error) {
	if q.method == "" {
		q.method = http.MethodPost
	}
	if q.key == "" {
		q.key = "crew-key"
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+w.address+q.path, strings.NewReader(q.body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = host + ":80"
	w.lastID++
	r.Header = platformtest.Caller{
		ID: fmt.Sprintf("request-%d", w.lastID), Key: q.key, DeadlineMs: q.deadline,
		Prompt: q.prompt, LastEvent: q.lastEvent, Forged: q.forged,
	}.Header()
	return w.client.Do(r)
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
