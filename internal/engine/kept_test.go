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

var _ = Describe("Kept connections", func() {
	// Guards against calls that are delayed or fail because a kept connection was
	// lost, and against connections that are made without need.
	faults := []struct {
		name string
		lose func(f fixture, r *link.Relay)
	}{
		{"stay open", func(fixture, *link.Relay) {}},
		{"go silent", func(_ fixture, r *link.Relay) { r.BlackHole() }},
		{"are reset", func(_ fixture, r *link.Relay) { r.Reset() }},
	}
	for _, c := range faults {
		It("serve the next calls when they "+c.name, func(ctx context.Context) {
			f := start()
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
				c.lose(f, relay)
				begin := time.Now()
				Expect(call()).To(Succeed())
				Expect(time.Since(begin)).To(BeNumerically("<", 900*time.Millisecond))
			}
			if c.name == "stay open" {
				// One more if the end of an answer was late on a busy machine.
				Expect(relay.Accepted()).To(BeNumerically("<=", 2))
			}
			Expect(f.engine.Requests()).To(HaveLen(4))
			before := relay.Accepted()
			Expect(client.Reserve(ctx, "group", 10)).To(Succeed())
			Expect(relay.Accepted()).To(Equal(before+1), "a call that is not idempotent needs a connection of its own")
		})
	}

	// Guards against a copy of a request that crashes the engine a second time,
	// against two copies that run together, and against a refusal that says "not
	// sent" of a request that the engine may have received.
	copies := []struct {
		name     string
		after    func(e *closingEngine)
		comments bool
		calls    []string // to the engine after the first answer
		fails    bool
	}{
		{"the engine is the same", func(*closingEngine) {}, true, []string{"generate", "report", "cancel", "generate"}, false},
		{"the engine has restarted", func(e *closingEngine) { e.started = "2" }, true, []string{"generate", "report"}, true},
		{"the engine stops listening", func(e *closingEngine) { e.stops = true }, true, []string{"generate", "report", "cancel"}, true},
		{"the engine does not answer", func(e *closingEngine) { e.closing = 9 }, true, []string{"generate", "report"}, true},
		{"the engine does not acknowledge requests", func(e *closingEngine) { e.closing = 0 }, false, []string{"generate"}, false},
	}
	for _, c := range copies {
		It("cause a second copy only with care: "+c.name, func(ctx context.Context) {
			e := &closingEngine{started: "1", comments: c.comments}
			server := httptest.NewServer(e)
			DeferCleanup(server.Close)
			e.listener = server.Listener
			client := engine.NewClient(server.Listener.Addr().String())
			_, err := client.Report(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(client.Generate(ctx, request("a", "p", 5), ignore)).To(Succeed())
			e.mu.Lock()
			e.calls, e.closing = nil, 1
			c.after(e)
			e.mu.Unlock()
			err = client.Generate(ctx, request("b", "p", 5), ignore)
			Expect(err != nil).To(Equal(c.fails), "%v", err)
			if c.fails {
				Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			Expect(e.calls).To(Equal(c.calls))
			Expect(e.reused).To(Equal(c.comments))
		})
	}
})

var _ = Describe("An answer whose response ends after its end mark", func() {
	// Guards against a connection that is closed after each answer.
	It("leaves its connection for the next request", func(ctx context.Context) {
		e := &closingEngine{started: "1", comments: true}
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
		// The first report and the first answer have one each.
		Expect(len(e.peers)).To(BeNumerically("<=", 3), "%v", e.peers)
	})
})

// closingEngine closes connections without an answer.
type closingEngine struct {
	mu       sync.Mutex
	started  string
	comments bool // acknowledge requests by a comment
	closing  int  // calls that end without an answer
	stops    bool // listen no more after a cancel
	listener net.Listener
	calls    []string
	peers    map[string]int // requests by the address that they came from
	reused   bool           // a request to generate came on a kept connection
}

func (e *closingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if name == "completions" {
		name = "generate"
		e.reused = e.reused || !r.Close
	}
	e.calls = append(e.calls, name)
	if e.peers == nil {
		e.peers = make(map[string]int)
	}
	e.peers[r.RemoteAddr]++
	if e.closing > 0 {
		e.closing--
		panic(http.ErrAbortHandler)
	}
	switch name {
	case "cancel":
		if e.stops {
			_ = e.listener.Close()
		}
	case "report":
		fmt.Fprintf(w, `{"started":%q}`, e.started)
	case "generate":
		if e.comments {
			fmt.Fprint(w, ": waiting\n\n")
		}
		fmt.Fprint(w, chunk("a", "1", "stop")+done)
		// The end of the response comes later than the end mark.
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}
