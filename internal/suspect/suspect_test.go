package suspect_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// session executes a script with two entries that share a log, and writes a
// transcript of what happens.
type session struct {
	transcript strings.Builder
	now        oleanderspool.Millis
	states     map[string]*suspect.State
	log        []oleanderspool.Record
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%6d  %s\n", s.now, fmt.Sprintf(format, args...))
}

func (s *session) store(data []byte) {
	s.log = append(s.log, oleanderspool.Record{Offset: oleanderspool.Offset(len(s.log) + 1), Data: data})
}

// run applies one line of the script: an event, an entry, and the arguments of
// the event.
func (s *session) run(line string) {
	event, rest, _ := strings.Cut(line, " ")
	words := append(strings.Fields(rest), "", "")
	state := s.states[words[0]]
	s.printf("%s", line)
	switch event {
	case "at": // both entries are active until then
		for end := number(words[0]); s.now < end; s.now = min(end, s.now+100) {
			s.states["e1"].Tick(s.now)
			s.states["e2"].Tick(s.now)
		}
	case "paused":
		s.now = number(words[0])
	case "outage":
		for i := range 4 {
			s.states[[]string{"e1", "e2"}[i%2]].ReadFailed(s.now, s.now)
		}
	case "store":
		s.store([]byte(rest))
	case "read":
		unreadable := state.Apply(s.log, oleanderspool.Offset(len(s.log)), s.now, s.now)
		s.printf("    up to %d, %d unreadable", len(s.log), unreadable)
	case "append":
		for _, data := range state.DueRecords(s.now) {
			s.store(data)
			s.printf("    %s", data)
		}
	case "crash", "live_crash":
		c := suspect.Crash{ID: suspect.CrashID(words[1]), Local: words[2] == "true", Live: event == "live_crash"}
		for _, word := range strings.Fields(rest)[3:] {
			c.Fingerprints = append(c.Fingerprints, oleanderspool.Fingerprint(number(word)))
		}
		state.Crashed(c, s.now)
	case "server_ended":
		state.ServerEnded(oleanderspool.InstanceID(words[1]), oleanderspool.Incarnation(words[2]), s.now)
	case "ended":
		state.TrialEnded(oleanderspool.AttemptID(words[1]), suspect.Outcome(words[2]), s.now)
	case "withdraw":
		state.Withdraw(oleanderspool.AttemptID(words[1]), s.now)
	case "check":
		s.check(state, words)
	}
}

func (s *session) check(state *suspect.State, words []string) {
	d := state.Check(suspect.Query{
		Fingerprint: oleanderspool.Fingerprint(number(words[1])), Attempt: oleanderspool.AttemptID(words[2]),
		Instance: "s9", Incarnation: "i9", Remaining: number(words[3]), ExpectedDuration: 1000,
	}, s.now)
	s.printf("    %s", [...]string{"run", "run as trial on " + string(d.Instance), fmt.Sprintf("wait until %d", d.Until), "refuse"}[d.Action])
	if d.Refusal != nil {
		s.printf("    %v, retry after %d", d.Refusal, d.Refusal.RetryAfter)
	}
}

