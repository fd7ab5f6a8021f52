package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// awaitEvacuated waits until the entry knows which data centres are evacuated.
func (h *harness) awaitEvacuated(names ...oleanderspool.DataCentreID) {
	GinkgoHelper()
	Eventually(func() []oleanderspool.DataCentreID { return h.view.Snapshot().Evacuated() }, waitTimeout, pollInterval).Should(ConsistOf(names))
}

var _ = Describe("A data centre that is evacuated", func() {
	// Guards against first attempts and retries that reach its servers, and against
	// servers that stay out of use after the evacuation.
	It("gets no requests until the evacuation ends", func() {
		h := newHarness(4, 0)
		away := h.runners[:2]
		for _, r := range away {
			r.SetDataCentre("dc-b")
		}
		h.runners[2].SetBehaviour(platformtest.Reject)
		h.store.Evacuate("dc-b")
		h.awaitServers(2, 0)
		known := time.Now()
		h.press(20, 200*time.Millisecond, "/lookup/1")
		for _, r := range away {
			Expect(arrivals(r, known)).To(BeZero())
		}
		Expect(arrivals(h.runners[2], known)).To(BeNumerically(">", 0))
		Expect(arrivals(h.runners[3], known)).To(BeNumerically(">", 20))
		h.store.EndEvacuation("dc-b")
		h.awaitServers(4, 0)
		h.press(20, 200*time.Millisecond, "/lookup/1")
		Expect(arrivals(away[0], known) + arrivals(away[1], known)).To(BeNumerically(">", 0))
	})

	// Guards against requests in progress that are broken off or sent again.
	It("finishes the streams that run in it", func() {
		h := newHarness(0, 2)
		h.behave(platformtest.Stream(20, 0, 50*time.Millisecond))
		for _, r := range h.runners {
			r.SetDataCentre("dc-b")
		}
		Eventually(func() bool {
			return h.view.Snapshot().Servers("llm")[0].DataCentre == "dc-b" && h.view.Snapshot().Servers("llm")[1].DataCentre == "dc-b"
		}, waitTimeout, pollInterval).Should(BeTrue())
		response, err := h.open(context.Background(), query{path: "/ask/1", prompt: 200})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		h.store.Evacuate("dc-b")
		h.awaitServers(0, 0)
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(events(string(body))).To(Equal(ids(20)))
		Expect(h.runs()).To(Equal(1))
	})

	// Guards against a broken stream that is resumed in it.
	It("gets no stream that broke off elsewhere", func() {
		h := newHarness(0, 2)
		h.runners[1].SetDataCentre("dc-b")
		h.runners[0].SetBehaviour(platformtest.Stream(10, 5, time.Millisecond))
		h.store.Evacuate("dc-b")
		h.awaitServers(0, 1)
		r := h.send(query{path: "/ask/1", prompt: 200})
		Expect(r.err).To(HaveOccurred(), "no other server may resume it")
		Expect(events(r.body)).To(Equal(ids(5)))
		Expect(h.runners[1].Requests()).To(BeEmpty())
	})

	// Guards against a request that waits for a server, and against a refusal that is not
	// true or names no time.
	It("makes its requests refused at once when no other has servers of the service", func() {
		h := newHarness(2, 1)
		h.behave(platformtest.Stream(2, 0, time.Millisecond))
		h.runners[0].SetDataCentre("dc-b")
		h.store.Evacuate("dc-a")
		h.store.Evacuate("dc-b")
		h.awaitEvacuated("dc-a", "dc-b")
		for _, path := range []string{"/reserve/1", "/lookup/1", "/ask/1"} {
			start := time.Now()
			r := h.send(query{path: path, prompt: 200})
			Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(r.body).To(And(ContainSubstring("not_run"), ContainSubstring("evacuated")))
		}
		Expect(h.runs()).To(BeZero())
	})

	// Guards against a prompt that is sent to a server, or sharded to a helper, whose data
	// centre was evacuated while memory was reserved.
	It("gets no request that was placed before the evacuation and not sent", func() {
		h := newHarness(0, 4)
		h.behave(platformtest.Stream(2, 0, time.Millisecond))
		near, away := h.runners[:2], h.runners[2:] // two servers can hold the prompt
		for _, r := range away {
			r.SetDataCentre("dc-b")
		}
		var once sync.Once
		for _, r := range h.runners {
			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/-/order" {
					once.Do(func() { h.view.Configure(directory.Change{Evacuation: "dc-b", Offset: 1000}) })
				}
				r.ServeHTTP(w, q)
			}))
			DeferCleanup(front.Close)
			r.Advertise(front.Listener.Addr().String())
		}
		Eventually(func() bool {
			for i, s := range h.view.Snapshot().Servers("llm") {
				if s.Address == h.runners[i].Address() {
					return false
				}
			}
			return true
		}, waitTimeout, pollInterval).Should(BeTrue())
		r := h.send(query{path: "/audit/1", prompt: 500_000})
		Expect(h.view.Snapshot().Evacuated()).To(HaveLen(1), "memory was reserved")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(h.runs()).To(Equal(1))
		sent := append(near[0].Requests(), near[1].Requests()...)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Helpers).NotTo(BeEmpty())
		for _, r := range away {
			Expect(r.Requests()).To(BeEmpty())
			Expect(sent[0].Helpers).NotTo(ContainSubstring(r.Advertised()))
		}
	})
})

