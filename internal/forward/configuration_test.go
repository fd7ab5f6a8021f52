package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("The configuration", func() {
	// Guards against callers that are refused for good although the newest
	// configuration allows them, and against callers that are served although
	// it does not.
	denials := []struct {
		name   string
		query  query
		status int
	}{
		{"refuses an unknown route", query{path: "/none/1"}, http.StatusNotFound},
		{"refuses a path that equals a prefix without its last slash", query{path: "/reserve"}, http.StatusNotFound},
		{"refuses an unknown key", query{path: "/reserve/1", key: "nobody"}, http.StatusUnauthorized},
		{"refuses a header over the limit", query{path: "/reserve/1", lastEvent: strings.Repeat("9", 20_000)}, http.StatusRequestHeaderFieldsTooLarge},
		{"refuses a body over the limit", query{path: "/reserve/1", body: string(make([]byte, 1<<20+1))}, http.StatusRequestEntityTooLarge},
	}
	for _, c := range denials {
		It(c.name, func() {
			h := newHarness(1, 0)
			Expect(h.send(c.query).status).To(Equal(c.status))
			Expect(h.runs()).To(BeZero())
		})
	}

	// Guards against callers that a starting entry refuses although it can
	// serve them a moment later, and against callers that wait for a store
	// that does not answer.
	starts := []struct {
		name   string
		after  time.Duration // delay until the entry begins to read; 0 for never
		status int
		within time.Duration
	}{
		{"is awaited by requests while the entry starts", 200 * time.Millisecond, http.StatusOK, time.Second},
		{"is awaited for less than 900 ms", 0, http.StatusServiceUnavailable, 900 * time.Millisecond},
	}
	for _, c := range starts {
		It(c.name, func() {
			h := newHarness(1, 0)
			view := directory.NewView()
			gateway := forward.New(view, platform.Headers{}, h.clock, forward.WithRetryBudget(0.2, 20))
			server := httptest.NewServer(gateway)
			DeferCleanup(server.Close)
			if c.after > 0 {
				store := platform.NewStoreClient(h.store.Address())
				follower := directory.NewFollower(view, platform.NewConfigurationFeed(store), platform.NewServerFeed(store, h.clock), h.clock, slog.New(slog.DiscardHandler))
				ctx, stop := context.WithCancel(context.Background())
				DeferCleanup(stop)
				time.AfterFunc(c.after, func() {
					go follower.RunConfigurations(ctx)
					go follower.RunServers(ctx)
				})
			}
			h.address = server.Listener.Addr().String()
			start := time.Now()
			Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(c.status))
			Expect(time.Since(start)).To(BeNumerically("<", c.within))
			if c.after == 0 {
				start = time.Now()
				Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(c.status))
				Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond), "requests after the start-up wait are refused at once")
			}
		})
	}

	It("is in force within a second after it was written", func() {
		h := newHarness(1, 0)
		next := configuration
		next.Routes = append(next.Routes[:1:1], platformtest.Route{Name: "new", Host: host, Prefix: "/new/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 1000, Attempts: 1})
		h.store.Configure(next)
		Eventually(func() int { return h.send(query{path: "/new/1"}).status }, "1s", pollInterval).Should(Equal(200))
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(http.StatusNotFound))
	})

	// Guards against a key that is accepted although it may have been removed
	// while the store could not be read.
	for _, c := range []struct {
		name   string
		outage platformtest.Outage
	}{{"refuses connections", platformtest.Refusing}, {"does not respond", platformtest.Unresponsive}, {"breaks connections", platformtest.Resetting}} {
		It("confirms no key beyond its maximum age while the store "+c.name, func() {
			h := newHarness(1, 0)
			Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(200))
			h.store.SetOutage(c.outage)
			Eventually(func() int { return h.send(query{path: "/lookup/1"}).status }, "6s", 50*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
			Expect(h.send(query{path: "/open/1"}).status).To(Equal(200))
			Expect(h.send(query{path: "/none/1"}).status).To(Equal(http.StatusServiceUnavailable))
			h.store.SetOutage(platformtest.NoOutage)
			Eventually(func() int { return h.send(query{path: "/lookup/1"}).status }, "3s", 50*time.Millisecond).Should(Equal(200))
		})
	}

	// Guards against callers that are refused in the first seconds of an
	// outage of the store although their keys are confirmed, against keys
	// that are accepted beyond the limit of 5 s, and against callers that come back to
	// an entry that refuses them, or so late that another entry cannot meet their goal.
	for _, c := range []struct {
		age    oleanderspool.Millis
		status int
	}{{3750, http.StatusOK}, {4950, http.StatusServiceUnavailable}} {
		It(fmt.Sprintf("answers %d to a key that was confirmed %d ms ago", c.status, c.age), func() {
			h := newHarness(1, 0)
			Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(200), "confirmed")
			h.store.SetOutage(platformtest.Unresponsive)
			h.clock.jump.Store(int64(c.age))
			answer := h.send(query{path: "/lookup/1"})
			Expect(answer.status).To(Equal(c.status))
			refused := c.status != http.StatusOK
			Expect(answer.closes).To(Equal(refused))
			if refused {
				Expect(strconv.ParseFloat(answer.header.Get("Retry-After"), 64)).To(BeNumerically("<=", 0.05))
			}
		})
	}

	// Guards against a process that relies on outdated data after it was
	// frozen or suspended.
	It("is not relied on for keys after a suspension of the machine until it is read again", func() {
		h := newHarness(1, 0)
		h.store.SetOutage(platformtest.Unresponsive)
		h.clock.jump.Store(int64(6 * oleanderspool.Second))
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(http.StatusServiceUnavailable))
		Expect(h.runs()).To(BeZero())
	})

	// Guards against requests to a server that leaves, also when its removal
	// is read from a compacted registry.
	departures := []struct {
		name  string
		leave func(h *harness, r *platformtest.Runner)
	}{
		{"drains", func(_ *harness, r *platformtest.Runner) { r.Register("draining") }},
		{"is removed", func(_ *harness, r *platformtest.Runner) { r.Unregister() }},
		{"is removed before a compaction", func(h *harness, r *platformtest.Runner) {
			r.Unregister()
			h.store.Compact()
		}},
		{"gets an unreadable record", func(h *harness, r *platformtest.Runner) { h.store.PutServer(r.ID, []byte(`{"service":7}`)) }},
	}
	for _, c := range departures {
		It("sends nothing to a server that "+c.name, func() {
			h := newHarness(2, 0)
			c.leave(h, h.runners[0])
			h.awaitServers(1, 0)
			before := h.runners[0].Runs()
			for range 10 {
				Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(200))
			}
			Expect(h.runners[0].Runs()).To(Equal(before))
		})
	}
})

