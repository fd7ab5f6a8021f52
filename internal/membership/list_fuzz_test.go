package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
)

const (
	// callTimeout is the timeout of a call from one entry to another.
	callTimeout = 2 * oleanderspool.Second
	// listStep is the step by which the simulated time advances.
	listStep = 100 * oleanderspool.Millis(1)
)

// listEntry is an entry with its own clock.
type listEntry struct {
	id           oleanderspool.InstanceID
	list         *membership.List
	clockOffset  oleanderspool.Millis // its clock minus the simulated time
	paused       bool
	runningSince oleanderspool.Millis // start of the entry or end of its last pause
	polling      bool                 // a poll is in progress
	queue        []func()             // calls and answers that arrived during a pause
}

// listSimulation simulates the platform's list, the entries and the calls between
// them.
type listSimulation struct {
	now       oleanderspool.Millis
	epoch     uint64
	budget    int
	entries   []*listEntry
	list      map[oleanderspool.InstanceID]oleanderspool.InstanceState
	changedAt map[oleanderspool.InstanceID]oleanderspool.Millis
	down      bool
	upSince   oleanderspool.Millis
	latency   oleanderspool.Millis            // of the platform's answers
	delays    map[[2]int]oleanderspool.Millis // of the links between entries; -1 for a broken link
	events    []event
	delivered []func() // updates that may be delivered again
}

type event struct {
	at  oleanderspool.Millis
	run func()
}

func (w *listSimulation) set(id oleanderspool.InstanceID, version int) {
	s := listed(string(id))
	if id[0] == 'e' {
		s.Role = "entry"
	}
	s.Address = fmt.Sprintf("10.0.0.1:%d", version)
	w.list[id], w.changedAt[id] = s, w.now
}

func (w *listSimulation) start(i int) {
	w.epoch++
	e := w.entries[i]
	e.list = membership.NewList(e.id, w.epoch, membership.WithListBudget(w.budget))
	e.paused, e.polling, e.runningSince, e.queue = false, false, w.now, nil
	e.clockOffset = oleanderspool.Millis(w.epoch * 7919 % 100_000)
}

// schedule runs a function after a delay of simulated time.
func (w *listSimulation) schedule(delay oleanderspool.Millis, run func()) {
	w.events = append(w.events, event{w.now + delay, run})
}

// on calls f unless the entry has restarted by then. If the entry is paused, the call
// is delayed to the end of the pause.
func (w *listSimulation) on(e *listEntry, f func()) {
	l := e.list
	run := func() {
		if e.list == l {
			f()
		}
	}
	if e.paused {
		e.queue = append(e.queue, run)
		return
	}
	run()
}

func (w *listSimulation) snapshot() []oleanderspool.InstanceState {
	var list []oleanderspool.InstanceState
	for _, s := range w.list {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b oleanderspool.InstanceState) int { return int(a.Instance[1]) - int(b.Instance[1]) })
	return list
}

func (w *listSimulation) poll(i int) {
	e := w.entries[i]
	e.polling = true
	sentAt := w.now + e.clockOffset
	var list []oleanderspool.InstanceState
	down := w.down
	l := e.list
	w.schedule(w.latency/2, func() { list, down = w.snapshot(), down || w.down })
	w.schedule(w.latency, func() {
		if e.list != l {
			return
		}
		w.on(e, func() {
			e.polling = false
			if down {
				e.list.PollFailed(w.now + e.clockOffset)
				return
			}
			e.list.ApplyPoll(sentAt, list)
			for _, to := range e.list.Recipients(sentAt) {
				w.sendUpdate(i, int(to[1]-'0'), e.list.Update(to), 0)
			}
		})
	})
}

// sendUpdate sends an update. It may arrive long after the call timed out.
func (w *listSimulation) sendUpdate(from, to int, u membership.ListUpdate, calls int) {
	out, back := w.delays[[2]int{from, to}], w.delays[[2]int{to, from}]
	if out < 0 {
		return
	}
	sender, receiver, sentAt := w.entries[from], w.entries[to], w.now
	l := sender.list
	w.schedule(out, func() {
		w.on(receiver, func() {
			arrive := func() membership.ListReply {
				reply, _ := receiver.list.ApplyUpdate(u, w.now+receiver.clockOffset)
				return reply
			}
			w.delivered = append(w.delivered, func() { w.on(receiver, func() { arrive() }) })
			reply := arrive()
			if back < 0 {
				return
			}
			w.schedule(back, func() {
				if sender.list != l || sender.paused || w.now-sentAt > callTimeout {
					return
				}
				followUp, requested := l.ApplyReply(receiver.id, reply, sentAt+sender.clockOffset, w.now+sender.clockOffset)
				if requested && calls == 0 {
					w.sendUpdate(from, to, followUp, 1)
				}
			})
		})
	})
}

