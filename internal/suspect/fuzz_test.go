package suspect_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
)

func init() { fuzz.Configure(200, 80) }

// copies sends copies of the poison request: one after another, each when the
// last one was answered or its caller may resend it, or, if concurrent, at any
// time.
type copies struct {
	last       *request
	concurrent bool
}

func (c *copies) send(sm *simulation, e *entry, idempotent bool, limit oleanderspool.Millis) {
	if !c.concurrent && c.last != nil && (!c.last.answered || sm.now < c.last.resendAt) {
		return
	}
	c.last = sm.send(e, poison, idempotent, limit)
}

// actions returns the actions that rapid draws from. If a crash ends the agent
// too, entries with requests in flight are not paused, no entry is restarted, no
// append is lost or delayed, and the log has no outage, see TestMachineCrash.
func actions(sm *simulation, c *copies) map[string]func(*rapid.T) {
	drawEntry := func(t *rapid.T) *entry { return rapid.SampledFrom(sm.entries).Draw(t, "entry") }
	limit := rapid.SampledFrom([]oleanderspool.Millis{400, 2000, 8000, 30_000})
	a := map[string]func(*rapid.T){
		"advance": func(t *rapid.T) { sm.advance(step * oleanderspool.Millis(rapid.IntRange(1, 20).Draw(t, "steps"))) },
		"copy": func(t *rapid.T) {
			c.send(sm, drawEntry(t), rapid.Bool().Draw(t, "idempotent"), limit.Draw(t, "limit"))
			sm.advance(step)
		},
		"neighbours": func(t *rapid.T) {
			for range 3 {
				f := oleanderspool.Fingerprint(rapid.IntRange(1, 12).Draw(t, "fingerprint"))
				sm.send(drawEntry(t), f, rapid.Bool().Draw(t, "idempotent"), limit.Draw(t, "limit"))
			}
		},
		"read lag": func(t *rapid.T) { sm.readLag = step * oleanderspool.Millis(rapid.IntRange(0, 8).Draw(t, "lag")) },
		"pause": func(t *rapid.T) {
			if e := drawEntry(t); !sm.machineCrash || len(e.requests) == 0 {
				e.paused = true
			}
		},
		"resume": func(t *rapid.T) { sm.resume(drawEntry(t)) },
	}
	if !sm.machineCrash {
		a["lose appends"] = func(t *rapid.T) { sm.loseAppends = rapid.Bool().Draw(t, "lose") }
		a["late appends"] = func(t *rapid.T) { sm.delayAppends = rapid.Bool().Draw(t, "late") }
		a["outage"] = func(t *rapid.T) { sm.logOutage = rapid.Bool().Draw(t, "outage") }
		a["restart"] = func(t *rapid.T) { sm.restart(drawEntry(t)) }
	}
	return a
}

// expectHarmlessAnswered sends every harmless request again after all faults
// have ended.
func expectHarmlessAnswered(t *rapid.T, sm *simulation) {
	sm.endFaults()
	for f := oleanderspool.Fingerprint(1); f <= 12; f++ {
		r := sm.send(sm.entries[int(f)%len(sm.entries)], f, true, 60_000)
		sm.advance(2000)
		if !r.succeeded {
			t.Fatalf("harmless request %d was not answered: %v", f, r.refused)
		}
	}
	for _, failure := range sm.wronglyRefused {
		t.Fatal(failure)
	}
}

// checkCrashBound runs the events and checks that the poison request crashes
// two servers at most. It also checks that in at least nine of ten runs the
// request is refused after two crashes; otherwise the test would not exercise
// the bound.
func checkCrashBound(t *testing.T, machineCrash, concurrent bool) {
	runs, refusedRuns := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 5)
		sm.machineCrash = machineCrash
		c := &copies{concurrent: concurrent}
		if concurrent {
			c.send(sm, sm.entries[0], false, 30_000)
			sm.advance(2000)
		}
		a := actions(sm, c)
		a[""] = func(t *rapid.T) {
			if sm.crashes > 2 {
				t.Fatalf("the poison request crashed %d servers, want at most 2", sm.crashes)
			}
		}
		t.Repeat(a)
		expectHarmlessAnswered(t, sm)
		for i := range 6 {
			c.send(sm, sm.entries[i%3], true, 30_000)
			sm.advance(5000)
		}
		a[""](t)
		if sm.crashes == 2 && c.last.refused != nil && c.last.refused.Reason == oleanderspool.RefusalCrashesServer {
			refusedRuns++
		}
		runs++
	})
	if refusedRuns*10 < runs*9 {
		t.Fatalf("only %d of %d runs ended with the request refused after two crashes, want nine of ten", refusedRuns, runs)
	}
}

// TestEngineCrash guards the bound of two crashes where the agent survives its
// engine and reports the crash to all entries. Copies of the request are sent
// one after another, next to other requests, with lost and late records,
// outages of the log, and paused and restarted entries.
func TestEngineCrash(t *testing.T) {
	checkCrashBound(t, false, false)
}

// TestConcurrentTrials guards the bound with any number of concurrent copies,
// once the entries know of the first crash: only one trial may run.
func TestConcurrentTrials(t *testing.T) {
	checkCrashBound(t, false, true)
}

// TestMachineCrash guards the bound where the agent dies with its engine, so
// that only the entry with the request in flight knows of the crash. That
// entry is neither paused nor restarted, and records are read late but not
// lost: until the record arrives no other entry can know, and a third server
// may crash.
func TestMachineCrash(t *testing.T) {
	checkCrashBound(t, true, false)
}
