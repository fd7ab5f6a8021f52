package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"storj.io/drpc"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// watcher receives the reports of a watch stream.
type watcher struct {
	drpc.Stream
	ctx     context.Context
	reports chan *peerpb.AgentState
}

func (w *watcher) Context() context.Context { return w.ctx }

func (w *watcher) Send(m *peerpb.AgentState) error {
	w.reports <- m
	return nil
}

// Guards against reports that repeat old crashes, which would use up the budget of
// control traffic, and against a stream that never sends them.
var _ = Describe("Watch", func() {
	It("sends the recent crashes once on each stream after every new crash", func() {
		a := New("i-1", "dc-a")
		open := func() chan *peerpb.AgentState {
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			w := &watcher{ctx: ctx, reports: make(chan *peerpb.AgentState, 100)}
			go func() { _ = (&handler{Agent: a}).Watch(&peerpb.WatchRequest{IntervalMs: 20}, w) }()
			return w.reports
		}
		crash := func(started string, f oleanderspool.Fingerprint) {
			a.recordCrash(peer.RunCall{Attempt: "x", Request: oleanderspool.Request{Fingerprint: f}}, started)
		}
		ids := func(reports chan *peerpb.AgentState) int {
			var m *peerpb.AgentState
			Eventually(reports, 5*time.Second).Should(Receive(&m))
			return len(m.GetCrashes())
		}
		first := open()
		Expect(ids(first)).To(Equal(0))
		crash("run-1", 7)
		Eventually(func() int { return ids(first) }, 5*time.Second).Should(Equal(1))
		for range 3 {
			Expect(ids(first)).To(Equal(0))
		}
		second := open()
		Expect(ids(second)).To(Equal(1))
		Expect(ids(second)).To(Equal(0))
		crash("run-2", 8)
		Eventually(func() int { return ids(second) }, 5*time.Second).Should(Equal(2))
	})
})
