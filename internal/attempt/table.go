package attempt

import (
	"container/list"

	"github.com/oleanderspool/oleanderspool"
)

// Bounds of a reader's wait, in milliseconds.
const (
	// FirstEventTimeout bounds the wait for an agent's first event, which it
	// sends as soon as a call arrives.
	FirstEventTimeout = oleanderspool.Second
	// StreamTimeout is the span without an event after which a reader gives up a
	// stream. It is three heartbeats.
	StreamTimeout = 3 * oleanderspool.Second
	// MinReaderTimeout leaves a reader the time to notice that its stream has
	// gone silent and to attach again: a reader counts for half of the timeout
	// from its attach on.
	MinReaderTimeout = 2 * (StreamTimeout + FirstEventTimeout)
)

// Limits bounds a [Table].
type Limits struct {
	// StartWindow is the span after the instant in an attempt's ID within
	// which it may start. The table remembers every attempt for at least this
	// long and refuses older ones, so that no attempt starts twice although
	// memory is bounded. It must be longer than the time an attempt waits for
	// its claim plus the age of the agent's last report.
	StartWindow oleanderspool.Millis
	// ReaderTimeout is the span without a reader after which idempotent work
	// is cancelled. Below MinReaderTimeout it also ends work whose reader has
	// lost a connection.
	ReaderTimeout oleanderspool.Millis
	// KeyLifetime is the span after its end for which a keyed attempt is
	// remembered.
	KeyLifetime oleanderspool.Millis
	// UnkeyedRetention is the span after its end for which an unkeyed attempt can
	// be resumed.
	UnkeyedRetention oleanderspool.Millis
	// MaxAnswerBytes bounds the memory of answers that have ended and have no
	// reader, in bytes. The oldest are evicted.
	MaxAnswerBytes int64
	// MaxEnded bounds the number of remembered attempts that have ended or
	// were barred and have no reader. The oldest are forgotten, and with each
	// the start window is shortened to attempts with a later instant.
	MaxEnded int
}

// DefaultLimits suit an agent with 64 MiB for kept answers. The start window
// covers the ten seconds that a claim may wait for a slow log, three seconds of
// report age and as much again.
var DefaultLimits = Limits{
	StartWindow:      30 * oleanderspool.Second,
	ReaderTimeout:    10 * oleanderspool.Second,
	KeyLifetime:      24 * oleanderspool.Hour,
	UnkeyedRetention: 30 * oleanderspool.Second,
	MaxAnswerBytes:   64 << 20,
	MaxEnded:         200_000,
}

// Start describes an attempt that is to start.
type Start struct {
	Attempt     oleanderspool.AttemptID
	Request     oleanderspool.RequestID
	Incarnation oleanderspool.Incarnation // that the attempt was made for
	Idempotent  bool
	// Remaining is the span until the answer is due, in milliseconds. Work
	// that has not begun by then is not begun any more: a claim that is older
	// than its key's lifetime may have been replaced.
	Remaining oleanderspool.Millis
}

// Reply is the answer to an attach.
type Reply struct {
	State   State
	Pieces  []oleanderspool.Piece  // not to be modified
	Refusal *oleanderspool.Refusal // why the attempt failed or did not start; nil if unknown
}

// Counts counts what a [Table] met.
type Counts struct {
	Started             int64 // attempts accepted
	Refused             int64 // starts of attempts that are known, barred or too old
	Pieces              int64 // pieces added
	DroppedPieces       int64 // pieces of attempts that do not run
	Cancelled           int64 // attempts cancelled on request
	Abandoned           int64 // attempts cancelled for want of a reader
	Expired             int64 // attempts whose work had not begun by their time limit
	EvictedAnswers      int64 // answers dropped because of the byte bound
	ForgottenEarly      int64 // attempts forgotten because of MaxEnded
	ForgottenOnSchedule int64 // attempts forgotten after their time
}

// Table is an agent's table of attempts. Each attempt starts at most once.
type Table struct {
	incarnation oleanderspool.Incarnation
	limits      Limits
	records     map[oleanderspool.AttemptID]*record
	timers      timerHeap
	ended       list.List // of *record, in the order of their ends
	answers     list.List // of *record with a whole answer, in the order of their ends
	answerBytes int64
	// floor is the highest instant of an attempt that was forgotten early;
	// attempts up to it do not start.
	floor [classes]oleanderspool.Millis
	// lost is the highest instant of an attempt that ran and was forgotten;
	// of attempts up to it the table cannot say that they did not run.
	lost   [classes]oleanderspool.Millis
	counts Counts
}

// NewTable returns an empty table of the given run of an agent. All instants
// must come from one clock of this run.
func NewTable(incarnation oleanderspool.Incarnation, limits Limits) *Table {
	t := &Table{
		incarnation: incarnation,
		limits:      limits,
		records:     map[oleanderspool.AttemptID]*record{},
	}
	for c := range t.floor {
		t.floor[c], t.lost[c] = -1, -1
	}
	return t
}

// Counts returns what the table has met so far.
func (t *Table) Counts() Counts {
	return t.counts
}

