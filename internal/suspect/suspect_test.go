package suspect_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

var update = flag.Bool("update", false, "write the golden files")

// session drives two entries that share a log and writes down what happens.
type session struct {
	transcript strings.Builder
	now        oleanderspool.Millis
	states     map[string]*suspect.State
	log        []oleanderspool.Record
}

func newSession() *session {
	return &session{states: map[string]*suspect.State{"e1": suspect.New("e1", 0), "e2": suspect.New("e2", 0)}}
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%6d  %s\n", s.now, fmt.Sprintf(format, args...))
}

// at lets time pass; both entries stay alive.
func (s *session) at(now oleanderspool.Millis) {
	for s.now < now {
		s.now = min(now, s.now+100)
		s.states["e1"].Tick(s.now)
		s.states["e2"].Tick(s.now)
	}
}

func (s *session) read(names ...string) {
	for _, name := range names {
		n := s.states[name].Apply(s.log, oleanderspool.Offset(len(s.log)), s.now, s.now)
		s.note("%s reads up to %d, %d unreadable", name, len(s.log), n)
	}
}

func (s *session) appendFrom(name string) {
	for _, data := range s.states[name].Outbox(s.now) {
		s.log = append(s.log, oleanderspool.Record{Offset: oleanderspool.Offset(len(s.log) + 1), Data: data})
		s.note("%s appends %s", name, data)
	}
}

func (s *session) crash(name, id string, own bool, trial string, fingerprints ...oleanderspool.Fingerprint) {
	s.note("%s learns of crash %s of %v, trial %q", name, id, fingerprints, trial)
	s.states[name].Crashed(suspect.Crash{
		ID: suspect.CrashID(id), Fingerprints: fingerprints, Own: own, Trial: oleanderspool.AttemptID(trial),
	}, s.now)
}

func (s *session) check(name string, f oleanderspool.Fingerprint, attempt string, remaining oleanderspool.Millis) {
	v := s.states[name].Check(suspect.Query{
		Fingerprint: f, Attempt: oleanderspool.AttemptID(attempt), Instance: "s9", Incarnation: "i9",
		Remaining: remaining, Need: 1000,
	}, s.now)
	verdict := [...]string{"run", "run as trial on " + string(v.Instance), fmt.Sprintf("wait until %d", v.Until), "refuse"}[v.Action]
	if v.Refusal != nil {
		verdict += fmt.Sprintf(": %v, retry after %d", v.Refusal, v.Refusal.RetryAfter)
	}
	s.note("%s checks %d as %s: %s", name, f, attempt, verdict)
}

func (s *session) ended(name, attempt string, outcome suspect.Outcome) {
	s.note("%s ends trial %s: %s", name, attempt, outcome)
	s.states[name].TrialEnded(oleanderspool.AttemptID(attempt), outcome, s.now)
}

func (s *session) outage() {
	for range 2 {
		s.states["e1"].ReadFailed(s.now, s.now)
		s.states["e2"].ReadFailed(s.now, s.now)
	}
	s.note("the log is unavailable")
}

var sessions = []struct {
	name string
	run  func(s *session)
}{
	{"cause", func(s *session) {
		s.read("e1", "e2")
		s.crash("e1", "s1/1", true, "", 10, 11)
		s.check("e1", 10, "a1", 60_000)
		s.check("e1", 11, "a2", 60_000)
		s.appendFrom("e1")
		s.read("e1", "e2")
		s.check("e2", 10, "b1", 60_000)
		s.check("e2", 10, "b2", 1500)
		s.check("e1", 10, "a1", 60_000)
		s.check("e1", 11, "a2", 60_000)
		s.at(800)
		s.ended("e1", "a2", suspect.OutcomeFinished)
		s.ended("e1", "a1", suspect.OutcomeCrashed)
		s.check("e1", 10, "a3", 60_000)
		s.appendFrom("e1")
		s.read("e1", "e2")
		s.check("e2", 10, "b1", 60_000)
		s.check("e2", 11, "b3", 60_000)
		s.note("a late report of the first crash")
		s.crash("e2", "s1/1", false, "", 10, 11)
		s.check("e2", 11, "b4", 60_000)
		s.log = append(s.log, oleanderspool.Record{Offset: 6, Data: s.log[0].Data})
		s.read("e2")
		s.check("e2", 11, "b5", 60_000)
	}},
	{"rival_claims", func(s *session) {
		s.read("e1", "e2")
		s.crash("e1", "s1/1", true, "", 10)
		s.crash("e2", "s1/1", false, "", 10)
		s.check("e2", 10, "b1", 8000)
		s.check("e1", 10, "a1", 8000)
		s.appendFrom("e2")
		s.appendFrom("e1")
		s.read("e1", "e2")
		s.check("e1", 10, "a1", 7900)
		s.check("e2", 10, "b1", 7900)
		s.note("e2 vanishes")
		s.at(8900)
		s.check("e1", 10, "a2", 8000)
		s.appendFrom("e1")
		s.at(9100)
		s.check("e1", 10, "a2", 8000)
		s.appendFrom("e1")
		s.read("e1", "e2")
		s.check("e1", 10, "a2", 8000)
		s.check("e2", 10, "b1", 8000)
	}},
	{"given_back", func(s *session) {
		s.read("e1", "e2")
		s.crash("e1", "s1/1", true, "", 10)
		s.check("e1", 10, "a1", 8000)
		s.appendFrom("e1")
		s.note("the caller of a1 goes away before the claim is read")
		s.states["e1"].Withdraw("a1", s.now)
		s.read("e1")
		s.appendFrom("e1")
		s.read("e1", "e2")
		s.check("e2", 10, "b1", 8000)
		s.appendFrom("e2")
		s.read("e2")
		s.check("e2", 10, "b1", 8000)
		s.note("s9 ends while b1 runs, and e2 with it")
		s.states["e1"].ServerEnded("s9", "i9", s.now)
		s.at(1000)
		s.read("e1")
		s.at(6500)
		s.appendFrom("e1")
		s.read("e1")
		s.check("e1", 10, "a3", 8000)
	}},
	{"outage", func(s *session) {
		s.read("e1", "e2")
		s.outage()
		s.crash("e1", "s1/1", true, "", 10)
		s.crash("e2", "s1/1", false, "", 10)
		s.check("e1", 10, "a1", 60_000)
		s.check("e2", 10, "b1", 60_000)
		s.check("e2", 99, "b2", 60_000)
		s.at(1000)
		s.log = append(s.log, oleanderspool.Record{Offset: 1, Data: []byte(`{"kind":"trial","fingerprint":"no number"}`)})
		s.read("e1", "e2")
		s.check("e2", 10, "b1", 60_000)
		s.appendFrom("e2")
		s.read("e2")
		s.check("e2", 10, "b1", 60_000)
	}},
	{"pause", func(s *session) {
		s.read("e1", "e2")
		s.crash("e1", "s1/1", true, "", 10)
		s.check("e1", 10, "a1", 8000)
		s.appendFrom("e1")
		s.now = 3000
		s.note("both entries were paused")
		s.check("e2", 10, "b1", 8000)
		s.check("e2", 99, "b2", 8000)
		s.read("e2", "e1")
		s.check("e2", 10, "b1", 8000)
		s.check("e2", 99, "b2", 8000)
		s.check("e1", 10, "a1", 5000)
		s.now = 9000
		s.check("e1", 10, "a1", 0)
	}},
}

