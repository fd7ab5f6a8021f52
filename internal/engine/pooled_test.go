package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/engine"
	standin "github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

var _ = Describe("Pooled connections", func() {
	// Guards against calls that are delayed or fail because a pooled connection
	// was lost, and against connections that are opened without need.
	faults := []struct {
		name string
		fail func(f fixture, r *link.Relay)
	}{
		{"stay open", func(fixture, *link.Relay) {}},
		{"deliver no more data", func(_ fixture, r *link.Relay) { r.BlackHole() }},
		{"are reset", func(_ fixture, r *link.Relay) { r.Reset() }},
	}
	for _, c := range faults {
		It("serve the next calls when they "+c.name, func(ctx context.Context) {
			f := newFixture()
			relay, err := link.New(f.address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(relay.Close)
			client := engine.NewClient(relay.Address(), engine.WithTimeout(1000))
			calls := []func() error{
				func() error { _, err := client.Report(ctx); return err },
				func() error { _, err := client.Allocations(ctx); return err },
				func() error { return client.Cancel(ctx, "unknown") },
				func() error {
					var a answer
					if err := client.Generate(ctx, request("a", "a prompt", 40), a.emit); err != nil {
						return err
					}
					Expect(a.text.String()).To(Equal(standin.Text("a prompt", 0, 40)))
					return nil
				},
			}
			for i := range 12 {
				Expect(calls[i%len(calls)]()).To(Succeed())
			}
			for _, call := range calls {
				c.fail(f, relay)
				begin := time.Now()
				Expect(call()).To(Succeed())
				Expect(time.Since(begin)).To(BeNumerically("<", 900*time.Millisecond))
			}
			if c.name == "stay open" {
				// A second one is opened if the end of an answer came late on a
				// busy machine.
				Expect(relay.Accepted()).To(BeNumerically("<=", 2))
			}
			Expect(f.engine.Requests()).To(HaveLen(4))
			before := relay.Accepted()
			Expect(client.Reserve(ctx, "group", 10)).To(Succeed())
			Expect(relay.Accepted()).To(Equal(before+1), "a call that is not idempotent must open a new connection")
		})
	}

	// Guards against a second copy of a request that crashes the engine again,
	// against two copies that run at once, and against ErrNotSent for a request
	// that the engine may have received.
	retries := []struct {
		name         string
		change       func(e *disconnectingEngine) // made after the first answer
		acknowledges bool
		calls        []string // to the engine after the first answer
		fails        bool
	}{
		{"the engine has not restarted", func(*disconnectingEngine) {}, true, []string{"generate", "report", "cancel", "generate"}, false},
		{"the engine has restarted", func(e *disconnectingEngine) { e.runID = "2" }, true, []string{"generate", "report"}, true},
		{"the engine stops listening", func(e *disconnectingEngine) { e.stopsListening = true }, true, []string{"generate", "report", "cancel"}, true},
		{"the engine does not respond to a report", func(e *disconnectingEngine) { e.unanswered = 9 }, true, []string{"generate", "report"}, true},
		{"the engine does not acknowledge requests", func(e *disconnectingEngine) { e.unanswered = 0 }, false, []string{"generate"}, false},
	}
	for _, c := range retries {
		It("let an unanswered request be repeated only if the same run cancelled the first copy: "+c.name, func(ctx context.Context) {
			e := &disconnectingEngine{runID: "1", acknowledges: c.acknowledges}
			server := httptest.NewServer(e)
			DeferCleanup(server.Close)
			e.listener = server.Listener
			client := engine.NewClient(server.Listener.Addr().String())
			_, err := client.Report(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(client.Generate(ctx, request("a", "p", 5), ignore)).To(Succeed())
			e.mu.Lock()
			e.calls, e.unanswered = nil, 1
			c.change(e)
			e.mu.Unlock()
			err = client.Generate(ctx, request("b", "p", 5), ignore)
			Expect(err != nil).To(Equal(c.fails), "%v", err)
			if c.fails {
				Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			Expect(e.calls).To(Equal(c.calls))
			Expect(e.reused).To(Equal(c.acknowledges))
		})
	}
})

var _ = Describe("An answer whose response ends after its [DONE] event", func() {
	// Guards against closing the connection after each answer.
	It("leaves its connection open for the next request", func(ctx context.Context) {
		e := &disconnectingEngine{runID: "1", acknowledges: true}
		server := httptest.NewServer(e)
		DeferCleanup(server.Close)
		client := engine.NewClient(server.Listener.Addr().String())
		for range 4 {
			_, err := client.Report(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(client.Generate(ctx, request("a", "p", 5), ignore)).To(Succeed())
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		// The first report and the first answer open one connection each.
		Expect(len(e.requests)).To(BeNumerically("<=", 3), "%v", e.requests)
	})
})

// disconnectingEngine closes connections without a response.
type disconnectingEngine struct {
	mu             sync.Mutex
	runID          string
	acknowledges   bool // sends a comment before each answer
	unanswered     int  // number of next calls that get no response
	stopsListening bool // after a call to cancel
	listener       net.Listener
	calls          []string
	requests       map[string]int // number of requests by client address
	reused         bool           // a generate request came on a pooled connection
}

func (e *disconnectingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if name == "completions" {
		name = "generate"
		e.reused = e.reused || !r.Close
	}
	e.calls = append(e.calls, name)
	if e.requests == nil {
		e.requests = make(map[string]int)
	}
	e.requests[r.RemoteAddr]++
	if e.unanswered > 0 {
		e.unanswered--
		panic(http.ErrAbortHandler)
	}
	switch name {
	case "cancel":
		if e.stopsListening {
			_ = e.listener.Close()
		}
	case "report":
		fmt.Fprintf(w, `{"started":%q}`, e.runID)
	case "generate":
		if e.acknowledges {
			fmt.Fprint(w, ": waiting\n\n")
		}
		fmt.Fprint(w, chunk("a", "1", "stop")+done)
		// The end of the response comes later than the [DONE] event.
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}