var _ = Describe("A registration that expired during an outage of the store", func() {
	outage := func(h *harness, r *platformtest.Runner) {
		h.store.SetOutage(platformtest.Refusing)
		r.Unregister()
		time.Sleep(time.Second)
		h.store.SetOutage(platformtest.NoOutage)
	}

	// Guards against a service that has no servers during the seconds in which
	// they register again.
	It("keeps its server in use until the server registers again", func() {
		h := newHarness(1, 0)
		outage(h, h.runners[0])
		time.AfterFunc(time.Second, func() { h.runners[0].Register("ready") })
		Consistently(func() int { return h.send(query{path: "/open/1"}).status }, "3s", 50*time.Millisecond).Should(Equal(200))
	})

	// Guards against a server that left during the outage and stays in use.
	It("is removed when its server does not register again", func() {
		h := newHarness(2, 0)
		outage(h, h.runners[0])
		h.awaitServers(1, 0)
	})
})

var _ = Describe("An entry that stops", func() {
	// Guards against requests that a planned stop aborts, and against
	// persistent connections whose callers are not asked to close them.
	It("finishes requests in progress, serves new ones at first, and then ends", func() {
		h := newHarness(0, 1)
		h.behave(platformtest.Stream(10, 0, 50*time.Millisecond))
		response, err := h.open(context.Background(), query{path: "/ask/1"})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		h.stop()
		Eventually(h.gateway.Ready, waitTimeout, pollInterval).Should(BeFalse())
		late := h.send(query{path: "/ask/2"})
		Expect(late.status).To(Equal(200))
		Expect(events(late.body)).To(HaveLen(10))
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(events(string(body))).To(HaveLen(10))
		Eventually(h.stopped, grace.Duration()).Should(Receive())
	})

	// Guards against a request that is accepted so late that the end of the
	// process aborts it. Seen in a fault-injection trial on estacas-prod: accepted
	// 3.1 s after the signal.
	It("refuses requests that arrive late in the stop", func() {
		h := newHarness(1, 0)
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(200))
		h.stop()
		Eventually(h.gateway.Ready, waitTimeout, pollInterval).Should(BeFalse())
		time.Sleep(2600 * time.Millisecond)
		late := h.send(query{path: "/lookup/1"})
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.runs()).To(Equal(1))
	})
})

