package membership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

// The default of 30 steps is too short for a restart, a reconnection and a late report
// in one run.
func init() { fuzz.Configure(1000, 150) }

const (
	// maxLeavingDelay is the time of P6 after which a leaving server receives no work.
	maxLeavingDelay = 3 * oleanderspool.Second
	// maxTransit is the longest time after which a report arrives. Later reports are
	// lost with their connection.
	maxTransit oleanderspool.Millis = 500
)

// process is one run of an agent.
type process struct {
	incarnation oleanderspool.Incarnation
	number      int
	leavingAt   oleanderspool.Millis // when it announced that it leaves; -1 before
	ended       bool
}

// sentReport is a report in transit to the entry.
type sentReport struct {
	report membership.Report
	sentAt oleanderspool.Millis
	number int // number of the sending process
}

// simulation is the actual state of the agents and the platform, behind which the
// table lags.
type simulation struct {
	now       oleanderspool.Millis
	processes map[oleanderspool.InstanceID][]*process
	streams   map[oleanderspool.InstanceID]connection
	inTransit []sentReport
	seen      map[oleanderspool.InstanceID]int // number of the newest process of which a report arrived
	platform  []oleanderspool.InstanceState
	lists     []pendingList
	poll      oleanderspool.Millis
	position  int64
	table     *membership.Table
	router    *routing.Router
}

type connection struct {
	stream membership.Stream
	to     *process
}

type pendingList struct {
	poll oleanderspool.Millis
	list []oleanderspool.InstanceState
}

func newSimulation() *simulation {
	w := &simulation{
		processes: make(map[oleanderspool.InstanceID][]*process),
		streams:   make(map[oleanderspool.InstanceID]connection),
		seen:      make(map[oleanderspool.InstanceID]int),
		table:     membership.New(),
		router:    routing.NewRouter(),
	}
	for i := range 3 {
		s := listed(fmt.Sprintf("s%d", i))
		w.platform = append(w.platform, s)
		w.restart(s.Instance)
	}
	return w
}

func (w *simulation) restart(id oleanderspool.InstanceID) {
	list := w.processes[id]
	if len(list) > 0 {
		list[len(list)-1].ended = true
	}
	n := len(list) + 1
	p := &process{incarnation: oleanderspool.Incarnation(fmt.Sprintf("%s-%d", id, n)), number: n, leavingAt: -1}
	w.processes[id] = append(list, p)
}

func (w *simulation) current(id oleanderspool.InstanceID) *process {
	list := w.processes[id]
	return list[len(list)-1]
}

func (w *simulation) send(id oleanderspool.InstanceID) {
	c, connected := w.streams[id]
	if !connected || c.to.ended {
		return
	}
	w.position++
	w.inTransit = append(w.inTransit, sentReport{
		report: membership.Report{
			Stream: c.stream, Position: w.position, Instance: id, Incarnation: c.to.incarnation,
			Leaving: c.to.leavingAt >= 0, Models: []oleanderspool.ModelID{"m"},
		},
		sentAt: w.now, number: c.to.number,
	})
}

// deliver applies a report. It stays in transit, so that it may be delivered again.
func (w *simulation) deliver(r sentReport) {
	w.table.ApplyReport(r.report, w.now)
	w.seen[r.report.Instance] = max(w.seen[r.report.Instance], r.number)
}

// advance advances the clock. A paused entry does not tick its table.
func (w *simulation) advance(duration oleanderspool.Millis, paused bool) {
	w.now += duration
	kept := w.inTransit[:0]
	for _, r := range w.inTransit {
		if w.now-r.sentAt <= maxTransit {
			kept = append(kept, r)
		}
	}
	w.inTransit = kept
	if !paused {
		w.table.Tick(w.now)
	}
}

// check is the oracle: no request is routed to a server more than 3 s after it
// announced that it leaves, nor to an incarnation after a newer one was seen.
func (w *simulation) check(t *rapid.T) {
	request := oleanderspool.Request{Model: "m"}
	for _, candidate := range w.table.Snapshot() {
		b, chosen := w.router.Route(request, []oleanderspool.BackendServer{candidate}, w.now)
		if !chosen {
			continue
		}
		for _, p := range w.processes[b.Instance] {
			if p.incarnation != b.Incarnation {
				continue
			}
			if p.leavingAt >= 0 && w.now-p.leavingAt > maxLeavingDelay {
				t.Fatalf("%s is chosen %d ms after it announced that it leaves", b.Incarnation, w.now-p.leavingAt)
			}
			if p.number < w.seen[b.Instance] {
				t.Fatalf("%s is chosen after process %d was seen", b.Incarnation, w.seen[b.Instance])
			}
		}
	}
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	instance := rapid.SampledFrom(w.platform)
	draw := func(t *rapid.T) oleanderspool.InstanceID { return instance.Draw(t, "instance").Instance }
	return map[string]func(*rapid.T){
		"advance":   func(t *rapid.T) { w.advance(oleanderspool.Millis(rapid.IntRange(1, 400).Draw(t, "ms")), false) },
		"pause":     func(t *rapid.T) { w.advance(oleanderspool.Millis(rapid.IntRange(1, 6000).Draw(t, "ms")), true) },
		"restart":   func(t *rapid.T) { w.restart(draw(t)) },
		"reconnect": func(t *rapid.T) { w.reconnect(draw(t)) },
		"leave": func(t *rapid.T) {
			if p := w.current(draw(t)); p.leavingAt < 0 {
				p.leavingAt = w.now
			}
		},
		"replace": func(t *rapid.T) {
			id := draw(t)
			w.restart(id)
			w.reconnect(id)
			w.send(id)
		},
		"report": func(t *rapid.T) { w.send(draw(t)) },
		"exchange": func(_ *rapid.T) {
			for _, s := range w.platform {
				w.send(s.Instance)
			}
			for _, r := range w.inTransit {
				w.deliver(r)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(w.inTransit) > 0 {
				w.deliver(rapid.SampledFrom(w.inTransit).Draw(t, "report"))
			}
		},
		"poll": func(t *rapid.T) {
			w.poll++
			list := rapid.SliceOfDistinct(instance, func(s oleanderspool.InstanceState) oleanderspool.InstanceID { return s.Instance }).Draw(t, "list")
			w.lists = append(w.lists, pendingList{w.poll, list})
		},
		"list": func(t *rapid.T) {
			if len(w.lists) > 0 {
				l := rapid.SampledFrom(w.lists).Draw(t, "poll")
				w.table.ApplyList(l.poll, l.list, w.now)
			}
		},
		"": w.check,
	}
}

func (w *simulation) reconnect(id oleanderspool.InstanceID) {
	if stream, found := w.table.OpenStream(id); found {
		w.streams[id] = connection{stream, w.current(id)}
	}
}

// TestNothingIsRoutedToALeavingServer checks P6 with reordered and duplicate reports,
// restarts, a lagging list and pauses of the entry.
func TestNothingIsRoutedToALeavingServer(t *testing.T) {
	eligible := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		w.poll++
		w.table.ApplyList(w.poll, w.platform, 0)
		for _, s := range w.platform {
			w.reconnect(s.Instance)
			w.send(s.Instance)
		}
		for _, r := range w.inTransit {
			w.deliver(r)
		}
		eligible += len(w.table.Snapshot())
		t.Repeat(w.actions())
	})
	if eligible == 0 {
		t.Fatal("no run had an eligible server")
	}
}
