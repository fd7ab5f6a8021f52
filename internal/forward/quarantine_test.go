package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// restoredStore is a store that is restored during the first save.
type restoredStore struct {
	count    atomic.Int32
	restored atomic.Pointer[*forward.Gateway]
}

func (s *restoredStore) Load(context.Context) ([]oleanderspool.Fingerprint, error) { return nil, nil }

func (s *restoredStore) Save(context.Context, oleanderspool.Fingerprint, bool) error {
	if s.count.Add(1) == 1 {
		(*s.restored.Load()).StoreRestored()
	}
	return nil
}

var _ = Describe("A quarantined part of prompts", func() {
	atEnd := func(f func()) { DeferCleanup(f) }
	withPart := query{path: "/ask/1", prompt: 500, parts: []string{commonPart, crashingPart}}

	// quarantine lets a server crash by a request with crashingPart, answers another
	// request, and reports the crash once more for other servers and requests.
	quarantine := func(h *harness) {
		GinkgoHelper()
		h.behave(func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
			if platformtest.HasPart(q, crashingPart) {
				return platformtest.Crash(r, w, q)
			}
			return platformtest.Stream(2, 0, 0)(r, w, q)
		})
		h.send(query{path: "/ask/once/1", prompt: 500, parts: withPart.parts})
		var crashes []gossip.Crash
		Eventually(func() []gossip.Crash {
			crashes = h.gateway.State().Report(true).Crashes
			return crashes
		}, waitTimeout, pollInterval).Should(HaveLen(1))
		Expect(h.send(query{path: "/ask/2", prompt: 500, parts: []string{commonPart}}).status).To(Equal(http.StatusOK))
		for i, id := range []oleanderspool.InstanceID{"other-1", "other-2", "other-3"} {
			c := crashes[0]
			c.Server.Instance = id
			c.Request += oleanderspool.Fingerprint(i + 1)
			c.Age += oleanderspool.Millis(i+1) * 400
			h.gateway.State().Apply(gossip.Message{RunID: 1, Crashes: []gossip.Crash{c}})
		}
		r := h.send(withPart)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body).To(ContainSubstring("a part of the prompt"))
	}

	// Guards against servers that crash anew after all entries were restarted.
	It("is refused by an entry that starts after all others were lost", func() {
		store := func(h *harness) forward.Option {
			return forward.WithQuarantineStore(platform.NewQuarantineLog(platform.NewStoreClient(h.store.Address())))
		}
		h := &harness{store: platformtest.NewStore(2)}
		h.startWorld(atEnd, 0, 4, store(h))
		quarantine(h)
		Eventually(h.store.Appends, waitTimeout, pollInterval).Should(Equal(1))
		next := &harness{store: h.store}
		next.startEntry(atEnd, store(h))
		Eventually(func() int { return next.send(withPart).status }, waitTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
		Expect(next.send(withPart).body).To(ContainSubstring("a part of the prompt"))
	})

	// Guards against a quarantine that is forgotten with the seconds that a restored store
	// has lost.
	It("is refused by an entry that starts after the store was restored and all others were lost", func() {
		store := func(h *harness) forward.Option {
			return forward.WithQuarantineStore(platform.NewQuarantineLog(platform.NewStoreClient(h.store.Address())))
		}
		h := &harness{store: platformtest.NewStore(2)}
		h.startWorld(atEnd, 0, 4, store(h))
		h.store.Copy()
		quarantine(h)
		Eventually(h.store.Appends, waitTimeout, pollInterval).Should(Equal(1))
		h.store.Restore()
		h.gateway.StoreRestored()
		Eventually(h.store.Appends, waitTimeout, pollInterval).Should(Equal(2))
		next := &harness{store: h.store}
		next.startEntry(atEnd, store(h))
		Eventually(func() int { return next.send(withPart).status }, waitTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a save that is forgotten since the same part is being saved when the
	// store has been restored.
	It("is saved again when the store was restored during a save", func() {
		saves := &restoredStore{}
		h := &harness{store: platformtest.NewStore(2)}
		h.startWorld(atEnd, 0, 4, forward.WithQuarantineStore(saves))
		saves.restored.Store(&h.gateway)
		quarantine(h)
		Eventually(saves.count.Load, waitTimeout, pollInterval).Should(BeNumerically("==", 2))
	})

	// Guards against a part that stays quarantined although another entry has received
	// an answer to a request with it.
	It("is released by an answer at another entry", func() {
		h := newHarness(0, 4)
		quarantine(h)
		h.behave(platformtest.Stream(2, 0, 0))
		parts := h.gateway.State().Report(true).Quarantined
		Expect(parts).To(HaveLen(1))
		h.gateway.State().Apply(gossip.Message{RunID: 1, Answered: []gossip.Answer{{Fingerprint: parts[0].Fingerprint}}})
		Expect(h.send(withPart).status).To(Equal(http.StatusOK))
	})
})
