package forward_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// arrivals returns the number of requests that reached a server later than an instant.
func arrivals(r *platformtest.Runner, after time.Time) int {
	n := 0
	for _, q := range r.Requests() {
		if q.ReceivedAt.After(after) {
			n++
		}
	}
	return n
}

// press sends requests to the entry from a number of callers at once for a time.
func (h *harness) press(callers int, period time.Duration, path string) {
	GinkgoHelper()
	end := time.Now().Add(period)
	var wait sync.WaitGroup
	requests := make(chan *http.Request)
	for range callers {
		wait.Go(func() {
			for r := range requests {
				h.statusOf(r)
			}
		})
	}
	for time.Now().Before(end) {
		requests <- h.newRequest(context.Background(), query{path: path, prompt: 200})
	}
	close(requests)
	wait.Wait()
}

var _ = Describe("A server that says that it leaves", func() {
	const gap = time.Millisecond
	// Guards against requests that go on to a server which has said in any of its
	// answers that it leaves, while the registry does not say so or cannot be read.
	answers := []struct {
		name, path    string
		apps, engines int
		leaving       platformtest.Behaviour
	}{
		{"in a complete answer", "/lookup/1", 2, 0, platformtest.Leave(platformtest.Complete)},
		{"in a rejection", "/lookup/1", 2, 0, platformtest.Leave(platformtest.Reject)},
		{"in a failure", "/lookup/1", 2, 0, platformtest.Leave(platformtest.Fail)},
		{"in the header of a stream", "/ask/1", 0, 2, platformtest.Leave(platformtest.Stream(3, 0, gap))},
		{"in the header of a stream that breaks off", "/ask/1", 0, 2, platformtest.Leave(platformtest.Stream(3, 2, gap))},
	}
	for _, c := range answers {
		for _, outage := range []struct {
			name string
			kind platformtest.Outage
		}{{"in touch with the store", platformtest.NoOutage}, {"without the store", platformtest.Unresponsive}} {
			It("gets no more requests after it said so "+c.name+", "+outage.name, func() {
				h := newHarness(c.apps, c.engines)
				// Before its first confirmation an entry accepts no keys while the store is away.
				Eventually(h.view.ConfirmedAt, waitTimeout, pollInterval).ShouldNot(BeZero())
				h.store.SetOutage(outage.kind)
				usual := platformtest.Behaviour(platformtest.Complete)
				if c.engines > 0 {
					usual = platformtest.Stream(3, 0, gap)
				}
				var leaving atomic.Pointer[platformtest.Runner]
				h.behave(func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
					if leaving.CompareAndSwap(nil, r) || leaving.Load() == r {
						return c.leaving(r, w, q)
					}
					return usual(r, w, q)
				})
				h.send(query{path: c.path, prompt: 200})
				saidAt := time.Now()
				h.press(100, 300*time.Millisecond, c.path)
				Expect(arrivals(leaving.Load(), saidAt)).To(BeZero())
				Expect(arrivals(h.runners[0], saidAt) + arrivals(h.runners[1], saidAt)).To(BeNumerically(">", 20))
			})
		}
	}

	// Guards against an answer to a memory order that is not heard.
	It("gets no more requests after it said so in the answer to a memory order", func() {
		h := newHarness(0, 3)
		h.behave(platformtest.Stream(2, 0, gap))
		for _, r := range h.runners {
			r.SetOrderHeader("Server-Leaving", "1")
		}
		Expect(h.send(query{path: "/audit/1", prompt: 700_000}).status).To(Equal(http.StatusOK))
		saidAt := time.Now()
		h.press(10, 100*time.Millisecond, "/ask/1")
		helpers := 0
		for _, r := range h.runners {
			if len(r.Orders()) > 0 {
				helpers++
				Expect(arrivals(r, saidAt)).To(BeZero())
			}
		}
		Expect(helpers).To(BeNumerically(">", 0))
		Expect(helpers).To(BeNumerically("<", 3))
	})

	// Guards against a server that stays out of use after it started again.
	It("gets requests again when it has started again", func() {
		h := newHarness(1, 0)
		h.behave(platformtest.Leave(platformtest.Complete))
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(http.StatusOK))
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(http.StatusServiceUnavailable))
		h.runners[0].Restart()
		h.behave(nil)
		Eventually(func() int { return h.send(query{path: "/lookup/1"}).status }, waitTimeout, pollInterval).Should(Equal(http.StatusOK))
	})

	// Guards against streams that are broken off because their server leaves.
	It("finishes the streams that it runs", func() {
		h := newHarness(0, 1)
		h.behave(platformtest.Leave(platformtest.Stream(5, 0, 50*time.Millisecond)))
		r := h.send(query{path: "/ask/1", prompt: 200})
		Expect(events(r.body)).To(Equal(ids(5)))
		Expect(r.err).NotTo(HaveOccurred())
	})
})

var _ = Describe("A server that asks for time", func() {
	// Guards against requests that reach the server within the time that it asked for,
	// while 100 callers press.
	for _, seconds := range []string{"1", "0.8", "1e9"} {
		It("gets none for "+seconds+" seconds", func() {
			const slack = 500 * time.Millisecond // the platform counts from then on
			h := newHarness(2, 0)
			busy := h.runners[0]
			busy.SetBehaviour(platformtest.Pause(seconds))
			h.press(100, 900*time.Millisecond, "/lookup/1")
			Expect(busy.Requests()).NotTo(BeEmpty())
			first := busy.Requests()[0].ReceivedAt
			within := 0
			for _, q := range busy.Requests() {
				if after := q.ReceivedAt.Sub(first); after > slack && after < 800*time.Millisecond {
					within++
				}
			}
			Expect(within).To(BeZero())
			Expect(h.runners[1].Runs()).To(BeNumerically(">", 100))
		})
	}

	It("gets requests again after the time", func() {
		h := newHarness(1, 0)
		h.behave(platformtest.Pause("0.4"))
		h.send(query{path: "/lookup/1"})
		h.behave(nil)
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(http.StatusServiceUnavailable))
		time.Sleep(450 * time.Millisecond)
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(http.StatusOK))
	})

	// Guards against a Retry-After that ends before that of each server.
	It("makes its callers come back after that time when no other server is left", func() {
		h := newHarness(2, 0)
		h.behave(platformtest.Pause("2"))
		h.send(query{path: "/reserve/1"})
		r := h.send(query{path: "/reserve/1"})
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		after, err := time.ParseDuration(r.header.Get("Retry-After") + "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically("~", 2200*time.Millisecond, 300*time.Millisecond))
		Expect(h.runs()).To(BeZero())
	})
})
