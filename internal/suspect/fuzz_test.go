package suspect_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
)

func init() { fuzz.Configure(200, 80) }

// copies sends the poisonous request one copy after another, the next one when
// the last one was answered or its caller has given up, or at any time.
type copies struct {
	last       *request
	concurrent bool
}

func (c *copies) send(w *world, e *entry, idempotent bool, limit oleanderspool.Millis) {
	if !c.concurrent && c.last != nil && (!c.last.answered || w.now < c.last.resendAt) {
		return
	}
	c.last = w.send(e, poison, idempotent, limit)
}

// actions returns the events of a run. Without an agent that outlives the
// crash there are fewer faults, see TestMachineCrash.
func actions(w *world, c *copies) map[string]func(*rapid.T) {
	drawEntry := func(t *rapid.T) *entry { return rapid.SampledFrom(w.entries).Draw(t, "entry") }
	limit := rapid.SampledFrom([]oleanderspool.Millis{400, 2000, 8000, 30_000})
	a := map[string]func(*rapid.T){
		"advance": func(t *rapid.T) { w.advance(step * oleanderspool.Millis(rapid.IntRange(1, 20).Draw(t, "steps"))) },
		"copy": func(t *rapid.T) {
			c.send(w, drawEntry(t), rapid.Bool().Draw(t, "idempotent"), limit.Draw(t, "limit"))
			w.advance(step)
		},
		"neighbours": func(t *rapid.T) {
			for range 3 {
				f := oleanderspool.Fingerprint(rapid.IntRange(1, 12).Draw(t, "fingerprint"))
				w.send(drawEntry(t), f, rapid.Bool().Draw(t, "idempotent"), limit.Draw(t, "limit"))
			}
		},
		"read lag": func(t *rapid.T) { w.readLag = step * oleanderspool.Millis(rapid.IntRange(0, 8).Draw(t, "lag")) },
		"pause": func(t *rapid.T) {
			if e := drawEntry(t); !w.machineCrash || len(e.requests) == 0 {
				e.paused = true
			}
		},
		"resume": func(t *rapid.T) { w.resume(drawEntry(t)) },
	}
	if !w.machineCrash {
		a["lose appends"] = func(t *rapid.T) { w.loseAppends = rapid.Bool().Draw(t, "lose") }
		a["late appends"] = func(t *rapid.T) { w.lateAppends = rapid.Bool().Draw(t, "late") }
		a["outage"] = func(t *rapid.T) { w.silentLog = rapid.Bool().Draw(t, "silent") }
		a["restart"] = func(t *rapid.T) { w.start(drawEntry(t)) }
	}
	return a
}

// innocentsAreAnswered sends every neighbour again after all faults have ended.
func innocentsAreAnswered(t *rapid.T, w *world) {
	w.heal()
	for f := oleanderspool.Fingerprint(1); f <= 12; f++ {
		r := w.send(w.entries[int(f)%len(w.entries)], f, true, 60_000)
		w.advance(2000)
		if !r.succeeded {
			t.Fatalf("innocent %d was not answered: %v", f, r.refused)
		}
	}
	for _, failure := range w.failed {
		t.Fatal(failure)
	}
}

// check runs the events. The request is refused after two crashes in nearly
// all runs, or the test would prove nothing.
func check(t *testing.T, machineCrash, concurrent bool) {
	runs, two := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 5)
		w.machineCrash = machineCrash
		c := &copies{concurrent: concurrent}
		if concurrent {
			c.send(w, w.entries[0], false, 30_000)
			w.advance(2000)
		}
		a := actions(w, c)
		a[""] = func(t *rapid.T) {
			if w.crashes > 2 {
				t.Fatalf("one request crashed %d servers", w.crashes)
			}
		}
		t.Repeat(a)
		innocentsAreAnswered(t, w)
		for i := range 6 {
			c.send(w, w.entries[i%3], true, 30_000)
			w.advance(5000)
		}
		a[""](t)
		if w.crashes == 2 && c.last.refused != nil && c.last.refused.Reason == oleanderspool.RefusalCrashesServer {
			two++
		}
		runs++
	})
	if two*10 < runs*9 {
		t.Fatalf("only %d of %d runs ended with the request refused after two crashes", two, runs)
	}
}

// TestEngineCrash guards the bound of two crashes where the agent outlives its
// engine and tells all entries, with copies of the request sent one after
// another, neighbours, lost and late records, outages of the log, and paused
// and restarted entries.
func TestEngineCrash(t *testing.T) {
	check(t, false, false)
}

// TestConcurrentTrials guards the bound with any number of copies at the same
// time, once the entries know of the first crash: only one trial may run.
func TestConcurrentTrials(t *testing.T) {
	check(t, false, true)
}

// TestMachineCrash guards the bound where the agent dies with its engine, so
// that only the entry with the request in flight knows. That entry is neither
// paused nor restarted, and records are read late but not lost: until the
// record arrives nobody else can know, and a third server may crash.
func TestMachineCrash(t *testing.T) {
	check(t, true, false)
}
