package handover_test

import (
	"fmt"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

const (
	size        = 120_000 // engine memory in tokens
	prefillRate = 20.0    // tokens per millisecond
	tokenSpan   = 100     // milliseconds per generated token
)

// answer is one request with what its caller has received.
type answer struct {
	stream   handover.Stream
	received int64
	at       string                  // "source", "target" or "" once it has ended
	moved    oleanderspool.AttemptID // attempt at the target
	asked    bool                    // the entry has an offer
}

// world is a leaving agent, one that takes streams over, and the entry between
// them. Its ledgers account for memory as the agents' do.
type world struct {
	now     oleanderspool.Millis
	source  *handover.Source
	target  *handover.Target
	memory  map[string]*memory.Ledger
	engine  map[string]map[string]int64 // memory that the engines hold
	answers []*answer
	offers  map[oleanderspool.AttemptID]int
	exports oleanderspool.AttemptID // in progress
	leaves  bool
	slow    bool // a transfer has shown that the link is slow
	// The transfer in progress at each side with the bound of its phase, and the
	// caches that wait at the target with theirs.
	at, to    step
	ready     map[oleanderspool.AttemptID]oleanderspool.Millis
	exportsAt oleanderspool.Millis
	text      strings.Builder
	problems  []string
}

// step is a part of a transfer that nothing may overlap.
type step struct {
	id    oleanderspool.AttemptID
	until oleanderspool.Millis
}

// begin notes a step. It is a problem if another one is in progress.
func (w *world) begin(s *step, id oleanderspool.AttemptID, span oleanderspool.Millis) {
	if s.id != "" && s.id != id && w.now < s.until {
		w.problems = append(w.problems, fmt.Sprintf("%s begins during %s", id, s.id))
	}
	*s = step{id, w.now + span}
}

func newWorld() *world {
	w := &world{
		source: handover.NewSource(handover.DefaultLimits),
		target: handover.NewTarget(handover.DefaultLimits),
		memory: map[string]*memory.Ledger{"source": memory.NewLedger(size), "target": memory.NewLedger(size)},
		engine: map[string]map[string]int64{"source": {}, "target": {}},
		offers: map[oleanderspool.AttemptID]int{},
		ready:  map[oleanderspool.AttemptID]oleanderspool.Millis{},
	}
	for side, l := range w.memory {
		l.ObserveRun(size, side, 0)
	}
	return w
}

func (w *world) printf(format string, arguments ...any) {
	fmt.Fprintf(&w.text, "%6d  ", w.now)
	fmt.Fprintf(&w.text, format+"\n", arguments...)
}

func (w *world) start(prompt, output int64, idempotent, bound bool) *answer {
	id := oleanderspool.AttemptID(fmt.Sprintf("a%d", len(w.answers)+1))
	x := &answer{at: "source", stream: handover.Stream{
		Attempt: id, Idempotent: idempotent, Pinned: bound, PromptTokens: prompt, OutputTokens: output, Deadline: w.now + 10*oleanderspool.Minute,
	}}
	if !w.hold("source", string(id), memory.OwnerAttempt, prompt+output, x.stream.Deadline) {
		return nil
	}
	w.answers = append(w.answers, x)
	w.source.Started(x.stream)
	return x
}

func (w *world) hold(side, name string, owner memory.Owner, tokens int64, expiry oleanderspool.Millis) bool {
	if w.memory[side].Reserve(memory.Reservation{Name: name, Owner: owner, Tokens: tokens, Expiry: expiry}, w.now) != nil {
		return false
	}
	w.engine[side][name] = tokens
	return true
}

// advance lets time pass while running streams generate.
func (w *world) advance(span oleanderspool.Millis) {
	for range span / tokenSpan {
		w.now += tokenSpan
		for _, x := range w.answers {
			w.generate(x)
		}
	}
}

// tick ends imports whose bound has passed and reconciles memory.
func (w *world) tick() {
	for _, id := range w.target.RemoveExpired(w.now) {
		w.memory["target"].Release(string(id), w.now)
		w.printf("%s lapsed", id)
	}
	for side, l := range w.memory {
		l.Expire(w.now)
		list := memory.List{RequestedAt: w.now, RunID: side}
		for name, tokens := range w.engine[side] {
			list.Entries = append(list.Entries, oleanderspool.MemoryAllocation{Owner: name, Tokens: tokens})
		}
		l.Reconcile(list, w.now)
		for _, c := range l.Cancels(w.now) {
			delete(w.engine[side], c.Name)
			l.Confirm(c, w.now)
		}
	}
}

func (w *world) generate(x *answer) {
	if x.at == "" {
		return
	}
	name := string(x.stream.Attempt)
	if x.at == "target" {
		name = string(x.moved)
	}
	if w.engine[x.at][name] == 0 {
		w.problems = append(w.problems, name+" runs without memory")
	}
	x.received++
	if x.at == "source" {
		w.source.Generated(x.stream.Attempt, 1, w.now)
	}
	if x.received < x.stream.OutputTokens {
		return
	}
	delete(w.engine[x.at], name)
	w.memory[x.at].Finished(name, w.now)
	if x.at == "source" {
		w.leftSource(x)
	}
	x.at = ""
	w.printf("%s ended", x.stream.Attempt)
}

func (w *world) leftSource(x *answer) {
	w.source.Ended(x.stream.Attempt)
	if w.at.id == x.stream.Attempt {
		w.at.id = ""
	}
}

func (w *world) find(id oleanderspool.AttemptID) *answer {
	for _, x := range w.answers {
		if x.stream.Attempt == id {
			return x
		}
	}
	return nil
}

// offer asks for a stream to move and tells its reader, unless the message is
// lost. It checks what is offered against the rules.
func (w *world) offer(lost bool) {
	id, ok := w.source.NextOffer(prefillRate, w.now)
	if !ok {
		return
	}
	x := w.find(id)
	w.offers[id]++
	w.begin(&w.at, id, handover.DefaultLimits.OfferTimeout)
	rest := oleanderspool.Millis(tokenSpan) * oleanderspool.Millis(x.stream.OutputTokens-x.received)
	w.printf("%s offered, %d ms left", id, rest)
	switch {
	case !w.leaves, x.at != "source", !x.stream.Idempotent, x.stream.Pinned:
		w.problems = append(w.problems, "offered "+string(id))
	case rest < handover.DefaultLimits.MinRemaining, x.stream.PromptTokens+x.received < prefillRate*int64(handover.DefaultLimits.MinPrefillTime):
		w.problems = append(w.problems, "short work is offered: "+string(id))
	case w.offers[id] > handover.DefaultLimits.MaxOffers:
		w.problems = append(w.problems, "offered too often: "+string(id))
	}
	x.asked = !lost && w.source.MarkAnnounced(id)
}

// ask starts the import and export of an offered stream.
func (w *world) ask(x *answer) {
	if !x.asked || x.at != "source" {
		return
	}
	x.asked = false
	id := x.stream.Attempt
	moved := oleanderspool.AttemptID(fmt.Sprintf("%s.%d", id, w.now))
	until, ok := w.target.BeginImport(moved, w.now)
	if !ok {
		w.printf("%s: target is busy", id)
		return
	}
	w.begin(&w.to, moved, handover.DefaultLimits.TransferTimeout)
	if !w.hold("target", string(moved), memory.OwnerImport, x.stream.PromptTokens+x.stream.OutputTokens, until) {
		w.target.Drop(moved)
		w.to.id = ""
		w.printf("%s: no memory", id)
		return
	}
	x.moved = moved
	if !w.source.BeginExport(id, w.now) {
		return
	}
	w.begin(&w.at, id, handover.DefaultLimits.TransferTimeout)
	w.exports, w.exportsAt = id, w.now
	_ = w.memory["source"].Transfer(string(id), memory.OwnerExport, x.stream.Deadline)
	w.printf("%s exports", id)
}

// exported ends the export in progress; bytes is 0 for a failure that the target
// notices and -1 for one that it does not.
func (w *world) exported(bytes int64) {
	id := w.exports
	w.exports = ""
	if id == "" {
		return
	}
	x := w.find(id)
	_ = w.memory["source"].Transfer(string(id), memory.OwnerAttempt, x.stream.Deadline)
	if bytes <= 0 {
		w.source.ExportFailed(id, w.now)
		w.at.id = ""
		if bytes == 0 && w.target.Drop(x.moved) {
			w.memory["target"].Release(string(x.moved), w.now)
			w.to.id = ""
		}
		w.printf("%s: export failed", id)
		return
	}
	if !w.source.Exported(id, bytes, w.now) || x.at != "source" {
		return
	}
	w.slow = w.slow || bytes > 1<<20 || w.now-w.exportsAt > 500
	w.begin(&w.at, id, handover.DefaultLimits.SwitchTimeout)
	until, ok := w.target.ImportReady(x.moved, w.now)
	if ok {
		if w.now >= w.to.until {
			w.problems = append(w.problems, "a lapsed import is ready: "+string(x.moved))
		}
		w.to.id = ""
		w.ready[x.moved] = w.now + handover.DefaultLimits.SwitchTimeout
		_ = w.memory["target"].Extend(string(x.moved), until)
	}
	w.printf("%s exported %d bytes, imported %v", id, bytes, ok)
}

// switchOver lets a stream go on at the target, from the text so far.
func (w *world) switchOver(x *answer) {
	if x.at != "source" || x.moved == "" || !w.target.Claim(x.moved, w.now) {
		return
	}
	if w.memory["target"].Transfer(string(x.moved), memory.OwnerAttempt, x.stream.Deadline) != nil {
		return
	}
	if w.now >= w.ready[x.moved] {
		w.problems = append(w.problems, "goes on without a cache: "+string(x.moved))
	}
	w.leftSource(x)
	w.memory["source"].Release(string(x.stream.Attempt), w.now)
	x.at = "target"
	w.printf("%s goes on as %s", x.stream.Attempt, x.moved)
}
