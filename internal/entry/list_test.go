package entry_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/entry"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	standplatform "github.com/oleanderspool/oleanderspool/internal/standin/platform"
)

// listBudget gives three entries and four runners turns of 1.3 s; one entry polls
// in each turn.
const listBudget = 390

// countedList counts the polls of an entry and can make them fail.
type countedList struct {
	oleanderspool.InstanceList
	polls *atomic.Int64
	down  atomic.Bool
}

func (l *countedList) Instances(ctx context.Context) ([]oleanderspool.InstanceState, error) {
	if l.down.Load() {
		return nil, errors.New("down")
	}
	l.polls.Add(1)
	return l.InstanceList.Instances(ctx)
}

// listHarness runs entries that share the instance list of a platform.
type listHarness struct {
	platform *standplatform.Platform
	listed   []oleanderspool.InstanceState
	polls    atomic.Int64
	lists    []*countedList
	metrics  []*observe.Metrics
	fronts   []*link.Relay
	stop     []context.CancelFunc
}

func newListHarness(entries, runners int) *listHarness {
	h := &listHarness{platform: standplatform.New(standplatform.WithInstanceLag(0))}
	address := startServer(h.platform)
	for i := range entries {
		client := platform.NewClient(address)
		list := &countedList{InstanceList: client, polls: &h.polls}
		metrics := observe.NewMetrics()
		id := oleanderspool.InstanceID(fmt.Sprintf("entry-%d", i+1))
		e := entry.New(id, "dc-a", client, list, entry.WithMetrics(metrics), entry.WithDrainDelay(0), entry.WithListBudget(listBudget))
		l := listen()
		front := newRelay(l.Addr().String())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		h.lists, h.metrics, h.fronts, h.stop = append(h.lists, list), append(h.metrics, metrics), append(h.fronts, front), append(h.stop, stop)
		h.listed = append(h.listed, oleanderspool.InstanceState{Instance: id, DataCentre: "dc-a", Address: front.Address(), Role: "entry"})
		processes.Go(func() error { return e.Run(ctx, l) })
	}
	for i := range runners {
		h.addRunner(fmt.Sprintf("runner-%d", i+1))
	}
	h.platform.SetInstances(h.listed)
	return h
}

// addRunner adds a runner to the list on whose address nothing listens.
func (h *listHarness) addRunner(name string) {
	h.listed = append(h.listed, oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(name), DataCentre: "dc-a", Address: "127.0.0.1:1", Role: "model"})
	h.platform.SetInstances(h.listed)
}

func (h *listHarness) removeRunner(name oleanderspool.InstanceID) {
	h.listed = slices.DeleteFunc(h.listed, func(s oleanderspool.InstanceState) bool { return s.Instance == name })
	h.platform.SetInstances(h.listed)
}

// waitForChanges waits until each of the given entries has counted a number of
// changes.
func (h *listHarness) waitForChanges(change string, count float64, entries ...int) {
	GinkgoHelper()
	for _, i := range entries {
		Eventually(func() float64 { return metricSum(h.metrics[i], "state_changes_total", change) }, membership.MaxListLag.Duration(), pollInterval).Should(Equal(count), "entry-%d", i+1)
	}
}

var _ = Describe("The instance list of three entries", func() {
	// Guards against entries that poll independently of each other, and against an
	// entry with an outdated list because it gets no update, cannot poll, cannot be
	// reached or outlives the others.
	It("is polled in turns and reaches every entry", func() {
		h := newListHarness(3, 4)
		h.waitForChanges("backend_server_appeared", 4, 0, 1, 2)
		time.Sleep(3 * time.Second) // all have polled at their start
		before := h.polls.Load()
		time.Sleep(5 * time.Second)
		Expect(h.polls.Load()-before).To(BeNumerically("<=", 9), "15 polls without turns")

		h.lists[0].down.Store(true)
		h.fronts[2].Refuse()
		h.addRunner("runner-5")
		h.waitForChanges("backend_server_appeared", 5, 0, 1, 2)

		h.stop[1]()
		h.removeRunner("runner-1")
		h.waitForChanges("backend_server_gone", 1, 0, 2)
	})
})

var _ = Describe("An agent whose first watcher does not run", func() {
	// Guards against an agent that gets no configuration because its other
	// watchers rely on the first one to send it. Of four agents about two thirds
	// have a first watcher that does not run.
	It("gets the configuration from another watcher", func() {
		h := newHarness(harnessConfig{engines: 4, absent: 2})
		for _, r := range h.runners {
			Expect(r.agent.Revision()).To(Equal(h.entry.Revision()))
		}
	})
})
