package attempt_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

// tableModel checks a table against the sets of attempts that have started and
// that the table has reported as barred. It guards against a second start after
// an attempt was forgotten, and against an attempt that runs although it was
// reported as barred.
type tableModel struct {
	table            *attempt.Table
	now              oleanderspool.Millis
	ids              []oleanderspool.AttemptID
	started          map[oleanderspool.AttemptID]bool
	barredAfterStart map[oleanderspool.AttemptID]bool
	barred           map[oleanderspool.AttemptID]bool
	answers          map[oleanderspool.AttemptID]string
	begun            map[oleanderspool.AttemptID]bool
	deadlines        map[oleanderspool.AttemptID]oleanderspool.Millis
	pieces           map[oleanderspool.AttemptID]int
	readers          map[oleanderspool.AttemptID]int
}

func newTableModel() *tableModel {
	return &tableModel{
		table:            attempt.NewTable(incarnation1, smallLimits),
		started:          map[oleanderspool.AttemptID]bool{},
		barredAfterStart: map[oleanderspool.AttemptID]bool{},
		barred:           map[oleanderspool.AttemptID]bool{},
		answers:          map[oleanderspool.AttemptID]string{},
		begun:            map[oleanderspool.AttemptID]bool{},
		deadlines:        map[oleanderspool.AttemptID]oleanderspool.Millis{},
		pieces:           map[oleanderspool.AttemptID]int{},
		readers:          map[oleanderspool.AttemptID]int{},
	}
}

// drawID draws a new attempt or a known one, mostly a recent one, so that several
// actions apply to the same attempt.
func (m *tableModel) drawID(t *rapid.T) oleanderspool.AttemptID {
	switch choice := rapid.IntRange(0, 4).Draw(t, "choice"); {
	case len(m.ids) > 0 && choice < 3:
		return rapid.SampledFrom(m.ids[max(0, len(m.ids)-3):]).Draw(t, "recent")
	case len(m.ids) > 0 && choice == 3:
		return rapid.SampledFrom(m.ids).Draw(t, "any")
	}
	age := oleanderspool.Millis(rapid.IntRange(0, 1200).Draw(t, "age"))
	class := attempt.Class(rapid.IntRange(0, 1).Draw(t, "class"))
	id := attempt.NewID(class, max(0, m.now-age), fmt.Sprint(len(m.ids)))
	m.ids = append(m.ids, id)
	return id
}

func (m *tableModel) checkState(t *rapid.T, id oleanderspool.AttemptID, s attempt.State) {
	ran := m.started[id] && !m.barredAfterStart[id]
	// An attempt whose work has not begun may be barred by a cancel or by its
	// deadline.
	if ran && !m.begun[id] && s == attempt.StateBarred {
		m.barredAfterStart[id], ran = true, false
	}
	switch s {
	case attempt.StateBarred:
		if ran {
			t.Fatalf("%s ran, but the table reports it as barred", id)
		}
		m.barred[id] = true
	case attempt.StateNotStarted:
		if m.started[id] || m.barred[id] {
			t.Fatalf("%s started or was barred, but the table reports it as not started", id)
		}
	case attempt.StateRunning, attempt.StateFinished, attempt.StateFailed, attempt.StateEvicted:
		if !ran {
			t.Fatalf("%s did not run, but the table reports it as %s", id, s)
		}
	}
}

func (m *tableModel) start(t *rapid.T) {
	id := m.drawID(t)
	state, ok := m.table.Start(attempt.Start{Attempt: id, Request: "r", Incarnation: incarnation1, Idempotent: rapid.Bool().Draw(t, "idempotent"), Remaining: 700}, m.now)
	if !ok {
		m.checkState(t, id, state)
		return
	}
	if m.started[id] || m.barred[id] {
		t.Fatalf("%s starts although it must not; started before: %t, barred: %t", id, m.started[id], m.barred[id])
	}
	m.started[id] = true
	m.deadlines[id] = m.now + 700
	m.readers[id]++
}

func (m *tableModel) begin(t *rapid.T) {
	id := m.drawID(t)
	if !m.table.Begin(id, m.now) {
		return
	}
	if m.barredAfterStart[id] || !m.begun[id] && m.now >= m.deadlines[id] {
		t.Fatalf("%s begins although it must not; barred after start: %t, deadline %d, now %d", id, m.barredAfterStart[id], m.deadlines[id], m.now)
	}
	m.begun[id] = true
}

func (m *tableModel) bar(t *rapid.T) {
	id := m.drawID(t)
	m.checkState(t, id, m.table.Bar(id, incarnation1, m.now))
}

func (m *tableModel) cancel(t *rapid.T) {
	id := m.drawID(t)
	state, _ := m.table.Cancel(id, incarnation1, m.now)
	m.checkState(t, id, state)
}