var _ = Describe("An order to evacuate", func() {
	// Guards against an order that is lost because the store fails between the order and
	// its reading, also when its record cannot be read any more as such, and against an
	// entry that ends an evacuation because it cannot read.
	for _, c := range []struct {
		name   string
		outage platformtest.Outage
	}{{"refuses connections", platformtest.Refusing}, {"does not respond", platformtest.Unresponsive}, {"breaks connections", platformtest.Resetting}} {
		for _, compacts := range []bool{false, true} {
			It(fmt.Sprintf("is in force 3 s after the end of an outage in which the store %s, compaction %t", c.name, compacts), func() {
				h := newHarness(2, 0)
				h.runners[1].SetDataCentre("dc-b")
				h.store.Evacuate("dc-c")
				h.awaitEvacuated("dc-c")
				h.store.SetOutage(c.outage)
				h.store.Evacuate("dc-b")
				h.store.EndEvacuation("dc-c")
				time.Sleep(500 * time.Millisecond)
				Expect(h.view.Snapshot().Evacuated()).To(ConsistOf(oleanderspool.DataCentreID("dc-c")))
				if compacts {
					h.store.Compact()
				}
				h.store.SetOutage(platformtest.NoOutage)
				Eventually(func() []oleanderspool.DataCentreID { return h.view.Snapshot().Evacuated() }, "3s", pollInterval).Should(ConsistOf(oleanderspool.DataCentreID("dc-b")))
				h.awaitServers(1, 0)
				known := time.Now()
				h.press(10, 100*time.Millisecond, "/lookup/1")
				Expect(arrivals(h.runners[1], known)).To(BeZero())
			})
		}
	}

	// Guards against an entry that starts during an evacuation and sends requests to the
	// servers before it knows of it, also when the newest records are old, and against
	// keys and values of other writers that keep it from its configuration.
	for _, lag := range []int{0, 1, 3} {
		It(fmt.Sprintf("holds for an entry that starts when the newest records lack %d records", lag), func() {
			h := newHarness(2, 0)
			h.runners[1].SetDataCentre("dc-b")
			for range lag { // the newest records of the servers do not lack that of the move
				h.runners[0].Register("ready")
			}
			h.store.Put("keyed.op", "evacuate/", []byte("{}"))
			h.store.Put("keyed.op", "evacuate/dc-x", []byte("\x00"))
			h.store.Configure(configuration)
			h.store.Evacuate("dc-a") // whose servers the entry prefers
			h.awaitEvacuated("dc-a", "dc-x")
			h.store.SetNewestLag(lag)
			for range 10 {
				next := &harness{store: h.store, runners: h.runners}
				started := time.Now()
				next.startEntry(func(f func()) { DeferCleanup(f) })
				next.press(10, 50*time.Millisecond, "/open/1")
				Expect(arrivals(h.runners[0], started)).To(BeZero())
				Expect(arrivals(h.runners[1], started)).To(BeNumerically(">", 0))
			}
		})
	}
})