// AnswerBytes returns the memory of the answers that have ended, in bytes.
func (t *Table) AnswerBytes() int64 {
	return t.answerBytes
}

// Len returns the number of attempts that the table knows.
func (t *Table) Len() int {
	return len(t.records)
}

// Start accepts an attempt and counts its caller as a reader. It returns false
// if the attempt must not start; the state says why.
func (t *Table) Start(s Start, now oleanderspool.Millis) (State, bool) {
	state, r := t.find(s.Attempt, s.Incarnation, now)
	if r != nil || state != StateUnknown {
		t.counts.Refused++
		return state, false
	}
	r = t.add(s.Attempt, StateRunning)
	r.request = s.Request
	r.idempotent = s.Idempotent
	r.readers = 1
	r.deadline = now + s.Remaining
	t.schedule(r)
	t.counts.Started++
	return StateRunning, true
}

// Begin marks that the work of an accepted attempt is about to be handed to
// the engine or service. It returns false if the work must not begin: the
// attempt has ended or its time limit has passed.
func (t *Table) Begin(id oleanderspool.AttemptID, now oleanderspool.Millis) bool {
	r, ok := t.running(id)
	if !ok {
		return false
	}
	if !r.begun && now >= r.deadline {
		t.expire(r, now)
		return false
	}
	r.begun = true
	return true
}

// Append numbers a piece of a running attempt, adds it and returns it as it is
// to be sent. A final piece ends the attempt. It returns false and drops the
// piece if the attempt does not run or its work has not begun.
func (t *Table) Append(id oleanderspool.AttemptID, p oleanderspool.Piece, now oleanderspool.Millis) (oleanderspool.Piece, bool) {
	r, ok := t.running(id)
	if !ok || !r.begun {
		t.counts.DroppedPieces++
		return oleanderspool.Piece{}, false
	}
	p.Request = r.request
	p.Attempt = r.id
	p.Sequence = int64(len(r.pieces)) + 1
	r.pieces = append(r.pieces, p)
	r.bytes += pieceBytes(p)
	t.counts.Pieces++
	if p.Final {
		t.end(r, StateFinished, now)
	}
	return p, true
}

// Fail ends a running attempt with a refusal. A refusal that says "not run"
// bars the attempt, so that a repeated start message does not run it; it is
// changed to "may have run" if the attempt has produced pieces. It returns
// false if the attempt does not run.
func (t *Table) Fail(id oleanderspool.AttemptID, refusal *oleanderspool.Refusal, now oleanderspool.Millis) bool {
	r, ok := t.running(id)
	if !ok {
		return false
	}
	if len(r.pieces) > 0 && refusal.Execution == oleanderspool.NotRun {
		refusal = refusal.WithExecution(oleanderspool.MayHaveRun)
	}
	t.fail(r, refusal, now)
	return true
}

// Bar forbids an attempt that has not started. The returned state is
// StateBarred if it will never run, else what it is.
func (t *Table) Bar(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) State {
	state, r := t.find(id, incarnation, now)
	if r != nil || state != StateUnknown {
		return state
	}
	t.bar(id, now)
	return StateBarred
}

// Cancel ends an attempt; it returns true if its work is to be stopped.
// Non-idempotent work that has begun runs on, because stopping it would leave
// unknown how much of it was done. An attempt that has not started is barred,
// in case the cancel overtook the start.
func (t *Table) Cancel(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) (State, bool) {
	state, r := t.find(id, incarnation, now)
	if r == nil {
		if state == StateUnknown {
			t.bar(id, now)
			return StateBarred, false
		}
		return state, false
	}
	if state != StateRunning || r.begun && !r.idempotent {
		return state, false
	}
	t.counts.Cancelled++
	t.cancel(r, cancelled("the attempt was cancelled"), now)
	return r.state, r.begun
}

// Attach adds a reader to an attempt and returns the pieces from a sequence
// number on. The reader counts until Detach only if the state is StateRunning
// or StateFinished.
func (t *Table) Attach(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, from int64, now oleanderspool.Millis) Reply {
	state, r := t.find(id, incarnation, now)
	if r == nil {
		return Reply{State: state}
	}
	if r.state == StateRunning || r.state == StateFinished {
		r.readers++
	}
	return Reply{State: r.state, Pieces: r.from(from), Refusal: r.refusal}
}

// Pieces returns what a reader of an attempt lacks from a sequence number on,
// with the attempt's state. It does not add a reader.
func (t *Table) Pieces(id oleanderspool.AttemptID, from int64) Reply {
	r, ok := t.records[id]
	if !ok {
		return Reply{}
	}
	return Reply{State: r.state, Pieces: r.from(from), Refusal: r.refusal}
}

// Detach removes a reader that Start or Attach has added.
func (t *Table) Detach(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	r, ok := t.records[id]
	if !ok || r.readers == 0 {
		return
	}
	r.readers--
	if r.readers > 0 {
		return
	}
	r.unreadSince = now
	t.schedule(r)
	t.shrink()
}

