package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("A data centre that is evacuated", func() {
	// Guards against requests that reach its servers, streams in progress that are broken
	// off, refusals that are late, untrue or name no time, and servers that stay out of use.
	It("finishes its streams and gets no other requests until the evacuation ends", func() {
		h := newHarness(2, 1)
		h.runners[1].SetDataCentre("dc-b")
		h.runners[2].SetBehaviour(platformtest.Stream(20, 0, 50*time.Millisecond))
		stream, err := h.open(context.Background(), query{path: "/ask/1", prompt: 200})
		Expect(err).NotTo(HaveOccurred())
		defer stream.Body.Close()
		h.store.Evacuate("dc-a") // whose servers the entry prefers
		h.awaitServers(1, 0)
		known := time.Now()
		refused := h.send(query{path: "/ask/2", prompt: 200})
		Expect(time.Since(known)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(refused.body).To(And(ContainSubstring("not_run"), ContainSubstring("evacuated")))
		h.press(20, 200*time.Millisecond, "/lookup/1")
		Expect(arrivals(h.runners[0], known)).To(BeZero())
		Expect(arrivals(h.runners[1], known)).To(BeNumerically(">", 20))
		body, err := io.ReadAll(stream.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(events(string(body))).To(Equal(ids(20)))
		Expect(h.runners[2].Runs()).To(Equal(1))
		h.store.EndEvacuation("dc-a")
		h.awaitServers(2, 1)
		h.press(20, 100*time.Millisecond, "/lookup/1")
		Expect(arrivals(h.runners[0], known)).To(BeNumerically(">", 0))
	})

	// Guards against a prompt that is sent to a server, or sharded to a helper, whose data
	// centre was evacuated while memory was reserved.
	It("gets no request that was placed before the evacuation and not sent", func() {
		h := newHarness(0, 4)
		h.behave(platformtest.Stream(2, 0, time.Millisecond))
		for i, r := range h.runners {
			r.SetOnOrder(func() { h.view.Configure(directory.Change{Evacuation: "dc-b", Offset: 1000}) })
			if i >= 2 { // the other two can hold the prompt
				r.SetDataCentre("dc-b")
			}
		}
		Eventually(func() string { return string(h.view.Snapshot().Servers("llm")[3].DataCentre) }, waitTimeout, pollInterval).Should(Equal("dc-b"))
		Expect(h.send(query{path: "/audit/1", prompt: 500_000}).status).To(Equal(http.StatusOK))
		Expect(h.view.Snapshot().Evacuated()).To(HaveLen(1), "memory was reserved")
		sent := append(h.runners[0].Requests(), h.runners[1].Requests()...)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Helpers).NotTo(BeEmpty())
		for _, r := range h.runners[2:] {
			Expect(r.Requests()).To(BeEmpty())
			Expect(sent[0].Helpers).NotTo(ContainSubstring(r.Address()))
		}
	})

	// Guards against an order or its end that is lost because the store fails before it is
	// read and then has compacted its records or lists old ones, against an entry that ends
	// an evacuation because it cannot read, and against a start that does not know it.
	for name, outage := range map[string]platformtest.Outage{"refuses connections": platformtest.Refusing, "does not respond": platformtest.Unresponsive} {
		It("is known at most 3 s after the end of an outage in which the store "+name, func() {
			h := newHarness(2, 0)
			h.runners[1].SetDataCentre("dc-b")
			h.store.Evacuate("dc-c")
			Eventually(func() bool { return h.view.Snapshot().IsEvacuated("dc-c") }, waitTimeout, pollInterval).Should(BeTrue())
			h.store.SetOutage(outage)
			h.store.EndEvacuation("dc-c")
			h.store.Evacuate("dc-a") // whose servers the entries prefer
			time.Sleep(500 * time.Millisecond)
			Expect(h.view.Snapshot().IsEvacuated("dc-c")).To(BeTrue())
			h.store.Compact()
			h.store.SetOutage(platformtest.NoOutage)
			Eventually(func() string { return fmt.Sprint(h.view.Snapshot().Evacuated()) }, "3s", pollInterval).Should(Equal("[dc-a]"))
			next := &harness{store: h.store}
			next.startEntry(func(f func()) { DeferCleanup(f) })
			started := time.Now()
			next.press(10, 50*time.Millisecond, "/open/1")
			Expect(arrivals(h.runners[0], started)).To(BeZero())
			Expect(arrivals(h.runners[1], started)).To(BeNumerically(">", 0))
		})
	}
})
