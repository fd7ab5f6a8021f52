package attempt_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

const incarnation1 = oleanderspool.Incarnation("run1")

// session calls a table and records its replies.
type session struct {
	table *attempt.Table
	now   oleanderspool.Millis
	lines []string
}

func newSession() *session {
	return &session{table: attempt.NewTable(incarnation1, smallLimits)}
}

func (s *session) addLine(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%6d  ", s.now)+fmt.Sprintf(format, args...))
}

func (s *session) advanceTo(now oleanderspool.Millis) *session {
	s.now = now
	if stop := s.table.Tick(now); len(stop) > 0 {
		s.addLine("stop %v", stop)
	}
	return s
}

func (s *session) start(id oleanderspool.AttemptID, idempotent bool) {
	state, ok := s.table.Start(attempt.Start{Attempt: id, Request: "r-" + oleanderspool.RequestID(id), Incarnation: incarnation1, Idempotent: idempotent, Remaining: 2000}, s.now)
	if ok && !strings.Contains(string(id), "queued") {
		s.begin(id)
	}
	s.addLine("start %s: %s, accepted %t", id, state, ok)
}

func (s *session) begin(id oleanderspool.AttemptID) bool { return s.table.Begin(id, s.now) }

func (s *session) appendPiece(id oleanderspool.AttemptID, text string, final bool) {
	p, ok := s.table.Append(id, oleanderspool.Piece{Text: text, Final: final}, s.now)
	s.addLine("piece %s %.10q final %t: number %d, added %t", id, text, final, p.Sequence, ok)
}

func (s *session) fail(id oleanderspool.AttemptID, execution oleanderspool.Execution) {
	ok := s.table.Fail(id, oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "engine").WithExecution(execution), s.now)
	s.addLine("fail %s %s: %t", id, execution, ok)
}

func (s *session) bar(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation) {
	s.addLine("bar %s of %s: %s", id, incarnation, s.table.Bar(id, incarnation, s.now))
}

func (s *session) cancel(id oleanderspool.AttemptID) {
	state, stop := s.table.Cancel(id, incarnation1, s.now)
	s.addLine("cancel %s: %s, stop %t", id, state, stop)
}

func (s *session) attach(id oleanderspool.AttemptID, from int64) {
	reply := s.table.Attach(id, incarnation1, from, s.now)
	var b strings.Builder
	for _, p := range reply.Pieces {
		fmt.Fprintf(&b, " %d:%.10q", p.Sequence, p.Text)
	}
	if reply.Refusal != nil {
		fmt.Fprintf(&b, " %s", reply.Refusal)
	}
	s.addLine("attach %s from %d: %s%s", id, from, reply.State, b.String())
}

func (s *session) detach(id oleanderspool.AttemptID) {
	s.table.Detach(id, s.now)
	s.addLine("detach %s", id)
}

