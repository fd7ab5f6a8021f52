package attempt

import (
	"container/list"

	"github.com/oleanderspool/oleanderspool"
)

// Timeouts of a reader, in milliseconds.
const (
	// FirstEventTimeout bounds the wait for the first event of a stream, which
	// the agent sends as soon as the call arrives.
	FirstEventTimeout = oleanderspool.Second
	// StreamTimeout is the duration without an event after which a reader closes
	// a stream. It is three heartbeats.
	StreamTimeout = 3 * oleanderspool.Second
	// MinReaderTimeout leaves a reader enough time to detect that its stream has
	// timed out and to attach again: the agent's lease of a stream detaches the
	// reader after half of the reader timeout.
	MinReaderTimeout = 2 * (StreamTimeout + FirstEventTimeout)
)

// Limits bounds a [Table].
type Limits struct {
	// StartWindow is the duration after the instant in an attempt's ID within
	// which the attempt may start. The table remembers every attempt for at
	// least this long and refuses older ones, so that no attempt starts twice
	// although memory is bounded. It must be longer than the time an attempt
	// waits for its claim plus the age of the agent's last report.
	StartWindow oleanderspool.Millis
	// ReaderTimeout is the duration without a reader after which idempotent
	// work is cancelled. Below MinReaderTimeout, work is also cancelled while
	// its reader is replacing a lost connection.
	ReaderTimeout oleanderspool.Millis
	// KeyLifetime is the duration after its end for which a keyed attempt is
	// remembered.
	KeyLifetime oleanderspool.Millis
	// UnkeyedRetention is the duration after its end for which an unkeyed
	// attempt can be resumed.
	UnkeyedRetention oleanderspool.Millis
	// MaxAnswerBytes bounds the memory of complete answers, in bytes. Above it
	// the oldest without a reader are evicted.
	MaxAnswerBytes int64
	// MaxEnded bounds the number of remembered attempts that have ended or
	// were barred. Above it the oldest without a reader are forgotten. After
	// that, only attempts with a later instant than the forgotten ones of their
	// class may start.
	MaxEnded int
}

// DefaultLimits suit an agent with 64 MiB for answers that have ended. The start
// window is more than twice the sum of the 10 s that a claim may wait for a slow
// log and the 3 s of report age.
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
	// Remaining is the time left until the deadline of the request, in
	// milliseconds. Work must not begin after the deadline, which is within the
	// key lifetime: after the key lifetime the claim may have been replaced.
	Remaining oleanderspool.Millis
}

// Reply is the reply to an attach.
type Reply struct {
	State   State
	Pieces  []oleanderspool.Piece  // must not be modified
	Refusal *oleanderspool.Refusal // why the attempt failed or did not start; nil if unknown
}

// Counts holds the event counts of a [Table].
type Counts struct {
	Started             int64 // attempts accepted
	Refused             int64 // starts of attempts that are known, barred or too old
	Pieces              int64 // pieces added
	DroppedPieces       int64 // pieces of attempts that were not running or whose work had not begun
	Cancelled           int64 // attempts cancelled on request
	Abandoned           int64 // attempts cancelled because they had no reader
	Expired             int64 // attempts whose work had not begun by their deadline
	EvictedAnswers      int64 // answers evicted because of MaxAnswerBytes
	ForgottenEarly      int64 // attempts forgotten because of MaxEnded
	ForgottenOnSchedule int64 // attempts forgotten at the end of their retention
}

// Table is an agent's table of attempts. Each attempt starts at most once.
type Table struct {
	incarnation oleanderspool.Incarnation
	limits      Limits
	records     map[oleanderspool.AttemptID]*record
	timers      timerHeap
	ended       list.List // of *record, in the order in which they ended
	answers     list.List // of *record with a complete answer, in the order in which they ended
	answerBytes int64
	// lastForgottenEarly is, for each class, the latest instant of an attempt
	// that was forgotten because of MaxEnded. Attempts with an instant up to it
	// must not start.
	lastForgottenEarly [classCount]oleanderspool.Millis
	// lastForgottenMayHaveRun is, for each class, the latest instant of an
	// attempt that was forgotten and may have run. An attempt with an instant up
	// to it may have run.
	lastForgottenMayHaveRun [classCount]oleanderspool.Millis
	counts                  Counts
}

