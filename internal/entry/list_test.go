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

// turnBudget lets three entries and four runners take turns of 1.3 s.
const turnBudget = 390

// countedList counts the polls of an entry and can fail them.
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

// pollers are entries that share the list of a platform.
type pollers struct {
	platform *standplatform.Platform
	listed   []oleanderspool.InstanceState
	polls    atomic.Int64
	lists    []*countedList
	metrics  []*observe.Metrics
	fronts   []*link.Relay
	stop     []context.CancelFunc
}

func newPollers(entries, runners int) *pollers {
	w := &pollers{platform: standplatform.New(standplatform.WithInstanceLag(0))}
	address := serve(w.platform)
	for i := range entries {
		client := platform.NewClient(address)
		list := &countedList{InstanceList: client, polls: &w.polls}
		metrics := observe.NewMetrics()
		id := oleanderspool.InstanceID(fmt.Sprintf("entry-%d", i+1))
		e := entry.New(id, "dc-a", client, list, entry.WithMetrics(metrics), entry.WithDrainDelay(0), entry.WithListBudget(turnBudget))
		l := listen()
		front := relayTo(l.Addr().String())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		w.lists, w.metrics, w.fronts, w.stop = append(w.lists, list), append(w.metrics, metrics), append(w.fronts, front), append(w.stop, stop)
		w.listed = append(w.listed, oleanderspool.InstanceState{Instance: id, DataCentre: "dc-a", Address: front.Address(), Role: "entry"})
		processes.Go(func() error { return e.Run(ctx, l) })
	}
	for i := range runners {
		w.add(fmt.Sprintf("runner-%d", i+1))
	}
	w.platform.SetInstances(w.listed)
	return w
}

// add lists a runner on whose address nothing listens.
func (w *pollers) add(name string) {
	w.listed = append(w.listed, oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(name), DataCentre: "dc-a", Address: "127.0.0.1:1", Role: "model"})
	w.platform.SetInstances(w.listed)
}

func (w *pollers) remove(name oleanderspool.InstanceID) {
	w.listed = slices.DeleteFunc(w.listed, func(s oleanderspool.InstanceState) bool { return s.Instance == name })
	w.platform.SetInstances(w.listed)
}

// know waits until the given entries have seen a number of changes.
func (w *pollers) know(change string, count float64, entries ...int) {
	GinkgoHelper()
	for _, i := range entries {
		Eventually(func() float64 { return sample(w.metrics[i], "state_changes_total", change) }, membership.MaxListLag.Duration(), poll).Should(Equal(count), "entry-%d", i+1)
	}
}

var _ = Describe("The instance list of three entries", func() {
	// Guards against entries that poll at their own interval, and against one
	// that is not told, cannot poll, cannot be reached or outlives the others.
	It("is polled in turns and known to each", func() {
		w := newPollers(3, 4)
		w.know("backend_server_appeared", 4, 0, 1, 2)
		time.Sleep(3 * time.Second) // all have polled at their start
		before := w.polls.Load()
		time.Sleep(5 * time.Second)
		Expect(w.polls.Load()-before).To(BeNumerically("<=", 9), "15 polls without turns")

		w.lists[0].down.Store(true)
		w.fronts[2].Refuse()
		w.add("runner-5")
		w.know("backend_server_appeared", 5, 0, 1, 2)

		w.stop[1]()
		w.remove("runner-1")
		w.know("backend_server_gone", 1, 0, 2)
	})
})

var _ = Describe("An agent whose first watcher does not run", func() {
	// Guards against an agent that gets no configuration because its other
	// watchers leave that to the first one. Of four agents about two thirds have
	// an absent first watcher.
	It("gets the configuration from another one", func() {
		w := newWorld(plan{engines: 4, absent: 2})
		for _, r := range w.runners {
			Expect(r.agent.Revision()).To(Equal(w.entry.Revision()))
		}
	})
})