func number(word string) oleanderspool.Millis {
	n, err := strconv.ParseInt(word, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return oleanderspool.Millis(n)
}

var _ = Describe("State", func() {
	scripts, err := filepath.Glob("testdata/*.session")
	if err != nil || len(scripts) == 0 {
		panic("no sessions in testdata")
	}
	// Guards against changes of the record format and of the decisions.
	for _, script := range scripts {
		It("reproduces the transcript of "+script, func() {
			lines, err := os.ReadFile(script)
			Expect(err).NotTo(HaveOccurred())
			s := &session{states: map[string]*suspect.State{"e1": suspect.New("e1", 0), "e2": suspect.New("e2", 0)}}
			for line := range strings.Lines(string(lines)) {
				s.run(strings.TrimSpace(line))
			}
			golden.Match(strings.TrimSuffix(script, ".session")+".golden", s.transcript.String())
		})
	}

	// Guards against memory that grows with the number of crashed requests,
	// and against crashing requests that are evicted before cleared suspects.
	It("keeps a bounded number of fingerprints and still refuses a crashing request", func() {
		s := suspect.New("e1", 0, suspect.WithLimit(100))
		s.Crashed(suspect.Crash{ID: "c", Fingerprints: []oleanderspool.Fingerprint{7}, Trial: "a", Local: true}, 0)
		var log []oleanderspool.Record
		for i := range 1000 {
			f := oleanderspool.Fingerprint(1000 + i)
			s.Crashed(suspect.Crash{ID: suspect.CrashID(fmt.Sprint(i)), Fingerprints: []oleanderspool.Fingerprint{f}, Local: true}, oleanderspool.Millis(i))
			for _, data := range s.DueRecords(oleanderspool.Millis(i)) {
				log = append(log, oleanderspool.Record{Offset: oleanderspool.Offset(len(log) + 1), Data: data})
			}
			s.Apply(log, oleanderspool.Offset(len(log)), oleanderspool.Millis(i), oleanderspool.Millis(i))
		}
		Expect(s.Len()).To(BeNumerically("<=", 101))
		d := s.Check(suspect.Query{Fingerprint: 7, Remaining: 1000}, 1000)
		Expect(d.Refusal.Reason).To(Equal(oleanderspool.RefusalCrashesServer))
	})

	// Guards against an entry that connects after a crash and does not learn
	// of it, and against a history that grows without bound.
	It("keeps the last 16 crashes of an engine for entries that connect later", func() {
		h := suspect.NewHistory("s1", "i1")
		h.Add(nil, "")
		for i := range 20 {
			h.Add([]oleanderspool.Fingerprint{oleanderspool.Fingerprint(i)}, "")
		}
		Expect(h.Crashes()).To(HaveLen(16))
		Expect(h.Crashes()[15].ID).To(Equal(suspect.CrashID("s1/i1/21")))
	})

	// Guards against a third crash by concurrent copies: they are routed to
	// one server while it is up, but a copy that arrives before the crash is
	// known is routed to another one. Other requests that were in flight too
	// are served.
	It("limits the crashes by concurrent copies of a request to two servers", func() {
		for _, spread := range []int{0, 200, 1000, 3000} {
			for neighbours, seeds := range []uint64{500, 0, 50} {
				var counts [8]int
				for seed := range seeds {
					sm := newSimulation(seed, 3, 5)
					for i := range 20 {
						sm.send(sm.entries[i%3], poison, true, 30_000)
						for n := range neighbours {
							sm.send(sm.entries[i%3], oleanderspool.Fingerprint(1+neighbours*i+n), true, 30_000)
						}
						if i%4 == 3 {
							sm.advance(oleanderspool.Millis(spread / 5))
						}
					}
					sm.endFaults()
					r := sm.send(sm.entries[0], poison, true, 30_000)
					sm.advance(2000)
					Expect(r.refused.Reason).To(Equal(oleanderspool.RefusalCrashesServer))
					Expect(sm.wronglyRefused).To(BeEmpty())
					counts[min(sm.crashes, len(counts)-1)]++
				}
				Expect(counts[2]).To(BeEquivalentTo(seeds), "%d other requests per copy; number of runs by crashes, from 0: %v", neighbours, counts)
			}
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
			s.Crashed(suspect.Crash{ID: "c", Fingerprints: fingerprints, Local: true}, 0)
			s.Apply(nil, 0, 0, 0)
			b.ReportAllocs()
			for b.Loop() {
				if d := s.Check(suspect.Query{Fingerprint: 1 << 40, Remaining: 1000}, 0); d.Action != suspect.Run {
					b.Fatal(d)
				}
			}
		})
	}
}