var _ = Describe("State", func() {
	// Guards against changes of the record format and of the decisions.
	for _, c := range sessions {
		It("plays the session "+c.name, func() {
			s := newSession()
			c.run(s)
			file := filepath.Join("testdata", c.name+".golden")
			if *update {
				Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
				Expect(os.WriteFile(file, []byte(s.transcript.String()), 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.transcript.String()).To(Equal(string(want)))
		})
	}

	// Guards against memory that grows with the number of crashed requests, and
	// against causes that are forgotten before those that were cleared.
	It("keeps a bounded number of fingerprints", func() {
		s := suspect.New("e1", 0, suspect.WithLimit(100))
		s.Crashed(suspect.Crash{ID: "c", Fingerprints: []oleanderspool.Fingerprint{7}, Trial: "a", Own: true}, 0)
		var log []oleanderspool.Record
		for i := range 1000 {
			f := oleanderspool.Fingerprint(1000 + i)
			s.Crashed(suspect.Crash{ID: suspect.CrashID(fmt.Sprint(i)), Fingerprints: []oleanderspool.Fingerprint{f}, Own: true}, oleanderspool.Millis(i))
			for _, data := range s.Outbox(oleanderspool.Millis(i)) {
				log = append(log, oleanderspool.Record{Offset: oleanderspool.Offset(len(log) + 1), Data: data})
			}
			s.Apply(log, oleanderspool.Offset(len(log)), oleanderspool.Millis(i), oleanderspool.Millis(i))
		}
		Expect(s.Kept()).To(BeNumerically("<=", 101))
		v := s.Check(suspect.Query{Fingerprint: 7, Remaining: 1000}, 1000)
		Expect(v.Refusal.Reason).To(Equal(oleanderspool.RefusalCrashesServer))
	})

	// Measures what concurrent copies do: they are routed to one server while it
	// lives, but one that arrives before the crash is known finds another.
	It("measures the crashes caused by concurrent copies", func() {
		for _, spread := range []int{0, 200, 1000, 3000} {
			var counts [8]int
			for seed := range uint64(500) {
				w := newWorld(seed, 3, 5)
				for i := range 20 {
					w.send(w.entries[i%3], poison, true, 30_000)
					if i%4 == 3 {
						w.advance(oleanderspool.Millis(spread / 5))
					}
				}
				w.heal()
				r := w.send(w.entries[0], poison, true, 30_000)
				w.advance(2000)
				Expect(r.refused.Reason).To(Equal(oleanderspool.RefusalCrashesServer))
				counts[min(w.crashes, len(counts)-1)]++
			}
			AddReportEntry(fmt.Sprintf("20 copies within %d ms", spread), fmt.Sprintf("runs by number of crashes from 0: %v", counts))
		}
	})
})

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{0, 200, 20000} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			s := suspect.New("e1", 0)
			fingerprints := make([]oleanderspool.Fingerprint, n)
			for i := range fingerprints {
				fingerprints[i] = oleanderspool.Fingerprint(i + 1)
			}
			s.Crashed(suspect.Crash{ID: "c", Fingerprints: fingerprints, Own: true}, 0)
			s.Apply(nil, 0, 0, 0)
			b.ReportAllocs()
			for b.Loop() {
				if v := s.Check(suspect.Query{Fingerprint: 1 << 40, Remaining: 1000}, 0); v.Action != suspect.Run {
					b.Fatal(v)
				}
			}
		})
	}
}