// Tick forgets what need not be remembered and returns the attempts that are
// to be stopped or taken from the queue, because nobody reads them or their
// work has not begun in time.
func (t *Table) Tick(now oleanderspool.Millis) []oleanderspool.AttemptID {
	var stop []oleanderspool.AttemptID
	for {
		r, ok := t.nextDue(now)
		if !ok {
			return stop
		}
		if r.state == StateRunning {
			t.stop(r, now)
			stop = append(stop, r.id)
			continue
		}
		t.counts.ForgottenOnSchedule++
		t.forget(r)
	}
}

// NextTick returns the instant at which Tick has something to do at the
// earliest, or false if there is none.
func (t *Table) NextTick() (oleanderspool.Millis, bool) {
	if len(t.timers) == 0 {
		return 0, false
	}
	return t.timers[0].at, true
}

// find returns the record of an attempt and its state, or no record and what
// can be said without one.
func (t *Table) find(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) (State, *record) {
	if incarnation != t.incarnation {
		return StateOtherIncarnation, nil
	}
	if r, ok := t.records[id]; ok {
		return r.state, r
	}
	return t.absent(id, now), nil
}

// absent returns what can be said of an attempt without a record.
func (t *Table) absent(id oleanderspool.AttemptID, now oleanderspool.Millis) State {
	class, issued, ok := ParseID(id)
	if !ok || issued > now {
		// The ID was not made from a report of this agent. A bar would have to
		// be remembered for an unbounded span.
		return StateForgotten
	}
	if now-issued <= t.limits.StartWindow && issued > t.floor[class] {
		return StateUnknown
	}
	if issued > t.lost[class] {
		return StateBarred
	}
	return StateForgotten
}

func (t *Table) running(id oleanderspool.AttemptID) (*record, bool) {
	r, ok := t.records[id]
	return r, ok && r.state == StateRunning
}

func (t *Table) add(id oleanderspool.AttemptID, state State) *record {
	class, issued, _ := ParseID(id)
	r := &record{id: id, class: class, issued: issued, state: state, scheduled: never}
	t.records[id] = r
	return r
}

func (t *Table) bar(id oleanderspool.AttemptID, now oleanderspool.Millis) {
	t.end(t.add(id, StateBarred), StateBarred, now)
}

func (t *Table) stop(r *record, now oleanderspool.Millis) {
	if !r.begun && now >= r.deadline {
		t.expire(r, now)
		return
	}
	t.counts.Abandoned++
	// A reader that was cut off or paused for too long may come back. Its
	// request can run again.
	t.cancel(r, cancelled("the attempt had no reader").WithRetry(oleanderspool.RetryBarred), now)
}

func cancelled(message string) *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalCancelled, message)
}

func (t *Table) cancel(r *record, refusal *oleanderspool.Refusal, now oleanderspool.Millis) {
	if r.begun {
		refusal = refusal.WithExecution(oleanderspool.MayHaveRun)
	}
	t.fail(r, refusal, now)
}

// expire ends an attempt whose work has not begun by its time limit.
func (t *Table) expire(r *record, now oleanderspool.Millis) {
	t.counts.Expired++
	t.fail(r, oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the time limit passed before the work began"), now)
}

func (t *Table) fail(r *record, refusal *oleanderspool.Refusal, now oleanderspool.Millis) {
	r.refusal = refusal
	r.pieces, r.bytes = nil, 0
	if refusal.Execution == oleanderspool.NotRun {
		t.end(r, StateBarred, now)
		return
	}
	t.end(r, StateFailed, now)
}

func (t *Table) end(r *record, state State, now oleanderspool.Millis) {
	r.state = state
	r.endedAt = now
	r.ended = t.ended.PushBack(r)
	if state == StateFinished {
		r.answer = t.answers.PushBack(r)
		t.answerBytes += r.bytes
	}
	t.schedule(r)
	t.shrink()
}

// shrink evicts answers and forgets attempts above the bounds.
func (t *Table) shrink() {
	for t.answerBytes > t.limits.MaxAnswerBytes {
		r := firstUnread(&t.answers)
		if r == nil {
			break
		}
		t.evict(r)
	}
	for t.ended.Len() > t.limits.MaxEnded {
		r := firstUnread(&t.ended)
		if r == nil {
			break
		}
		t.counts.ForgottenEarly++
		t.floor[r.class] = max(t.floor[r.class], r.issued)
		t.forget(r)
	}
}

func firstUnread(l *list.List) *record {
	for e := l.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r.readers == 0 {
			return r
		}
	}
	return nil
}

// evict drops the answer of an attempt and keeps the fact that it ran.
func (t *Table) evict(r *record) {
	t.counts.EvictedAnswers++
	t.dropAnswer(r)
	r.state = StateEvicted
	r.pieces, r.bytes = nil, 0
}

func (t *Table) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	t.answers.Remove(r.answer)
	t.answerBytes -= r.bytes
	r.answer = nil
}

func (t *Table) forget(r *record) {
	t.dropAnswer(r)
	t.ended.Remove(r.ended)
	delete(t.records, r.id)
	if r.ran() {
		t.lost[r.class] = max(t.lost[r.class], r.issued)
	}
}
