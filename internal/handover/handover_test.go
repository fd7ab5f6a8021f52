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

// Guards against unintended changes of which streams move, in which order and after
// which delays.
func TestSession(t *testing.T) {
	RegisterTestingT(t)
	s := newSimulation()
	long := s.start(40_000, 800, true, false)
	s.start(500, 800, true, false)   // cheap to prefill again
	s.start(30_000, 20, true, false) // ends soon
	s.start(20_000, 800, true, true) // runs on several engines
	later := s.start(21_000, 700, true, false)
	s.advance(500)
	s.offer(false)
	s.printf("leaves")
	s.source.Leave()
	s.leaving = true
	s.offer(true) // the message is lost
	s.advance(6000)
	s.offer(false)
	s.advance(10_000)
	s.offer(false)
	s.startTransfer(long)
	s.advance(1000)
	s.endExport(0)
	s.advance(10_000)
	s.offer(false)
	s.startTransfer(long)
	s.advance(2000)
	s.endExport(400 << 20)
	s.advance(200)
	s.switchOver(long)
	s.advance(1000)
	s.offer(false)
	s.startTransfer(later)
	s.advance(30_000)
	s.expire()
	s.advance(60_000)
	golden.Match("testdata/session.golden", s.transcript.String())
	Expect(s.problems).To(BeEmpty())
}

// Guards against an agent that forgets that another server has a stream's cache when
// the stream does not switch in time: it would not wait for the reader of an answer
// that ends before the reader returns from that server.
func TestEndedAfterExport(t *testing.T) {
	RegisterTestingT(t)
	limits := handover.DefaultLimits
	cases := []struct {
		name     string
		duration oleanderspool.Millis // of the export
		wait     oleanderspool.Millis // from the end of the export to the end of the stream
	}{
		{"within the time limits", 1, 1},
		{"switch timed out", 1, limits.TransferTimeout + limits.SwitchTimeout},
		{"export timed out", limits.TransferTimeout, 1},
	}
	for _, c := range cases {
		s := newSimulation()
		r := s.start(40_000, 4000, true, false)
		id := r.stream.Attempt
		s.advance(500)
		s.source.Leave()
		s.offer(false)
		Expect(s.source.BeginExport(id, s.now)).To(BeTrue(), c.name)
		s.now += c.duration
		s.source.NextOffer(prefillRate, s.now)
		s.source.Exported(id, 1<<20, s.now)
		s.now += c.wait
		s.source.NextOffer(prefillRate, s.now)
		Expect(s.source.Ended(id)).To(BeTrue(), c.name)
	}
}

// Guards against transfers that never end or overlap, offers of streams that must
// stay, streams that run without memory, and memory that is not released after a
// lost message or when one side stops responding (P2).
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		draw := func() *request {
			if len(s.requests) == 0 {
				return &request{}
			}
			return rapid.SampledFrom(s.requests).Draw(t, "request")
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				prompt := rapid.SampledFrom([]int64{500, 20_000, 40_000}).Draw(t, "prompt")
				output := rapid.SampledFrom([]int64{20, 300, 1500}).Draw(t, "output")
				s.start(prompt, output, rapid.IntRange(0, 5).Draw(t, "idempotent") > 0, rapid.IntRange(0, 5).Draw(t, "pinned") == 0)
			},
			"leave": func(*rapid.T) { s.source.Leave(); s.leaving = true },
			"advance": func(t *rapid.T) {
				s.advance(rapid.SampledFrom([]oleanderspool.Millis{100, 500, 4000, 20_000}).Draw(t, "duration"))
			},
			"offer":          func(t *rapid.T) { s.offer(rapid.IntRange(0, 4).Draw(t, "lost") == 0) },
			"begin transfer": func(*rapid.T) { s.startTransfer(draw()) },
			"end export": func(t *rapid.T) {
				s.endExport(rapid.SampledFrom([]int64{-1, 0, 1 << 20, 400 << 20}).Draw(t, "bytes"))
			},
			"switch": func(*rapid.T) { s.switchOver(draw()) },
			"": func(t *rapid.T) {
				for side, l := range s.memory {
					if err := l.Check(); err != nil {
						t.Fatalf("%s: %v", side, err)
					}
				}
				if len(s.problems) > 0 {
					t.Fatalf("%v\n%s", s.problems, s.transcript.String())
				}
			},
		})
		s.finish(t)
	})
}

// finish lets all requests end and checks that no memory, import or export remains.
func (s *simulation) finish(t *rapid.T) {
	s.source.Leave()
	s.leaving = true
	for range 10 {
		s.advance(20_000)
		s.expire()
	}
	for _, r := range s.requests {
		if r.runsAt != "" || r.received != r.stream.OutputTokens {
			t.Fatalf("%s has %d of %d tokens\n%s", r.stream.Attempt, r.received, r.stream.OutputTokens, s.transcript.String())
		}
	}
	for side, l := range s.memory {
		if l.Free() != memorySize || len(s.engine[side]) > 0 {
			t.Fatalf("%s: %d tokens are free, the engine holds %v\n%s", side, l.Free(), s.engine[side], s.transcript.String())
		}
	}
	if until, ok := s.target.BeginImport("last", s.now); !ok || until != s.now+handover.DefaultLimits.TransferTimeout {
		t.Fatalf("the target accepts no import\n%s", s.transcript.String())
	}
	if s.memory["source"].ReservedFor(memory.PurposeExport) != 0 {
		t.Fatalf("memory of an export remains")
	}
	s.checkNewOffer(t)
}

// checkNewOffer checks that an abandoned transfer blocks the source no longer than
// its timeout: the source offers a new long stream.
func (s *simulation) checkNewOffer(t *rapid.T) {
	if s.slowLink {
		return // no stream is worth moving over a slow link
	}
	r := s.start(40_000, 800, true, false)
	s.advance(500)
	if id, ok := s.source.NextOffer(prefillRate, s.now); !ok || id != r.stream.Attempt {
		t.Fatalf("a long stream is not offered\n%s", s.transcript.String())
	}
}
