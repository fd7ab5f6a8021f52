package handover_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/fuzz"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

func init() { fuzz.Configure(500, 80) }

// Guards against unintended changes of what is moved, in which order and after
// which spans.
func TestSession(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld()
	long := w.start(40_000, 800, true, false)
	w.start(500, 800, true, false)   // cheap to prefill again
	w.start(30_000, 20, true, false) // ends soon
	w.start(20_000, 800, true, true) // on several engines
	later := w.start(21_000, 700, true, false)
	w.advance(500)
	w.offer(false)
	w.printf("leaves")
	w.source.Leave()
	w.leaves = true
	w.offer(true) // the message is lost
	w.advance(6000)
	w.offer(false)
	w.advance(10_000)
	w.offer(false)
	w.ask(long)
	w.advance(1000)
	w.exported(0)
	w.advance(10_000)
	w.offer(false)
	w.ask(long)
	w.advance(2000)
	w.exported(400 << 20)
	w.advance(200)
	w.switchOver(long)
	w.advance(1000)
	w.offer(false)
	w.ask(later)
	w.advance(30_000)
	w.tick()
	w.advance(60_000)
	golden.Match("testdata/session.golden", w.text.String())
	Expect(w.problems).To(BeEmpty())
}

// Guards against transfers that are never ended, two at a time, offers of work
// that must stay, streams that run without memory, and memory that a lost
// message or a silent side leaves behind (P2).
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		draw := func() *answer {
			if len(w.answers) == 0 {
				return &answer{}
			}
			return rapid.SampledFrom(w.answers).Draw(t, "answer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				prompt := rapid.SampledFrom([]int64{500, 20_000, 40_000}).Draw(t, "prompt")
				output := rapid.SampledFrom([]int64{20, 300, 1500}).Draw(t, "output")
				w.start(prompt, output, rapid.IntRange(0, 5).Draw(t, "idempotent") > 0, rapid.IntRange(0, 5).Draw(t, "bound") == 0)
			},
			"leave": func(*rapid.T) { w.source.Leave(); w.leaves = true },
			"advance": func(t *rapid.T) {
				w.advance(rapid.SampledFrom([]oleanderspool.Millis{100, 500, 4000, 20_000}).Draw(t, "span"))
			},
			"offer": func(t *rapid.T) { w.offer(rapid.IntRange(0, 4).Draw(t, "lost") == 0) },
			"ask":   func(*rapid.T) { w.ask(draw()) },
			"export": func(t *rapid.T) {
				w.exported(rapid.SampledFrom([]int64{-1, 0, 1 << 20, 400 << 20}).Draw(t, "bytes"))
			},
			"switch": func(*rapid.T) { w.switchOver(draw()) },
			"": func(t *rapid.T) {
				for side, l := range w.memory {
					if err := l.Check(); err != nil {
						t.Fatalf("%s: %v", side, err)
					}
				}
				if len(w.problems) > 0 {
					t.Fatalf("%v\n%s", w.problems, w.text.String())
				}
			},
		})
		w.finish(t)
	})
}

// finish lets all answers end and checks that nothing is left behind.
func (w *world) finish(t *rapid.T) {
	w.source.Leave()
	w.leaves = true
	for range 10 {
		w.advance(20_000)
		w.tick()
	}
	for _, x := range w.answers {
		if x.at != "" || x.received != x.stream.OutputTokens {
			t.Fatalf("%s has %d of %d tokens\n%s", x.stream.Attempt, x.received, x.stream.OutputTokens, w.text.String())
		}
	}
	for side, l := range w.memory {
		if l.Free() != size || len(w.engine[side]) > 0 {
			t.Fatalf("%s: %d tokens are free, the engine holds %v\n%s", side, l.Free(), w.engine[side], w.text.String())
		}
	}
	if until, ok := w.target.BeginImport("last", w.now); !ok || until != w.now+handover.DefaultLimits.TransferTimeout {
		t.Fatalf("the target takes no import\n%s", w.text.String())
	}
	if w.memory["source"].Owned(memory.OwnerExport) != 0 {
		t.Fatalf("an export is left")
	}
	w.freesSlot(t)
}

// freesSlot checks that the source offers a new long stream after at most one
// bound of a transfer that was given up.
func (w *world) freesSlot(t *rapid.T) {
	if w.slow {
		return // a transfer is not worth it
	}
	x := w.start(40_000, 800, true, false)
	w.advance(500)
	if id, ok := w.source.NextOffer(prefillRate, w.now); !ok || id != x.stream.Attempt {
		t.Fatalf("a long stream is not offered\n%s", w.text.String())
	}
}