func (m *tableModel) attach(t *rapid.T) {
	id := m.drawID(t)
	reply := m.table.Attach(id, incarnation1, 1, m.now)
	m.checkState(t, id, reply.State)
	if reply.State == attempt.StateRunning || reply.State == attempt.StateFinished {
		m.readers[id]++
	}
	if reply.State != attempt.StateFinished {
		return
	}
	var text strings.Builder
	for _, p := range reply.Pieces {
		text.WriteString(p.Text)
	}
	if text.String() != m.answers[id] {
		t.Fatalf("%s has an answer of %d bytes, want %d", id, text.Len(), len(m.answers[id]))
	}
}

func (m *tableModel) detach(t *rapid.T) {
	id := m.drawID(t)
	m.table.Detach(id, m.now)
	m.readers[id] = max(0, m.readers[id]-1)
}

func (m *tableModel) appendPiece(t *rapid.T) {
	id := m.drawID(t)
	text := strings.Repeat("x", rapid.IntRange(0, 300).Draw(t, "size"))
	if _, ok := m.table.Append(id, oleanderspool.Piece{Text: text, Final: rapid.Bool().Draw(t, "final")}, m.now); ok {
		m.answers[id] += text
		m.pieces[id]++
	}
}

func (m *tableModel) fail(t *rapid.T) {
	id := m.drawID(t)
	execution := oleanderspool.Execution(rapid.IntRange(0, 2).Draw(t, "execution"))
	if !m.table.Fail(id, oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "").WithExecution(execution), m.now) {
		return
	}
	m.barredAfterStart[id] = execution == oleanderspool.NotRun && m.pieces[id] == 0
}

func (m *tableModel) advance(t *rapid.T) {
	m.now += oleanderspool.Millis(rapid.SampledFrom([]int{1, 100, 900, 9000}).Draw(t, "duration"))
	m.table.Tick(m.now)
}

func (m *tableModel) checkLen(t *rapid.T) {
	unread := 0
	for id := range m.started {
		if m.readers[id] == 0 {
			unread++
		}
	}
	if read := len(m.started) - unread; m.table.Len() > smallLimits.MaxEnded+read+m.running() {
		t.Fatalf("the table remembers %d attempts, more than allowed with %d that have readers", m.table.Len(), read)
	}
}

func (m *tableModel) running() int {
	n := 0
	for id := range m.started {
		if m.table.Pieces(id, 1).State == attempt.StateRunning {
			n++
		}
	}
	return n
}

func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel()
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "begin": m.begin, "bar": m.bar, "cancel": m.cancel, "attach": m.attach, "detach": m.detach,
			"piece": m.appendPiece, "fail": m.fail, "advance": m.advance, "": m.checkLen,
		})
	})
}

// TestAssemblerAgainstStream guards against an answer that differs from what was
// sent, whatever the order, repetition and resumption of the pieces, and also if
// the answer continues with another attempt that is then reverted.
func TestAssemblerAgainstStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var pieces []oleanderspool.Piece
		var want strings.Builder
		for i := range count {
			p := oleanderspool.Piece{Request: "r", Attempt: "a", Sequence: int64(i + 1), Text: fmt.Sprint(i, " "), Final: i+1 == count}
			pieces = append(pieces, p)
			want.WriteString(p.Text)
		}
		a := attempt.NewAssembler("r", "a", true)
		var got strings.Builder
		accepted := map[int64]bool{}
		accept := func(p oleanderspool.Piece) {
			ready, verdict := a.Accept(p)
			if verdict == attempt.VerdictAccepted && accepted[p.Sequence] {
				t.Fatalf("piece %d is accepted twice", p.Sequence)
			}
			accepted[p.Sequence] = accepted[p.Sequence] || verdict == attempt.VerdictAccepted
			for _, r := range ready {
				got.WriteString(r.Text)
			}
		}
		// continueWithOther continues with another attempt. It reverts this
		// attempt, unless a piece of it is accepted.
		continueWithOther := func(piece bool) {
			missing, _ := a.Missing()
			if _, err := a.Continue("b"); err != nil {
				return
			}
			if piece {
				p := oleanderspool.Piece{Request: "r", Attempt: "b", Sequence: 2, Text: "b"}
				if _, verdict := a.Accept(p); verdict != attempt.VerdictAccepted || a.Revert() {
					t.Fatalf("a piece of the new attempt was rejected, or Revert succeeded after it: %v", verdict)
				}
				t.Skip("the remaining pieces belong to another stream")
			}
			if !a.Revert() || a.Revert() {
				t.Fatalf("Revert did not succeed exactly once")
			}
			for i := missing; i <= int64(count); i++ {
				accepted[i] = false
			}
		}
		at := rapid.IntRange(0, 90).Draw(t, "continue at")
		for n, i := range rapid.SliceOfN(rapid.IntRange(0, count-1), 0, 60).Draw(t, "order") {
			if n == at {
				continueWithOther(rapid.IntRange(0, 20).Draw(t, "piece") == 0)
			}
			accept(pieces[i])
		}
		for missing, _ := a.Missing(); missing != 0; missing, _ = a.Missing() {
			if a.Complete() {
				t.Fatalf("the answer is complete without piece %d", missing)
			}
			accept(pieces[missing-1])
		}
		if got.String() != want.String() || a.Text() != want.String() {
			t.Fatalf("got %q, want %q", got.String(), want.String())
		}
	})
}