// NewTable returns an empty table of the given incarnation of an agent. All
// instants must come from one clock of this incarnation.
func NewTable(incarnation oleanderspool.Incarnation, limits Limits) *Table {
	t := &Table{
		incarnation: incarnation,
		limits:      limits,
		records:     map[oleanderspool.AttemptID]*record{},
	}
	for c := range t.lastForgottenEarly {
		t.lastForgottenEarly[c], t.lastForgottenMayHaveRun[c] = -1, -1
	}
	return t
}

// Counts returns the event counts so far.
func (t *Table) Counts() Counts {
	return t.counts
}

// AnswerBytes returns the memory of the complete answers, in bytes.
func (t *Table) AnswerBytes() int64 {
	return t.answerBytes
}

// Len returns the number of attempts that the table remembers.
func (t *Table) Len() int {
	return len(t.records)
}

// Start accepts an attempt and counts the caller as its reader. It returns false
// if the attempt must not start; the returned state is the reason.
func (t *Table) Start(s Start, now oleanderspool.Millis) (State, bool) {
	state, r := t.find(s.Attempt, s.Incarnation, now)
	if r != nil || state != StateNotStarted {
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

// Begin records that the work of an accepted attempt is about to be handed to
// the engine or the service. It returns false if the work must not begin,
// because the attempt has ended or its deadline has passed.
func (t *Table) Begin(id oleanderspool.AttemptID, now oleanderspool.Millis) bool {
	r, ok := t.runningRecord(id)
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
// to be sent. A final piece ends the attempt. Append drops the piece and returns
// false if the attempt is not running or its work has not begun.
func (t *Table) Append(id oleanderspool.AttemptID, p oleanderspool.Piece, now oleanderspool.Millis) (oleanderspool.Piece, bool) {
	r, ok := t.runningRecord(id)
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
// bars the attempt, so that a repeated start message does not run it. If the
// attempt has produced pieces, the refusal is changed to "may have run" instead.
// Fail returns false if the attempt is not running.
func (t *Table) Fail(id oleanderspool.AttemptID, refusal *oleanderspool.Refusal, now oleanderspool.Millis) bool {
	r, ok := t.runningRecord(id)
	if !ok {
		return false
	}
	if len(r.pieces) > 0 && refusal.Execution == oleanderspool.NotRun {
		refusal = refusal.WithExecution(oleanderspool.MayHaveRun)
	}
	t.fail(r, refusal, now)
	return true
}

// Bar forbids the start of an attempt that has not started. The returned state
// is StateBarred if the attempt will never run, otherwise its current state.
func (t *Table) Bar(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) State {
	state, r := t.find(id, incarnation, now)
	if r != nil || state != StateNotStarted {
		return state
	}
	t.bar(id, now)
	return StateBarred
}

// Cancel ends an attempt and returns true if its work must be stopped.
// Non-idempotent work that has begun continues, because stopping it would leave
// unknown how much of it was done. An attempt that has not started is barred,
// in case the cancel arrived before the start.
func (t *Table) Cancel(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) (State, bool) {
	state, r := t.find(id, incarnation, now)
	if r == nil {
		if state == StateNotStarted {
			t.bar(id, now)
			return StateBarred, false
		}
		return state, false
	}
	if state != StateRunning || r.begun && !r.idempotent {
		return state, false
	}
	t.counts.Cancelled++
	t.cancel(r, cancelledRefusal("the attempt was cancelled"), now)
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
	return Reply{State: r.state, Pieces: r.piecesFrom(from), Refusal: r.refusal}
}

// Pieces returns the pieces of an attempt from a sequence number on and the
// attempt's state. It does not add a reader.
func (t *Table) Pieces(id oleanderspool.AttemptID, from int64) Reply {
	r, ok := t.records[id]
	if !ok {
		return Reply{}
	}
	return Reply{State: r.state, Pieces: r.piecesFrom(from), Refusal: r.refusal}
}

// Detach removes a reader that was added by Start or Attach.
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
	t.enforceLimits()
}

// Tick forgets attempts at the end of their retention. It also ends the attempts
// that had no reader for too long or whose work has not begun in time, and
// returns them: the caller must stop their work or remove it from the queue.
func (t *Table) Tick(now oleanderspool.Millis) []oleanderspool.AttemptID {
	var stop []oleanderspool.AttemptID
	for {
		r, ok := t.popDue(now)
		if !ok {
			return stop
		}
		if r.state == StateRunning {
			t.endOverdue(r, now)
			stop = append(stop, r.id)
			continue
		}
		t.counts.ForgottenOnSchedule++
		t.forget(r)
	}
}

// NextTick returns the earliest instant at which Tick may have work to do, or
// false if there is none.
func (t *Table) NextTick() (oleanderspool.Millis, bool) {
	if len(t.timers) == 0 {
		return 0, false
	}
	return t.timers[0].at, true
}

// find returns the state of an attempt and its record, which is nil if the table
// has none.
func (t *Table) find(id oleanderspool.AttemptID, incarnation oleanderspool.Incarnation, now oleanderspool.Millis) (State, *record) {
	if incarnation != t.incarnation {
		return StateOtherIncarnation, nil
	}
	if r, ok := t.records[id]; ok {
		return r.state, r
	}
	return t.stateWithoutRecord(id, now), nil
}

// stateWithoutRecord returns the state of an attempt that has no record.
func (t *Table) stateWithoutRecord(id oleanderspool.AttemptID, now oleanderspool.Millis) State {
	class, issued, ok := ParseID(id)
	if !ok || issued > now {
		// The ID was not made from a report of this agent. A bar of it would have
		// to be remembered for an unbounded time.
		return StateForgotten
	}
	if now-issued <= t.limits.StartWindow && issued > t.lastForgottenEarly[class] {
		return StateNotStarted
	}
	if issued > t.lastForgottenMayHaveRun[class] {
		return StateBarred
	}
	return StateForgotten
}

func (t *Table) runningRecord(id oleanderspool.AttemptID) (*record, bool) {
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

func (t *Table) endOverdue(r *record, now oleanderspool.Millis) {
	if !r.begun && now >= r.deadline {
		t.expire(r, now)
		return
	}
	t.counts.Abandoned++
	// A reader that was disconnected or paused for too long may come back. The
	// refusal allows it to retry the request.
	t.cancel(r, cancelledRefusal("the attempt had no reader").WithRetry(oleanderspool.RetryBarred), now)
}

func cancelledRefusal(message string) *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalCancelled, message)
}

func (t *Table) cancel(r *record, refusal *oleanderspool.Refusal, now oleanderspool.Millis) {
	if r.begun {
		refusal = refusal.WithExecution(oleanderspool.MayHaveRun)
	}
	t.fail(r, refusal, now)
}

// expire ends an attempt whose work had not begun by its deadline.
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
	r.endedElement = t.ended.PushBack(r)
	if state == StateFinished {
		r.answerElement = t.answers.PushBack(r)
		t.answerBytes += r.bytes
	}
	t.schedule(r)
	t.enforceLimits()
}

// enforceLimits evicts answers and forgets attempts above the limits. It spares
// those that have a reader.
func (t *Table) enforceLimits() {
	for t.answerBytes > t.limits.MaxAnswerBytes {
		r := oldestUnread(&t.answers)
		if r == nil {
			break
		}
		t.evict(r)
	}
	for t.ended.Len() > t.limits.MaxEnded {
		r := oldestUnread(&t.ended)
		if r == nil {
			break
		}
		t.counts.ForgottenEarly++
		t.lastForgottenEarly[r.class] = max(t.lastForgottenEarly[r.class], r.issued)
		t.forget(r)
	}
}

func oldestUnread(l *list.List) *record {
	for e := l.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r.readers == 0 {
			return r
		}
	}
	return nil
}

// evict drops the answer of an attempt and keeps the record that it ran.
func (t *Table) evict(r *record) {
	t.counts.EvictedAnswers++
	t.dropAnswer(r)
	r.state = StateEvicted
	r.pieces, r.bytes = nil, 0
}

func (t *Table) dropAnswer(r *record) {
	if r.answerElement == nil {
		return
	}
	t.answers.Remove(r.answerElement)
	t.answerBytes -= r.bytes
	r.answerElement = nil
}

func (t *Table) forget(r *record) {
	t.dropAnswer(r)
	t.ended.Remove(r.endedElement)
	delete(t.records, r.id)
	if r.mayHaveRun() {
		t.lastForgottenMayHaveRun[r.class] = max(t.lastForgottenMayHaveRun[r.class], r.issued)
	}
}
