package forward_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// Bounds of the platform for requests with a part that crashes servers.
const (
	boundedCrashes     = 5               // crashes after which the bound counts
	contactTime        = 3 * time.Second // from these crashes until the bound applies
	maxLateArrivals    = 3
	restartTime        = 300 * time.Millisecond
	crashingPart       = "dead"
	commonPart         = "c0ffee"
	soundPerCrashing   = 8
	crashingInterval   = 240 * time.Millisecond
	crashingPartPeriod = 7 * time.Second
)

// crashingFleet has entries that exchange their states, and servers that crash when
// they begin the answer to a request with crashingPart and start again as new ones.
type crashingFleet struct {
	entries []*harness

	mu       sync.Mutex
	started  int
	crashes  []time.Time
	arrivals []time.Time // of requests with crashingPart at servers
}

func (f *crashingFleet) answer(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	if !platformtest.HasPart(q, crashingPart) {
		return platformtest.Stream(3, 0, 10*time.Millisecond)(r, w, q)
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	f.mu.Unlock()
	time.Sleep(30 * time.Millisecond) // prefill
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
	f.started++
	id := fmt.Sprintf("again-%d", f.started)
	h := f.entries[0]
	time.AfterFunc(restartTime, func() {
		r.Unregister()
		next := platformtest.NewRunner(h.store, id, "llm")
		next.SetBehaviour(f.answer)
		f.mu.Lock()
		defer f.mu.Unlock()
		h.runners = append(h.runners, next)
	})
	return platformtest.Crash(r, w, q)
}

// lateArrivals returns the arrivals of requests with crashingPart that the bound
// counts.
func (f *crashingFleet) lateArrivals() (late, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < boundedCrashes {
		return 0, len(f.crashes)
	}
	for _, at := range f.arrivals {
		if at.Sub(f.crashes[boundedCrashes-1]) > contactTime {
			late++
		}
	}
	return late, len(f.crashes)
}

// exchange passes the states of the entries on to each other until stop is closed.
func (f *crashingFleet) exchange(t *testing.T, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, from := range f.entries {
			m, err := gossip.Decode(gossip.Encode(from.gateway.State().Report(n%200 == 0)))
			if err != nil {
				t.Error(err)
				return
			}
			for _, to := range f.entries {
				if to != from {
					to.gateway.State().Apply(m)
				}
			}
		}
	}
}

// Guards against requests that crash one server after the other although no two of
// them are equal, and against refusals of requests that share their other parts.
func TestRequestsWithACrashingPartStopReachingServers(t *testing.T) {
	RegisterTestingT(t)
	atEnd := func(f func()) { t.Cleanup(f) }
	f := &crashingFleet{}
	first := startHarness(atEnd, 0, 8, forward.WithRetryBudget(0.2, 100))
	second := &harness{store: first.store}
	second.startEntry(atEnd, forward.WithRetryBudget(0.2, 100))
	second.awaitServers(0, 8)
	f.entries = []*harness{first, second}
	first.behave(f.answer)
	stop := make(chan struct{})
	var exchange sync.WaitGroup
	exchange.Go(func() { f.exchange(t, stop) })

	var callers sync.WaitGroup
	var mu sync.Mutex
	sound := map[bool]int{} // late requests without the part, by whether they were answered
	start := time.Now()
	tick := time.NewTicker(crashingInterval / soundPerCrashing)
	defer tick.Stop()
	for n := 0; time.Since(start) < crashingPartPeriod; n++ {
		<-tick.C
		entry := f.entries[n%2]
		q := query{path: "/ask/1", prompt: 500, body: fmt.Sprint(n), parts: []string{commonPart}}
		crashes := n%soundPerCrashing == n/soundPerCrashing%2
		if crashes {
			q.parts = append(q.parts, crashingPart)
		}
		late := time.Since(start) > contactTime+crashingInterval*boundedCrashes
		request := entry.newRequest(t.Context(), q)
		callers.Go(func() {
			status := entry.statusOf(request)
			mu.Lock()
			defer mu.Unlock()
			if !crashes && late {
				sound[status == http.StatusOK]++
			}
		})
	}
	callers.Wait()
	close(stop)
	exchange.Wait()
	late, crashes := f.lateArrivals()
	t.Logf("crashes %d, late arrivals %d, sound requests answered %d, not answered %d", crashes, late, sound[true], sound[false])
	if crashes < boundedCrashes {
		t.Errorf("%d servers crashed; the test needs %d", crashes, boundedCrashes)
	}
	if late > maxLateArrivals {
		t.Errorf("%d requests with the part reached servers later than %v after crash %d; want at most %d", late, contactTime, boundedCrashes, maxLateArrivals)
	}
	if sound[true] < sound[false] {
		t.Errorf("%d requests without the part were answered and %d were not", sound[true], sound[false])
	}
}