// Each session guards against a way to run an attempt twice, to lose an answer
// or to keep more than the limits allow.
var _ = Describe("Table", func() {
	sessions := []struct {
		name string
		run  func(s *session)
	}{
		{"resume", func(s *session) {
			s.start("u.0.a", true)
			s.appendPiece("u.0.a", "one ", false)
			s.appendPiece("u.0.a", "two ", false)
			s.detach("u.0.a")
			s.advanceTo(499).attach("u.0.a", 2)
			s.advanceTo(1500).appendPiece("u.0.a", "three", true)
			s.attach("u.0.a", 1)
			s.appendPiece("u.0.a", "four", false)
		}},
		{"no_reader", func(s *session) {
			s.start("u.0.idempotent", true)
			s.start("k.0.charge", false)
			s.detach("u.0.idempotent")
			s.detach("k.0.charge")
			s.advanceTo(500).appendPiece("u.0.idempotent", "late", true)
			s.appendPiece("k.0.charge", "done", true)
			s.attach("k.0.charge", 1)
			s.attach("u.0.idempotent", 1)
		}},
		{"bar_and_cancel", func(s *session) {
			s.bar("k.0.a", incarnation1)
			s.start("k.0.a", false)
			s.start("k.0.b", false)
			s.bar("k.0.b", incarnation1)
			s.cancel("k.0.b")
			s.appendPiece("k.0.b", "ran", true)
			s.bar("k.0.b", incarnation1)
			s.bar("k.0.c", "run0")
			s.cancel("u.0.d")
			s.start("u.0.d", true)
			s.start("u.0.e", true)
			s.cancel("u.0.e")
			s.start("u.0.e", true)
		}},
		{"failed_not_run", func(s *session) {
			s.start("k.0.full", false)
			s.fail("k.0.full", oleanderspool.NotRun)
			s.start("k.0.full", false)
			s.attach("k.0.full", 1)
			s.start("k.0.crash", false)
			s.appendPiece("k.0.crash", "half", false)
			s.fail("k.0.crash", oleanderspool.NotRun)
			s.attach("k.0.crash", 1)
		}},
		{"not_begun", func(s *session) {
			s.start("k.0.queued1", false)
			s.start("k.0.queued2", false)
			s.start("u.0.queued3", true)
			s.appendPiece("k.0.queued1", "early", false)
			s.cancel("k.0.queued2")
			s.cancel("u.0.queued3")
			s.advanceTo(1999).start("k.1999.queued4", false)
			s.advanceTo(2000).addLine("begin: %t %t", s.begin("k.0.queued1"), s.begin("k.1999.queued4"))
			s.attach("k.0.queued1", 1)
			s.start("k.0.queued1", false)
			s.advanceTo(4000).appendPiece("k.1999.queued4", "whole", true)
			s.start("k.4000.queued5", false)
			s.now = 6000 // before Tick has seen the deadline
			s.addLine("begin: %t", s.begin("k.4000.queued5"))
			s.attach("k.4000.queued5", 1)
		}},
		{"late_start", func(s *session) {
			s.start("u.0.a", true)
			s.appendPiece("u.0.a", "x", true)
			s.detach("u.0.a")
			s.advanceTo(1000).start("u.0.a", true)
			s.advanceTo(1001).start("u.0.a", true)
			s.bar("u.0.a", incarnation1)
			s.start("u.0.never", true)
			s.start("u.1.never", true)
			s.start("k.1.never", false)
			s.start("u.1002.future", true)
			s.bar("nonsense", incarnation1)
			s.start("u.1.window", true)
		}},
		{"eviction", func(s *session) {
			s.start("k.0.a", false)
			s.appendPiece("k.0.a", strings.Repeat("a", 600), true)
			s.start("k.0.b", false)
			s.appendPiece("k.0.b", strings.Repeat("b", 600), true)
			s.attach("k.0.a", 1)
			s.detach("k.0.b")
			s.detach("k.0.a")
			s.detach("k.0.a")
			s.start("k.0.c", false)
			s.appendPiece("k.0.c", strings.Repeat("c", 600), true)
			s.detach("k.0.c")
			s.attach("k.0.a", 1)
			s.attach("k.0.b", 1)
			s.attach("k.0.c", 1)
			s.start("k.0.a", false)
			s.advanceTo(10001).attach("k.0.a", 1)
		}},
		{"too_many_ended", func(s *session) {
			for i := range 8 {
				s.bar(attempt.NewID(attempt.ClassKeyed, oleanderspool.Millis(i), "bar"), incarnation1)
				s.advanceTo(s.now + 1)
			}
			s.start("k.0.bar", false)
			s.start("k.1.other", false)
			s.start("k.2.other", false)
			s.bar("k.1.other", incarnation1)
		}},
	}
	for _, c := range sessions {
		It("answers calls as recorded in golden file table_"+c.name, func() {
			s := newSession()
			c.run(s)
			s.addLine("%+v, %d attempts, %d bytes", s.table.Counts(), s.table.Len(), s.table.AnswerBytes())
			expectGolden("table_"+c.name, s.lines)
		})
	}
})