func (w *listSimulation) advance(duration oleanderspool.Millis) {
	for end := w.now + duration; w.now < end; w.now += listStep {
		for {
			i := slices.IndexFunc(w.events, func(e event) bool { return e.at <= w.now })
			if i < 0 {
				break
			}
			run := w.events[i].run
			w.events = slices.Delete(w.events, i, i+1)
			run()
		}
		for i, e := range w.entries {
			if !e.paused && !e.polling && e.list.NextPoll() <= w.now+e.clockOffset {
				w.poll(i)
			}
		}
	}
}

func (w *listSimulation) resume(e *listEntry) {
	if !e.paused {
		return
	}
	e.paused, e.runningSince = false, w.now
	queue := e.queue
	e.queue = nil
	for _, run := range queue {
		run()
	}
}

// check is the oracle: a live entry has the platform's current state of each instance
// that did not change within [membership.MaxListLag].
func (w *listSimulation) check(t *rapid.T) {
	for _, e := range w.entries {
		if e.paused || w.down {
			continue
		}
		for id, at := range w.changedAt {
			since := max(at, e.runningSince, w.upSince)
			if w.now-since <= membership.MaxListLag {
				continue
			}
			got, _ := e.list.Address(id)
			if want := w.list[id].Address; got != want {
				t.Fatalf("%s has %q for %s, which has been %q for %d ms", e.id, got, id, want, w.now-since)
			}
		}
	}
}

func newListSimulation(budget int) *listSimulation {
	w := &listSimulation{
		budget: budget, latency: 100,
		list: make(map[oleanderspool.InstanceID]oleanderspool.InstanceState), changedAt: make(map[oleanderspool.InstanceID]oleanderspool.Millis),
		delays: make(map[[2]int]oleanderspool.Millis),
	}
	for i := range 4 {
		id := oleanderspool.InstanceID(fmt.Sprintf("e%d", i))
		w.entries = append(w.entries, &listEntry{id: id})
		w.start(i)
		w.set(id, 0)
		w.set(oleanderspool.InstanceID(fmt.Sprintf("s%d", 4+i)), 0)
	}
	return w
}

func (w *listSimulation) actions() map[string]func(*rapid.T) {
	version := 0
	entry := func(t *rapid.T) int { return rapid.IntRange(0, 3).Draw(t, "entry") }
	instance := rapid.SampledFrom([]oleanderspool.InstanceID{"e1", "e2", "s4", "s5", "s6", "s7", "s8"})
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) { w.advance(oleanderspool.Millis(rapid.IntRange(1, 60).Draw(t, "steps")) * listStep) },
		"quiet":   func(_ *rapid.T) { w.advance(membership.MaxListLag + listStep) },
		"change": func(t *rapid.T) {
			version++
			w.set(instance.Draw(t, "instance"), version)
		},
		"leave": func(t *rapid.T) {
			id := instance.Draw(t, "instance")
			delete(w.list, id)
			w.changedAt[id] = w.now
		},
		"flap": func(t *rapid.T) {
			id := instance.Draw(t, "instance")
			delete(w.list, id)
			w.advance(oleanderspool.Millis(rapid.IntRange(1, 20).Draw(t, "steps")) * listStep)
			w.set(id, version)
		},
		"pause":   func(t *rapid.T) { w.entries[entry(t)].paused = true },
		"resume":  func(t *rapid.T) { w.resume(w.entries[entry(t)]) },
		"restart": func(t *rapid.T) { w.start(entry(t)) },
		"link": func(t *rapid.T) {
			w.delays[[2]int{entry(t), entry(t)}] = oleanderspool.Millis(rapid.SampledFrom([]int{0, 0, 0, 300, 3000, 15_000, -1}).Draw(t, "delay"))
		},
		"again": func(t *rapid.T) {
			if len(w.delivered) > 0 {
				rapid.SampledFrom(w.delivered).Draw(t, "update")()
			}
		},
		"platform": func(t *rapid.T) {
			w.latency = oleanderspool.Millis(rapid.SampledFrom([]int{100, 1000, 2900}).Draw(t, "answer"))
			if down := rapid.IntRange(0, 3).Draw(t, "down") == 0; down != w.down {
				w.down, w.upSince = down, w.now
			}
		},
		"": w.check,
	}
}

// TestEachEntryKnowsTheList guards against a list that stays out of date for longer
// than [membership.MaxListLag], with pauses, restarts, links that are broken in one
// direction, late and duplicate updates, and a slow platform.
func TestEachEntryKnowsTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newListSimulation(rapid.SampledFrom([]int{100, 400, 1000}).Draw(t, "budget"))
		t.Repeat(w.actions())
	})
}