var _ = Describe("An odd entry among those of the servers", func() {
	// Guards against an entry of another writer that ends the process, or after which
	// the registry is no longer followed (reported by another operator).
	const valid = `{"service":"app","address":"127.0.0.1:9","zone":"z","slots":16,"state":"ready"`
	cases := []struct{ name, value string }{
		{"that is nested very deeply", strings.Repeat("[", 200_000)},
		{"with a field that is nested very deeply", valid + `,"more":` + strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000) + "}"},
		{"with a number of slots that is too large", `{"service":"app","address":"127.0.0.1:9","zone":"z","slots":1e999,"state":"ready"}`},
		{"with a huge number of slots", `{"service":"app","address":"127.0.0.1:9","zone":"z","slots":1e300,"state":"ready"}`},
		{"with no slots", `{"service":"app","address":"127.0.0.1:9","zone":"z","slots":0,"state":"ready"}`},
		{"with a start time that is too large", valid + `,"born":123456789012345678901234567890}`},
		{"with a cold time that is too large", valid + `,"coldLeftMs":1e999}`},
		{"with a port out of range", `{"service":"app","address":"127.0.0.1:70000","zone":"z","slots":16,"state":"ready"}`},
		{"with port 0", `{"service":"app","address":"127.0.0.1:0","zone":"z","slots":16,"state":"ready"}`},
		{"with an address of all machines", `{"service":"app","address":"0.0.0.0:9","zone":"z","slots":16,"state":"ready"}`},
		{"with an address of a zone", `{"service":"app","address":"[fe80::1%` + strings.Repeat("z", 100_000) + `]:9","zone":"z","slots":16,"state":"ready"}`},
		{"with a service name without end", `{"service":"` + strings.Repeat("s", 200_000) + `","address":"127.0.0.1:9","zone":"z","slots":16,"state":"ready"}`},
		{"with a zone without end", `{"service":"app","address":"127.0.0.1:9","zone":"` + strings.Repeat("z", 200_000) + `","slots":16,"state":"ready"}`},
		{"that is empty", "null"},
	}
	for _, c := range cases {
		It(c.name+" names no server, and the others are followed", func() {
			h := newHarness(1, 0)
			h.store.PutServer("odd", []byte(c.value))
			h.runners = append(h.runners, platformtest.NewRunner(h.store, "later", "app"))
			h.awaitServers(2, 0)
			// An entry that starts reads the newest record of each key.
			next := &harness{store: h.store}
			next.startEntry(func(f func()) { DeferCleanup(f) })
			next.awaitServers(2, 0)
			Expect(next.send(query{path: "/reserve/1"}).status).To(Equal(200))
		})
	}
})
