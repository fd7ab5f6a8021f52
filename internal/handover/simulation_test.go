package handover_test

import (
	"fmt"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/memory"
)

const (
	memorySize    = 120_000 // engine memory in tokens
	prefillRate   = 20.0    // tokens per millisecond
	tokenInterval = 100     // milliseconds between generated tokens
)

// request is one request and what its caller has received.
type request struct {
	stream       handover.Stream
	received     int64
	runsAt       string                  // "source", "target", or "" after the end
	movedAttempt oleanderspool.AttemptID // ID of the attempt at the target
	offered      bool                    // the entry has received an offer
}

// simulation has a leaving agent, an agent that takes streams over, and the entry
// between them. Its ledgers account for engine memory as those of agents do.
type simulation struct {
	now       oleanderspool.Millis
	source    *handover.Source
	target    *handover.Target
	memory    map[string]*memory.Ledger
	engine    map[string]map[string]int64 // tokens of memory that the engines hold, by attempt
	requests  []*request
	offers    map[oleanderspool.AttemptID]int
	exporting oleanderspool.AttemptID // stream whose export is in progress; empty for none
	leaving   bool
	slowLink  bool // a transfer has shown that the link is slow
	// The steps in progress at both sides, and the deadlines of the caches that wait
	// at the target for their attempts.
	sourceStep, targetStep step
	readyUntil             map[oleanderspool.AttemptID]oleanderspool.Millis
	exportStartedAt        oleanderspool.Millis
	transcript             strings.Builder
	problems               []string
}

// step is a phase of a transfer at one side. Steps at one side must not overlap.
type step struct {
	id       oleanderspool.AttemptID
	deadline oleanderspool.Millis
}

// begin starts a step. It records a problem if another one is in progress.
func (s *simulation) begin(current *step, id oleanderspool.AttemptID, timeout oleanderspool.Millis) {
	if current.id != "" && current.id != id && s.now < current.deadline {
		s.problems = append(s.problems, fmt.Sprintf("%s begins during %s", id, current.id))
	}
	*current = step{id, s.now + timeout}
}

func newSimulation() *simulation {
	s := &simulation{
		source:     handover.NewSource(handover.DefaultLimits),
		target:     handover.NewTarget(handover.DefaultLimits),
		memory:     map[string]*memory.Ledger{"source": memory.NewLedger(memorySize), "target": memory.NewLedger(memorySize)},
		engine:     map[string]map[string]int64{"source": {}, "target": {}},
		offers:     map[oleanderspool.AttemptID]int{},
		readyUntil: map[oleanderspool.AttemptID]oleanderspool.Millis{},
	}
	for side, l := range s.memory {
		l.ObserveRun(memorySize, side, 0)
	}
	return s
}

func (s *simulation) printf(format string, arguments ...any) {
	fmt.Fprintf(&s.transcript, "%6d  ", s.now)
	fmt.Fprintf(&s.transcript, format+"\n", arguments...)
}

func (s *simulation) start(prompt, output int64, idempotent, pinned bool) *request {
	id := oleanderspool.AttemptID(fmt.Sprintf("a%d", len(s.requests)+1))
	r := &request{runsAt: "source", stream: handover.Stream{
		Attempt: id, Idempotent: idempotent, Pinned: pinned, PromptTokens: prompt, OutputTokens: output, Deadline: s.now + 10*oleanderspool.Minute,
	}}
	if !s.reserve("source", string(id), memory.PurposeAttempt, prompt+output, r.stream.Deadline) {
		return nil
	}
	s.requests = append(s.requests, r)
	s.source.Started(r.stream)
	return r
}

func (s *simulation) reserve(side, name string, owner memory.Purpose, tokens int64, expiry oleanderspool.Millis) bool {
	if s.memory[side].Reserve(memory.Reservation{Name: name, Purpose: owner, Tokens: tokens, Expiry: expiry}, s.now) != nil {
		return false
	}
	s.engine[side][name] = tokens
	return true
}

// advance lets time pass, during which running streams generate tokens.
func (s *simulation) advance(duration oleanderspool.Millis) {
	for range duration / tokenInterval {
		s.now += tokenInterval
		for _, r := range s.requests {
			s.generate(r)
		}
	}
}

// expire removes expired imports and reconciles memory.
func (s *simulation) expire() {
	for _, id := range s.target.RemoveExpired(s.now) {
		s.memory["target"].Release(string(id), s.now)
		s.printf("%s: import expired", id)
	}
	for side, l := range s.memory {
		l.Expire(s.now)
		list := memory.List{RequestedAt: s.now, RunID: side}
		for name, tokens := range s.engine[side] {
			list.Allocations = append(list.Allocations, oleanderspool.MemoryAllocation{Owner: name, Tokens: tokens})
		}
		l.Reconcile(list, s.now)
		for _, c := range l.Cancels(s.now) {
			delete(s.engine[side], c.Name)
			l.Confirm(c, s.now)
		}
	}
}

func (s *simulation) generate(r *request) {
	if r.runsAt == "" {
		return
	}
	name := string(r.stream.Attempt)
	if r.runsAt == "target" {
		name = string(r.movedAttempt)
	}
	if s.engine[r.runsAt][name] == 0 {
		s.problems = append(s.problems, name+" runs without memory")
	}
	r.received++
	if r.runsAt == "source" {
		s.source.Generated(r.stream.Attempt, 1, s.now)
	}
	if r.received < r.stream.OutputTokens {
		return
	}
	delete(s.engine[r.runsAt], name)
	s.memory[r.runsAt].Finished(name, s.now)
	if r.runsAt == "source" {
		s.endAtSource(r)
	}
	r.runsAt = ""
	s.printf("%s ended", r.stream.Attempt)
}

func (s *simulation) endAtSource(r *request) {
	s.source.Ended(r.stream.Attempt)
	if s.sourceStep.id == r.stream.Attempt {
		s.sourceStep.id = ""
	}
}

func (s *simulation) find(id oleanderspool.AttemptID) *request {
	for _, r := range s.requests {
		if r.stream.Attempt == id {
			return r
		}
	}
	return nil
}

// offer chooses a stream to move and announces the offer to its entry, unless the
// message is lost. It records a problem if the stream must not be offered.
func (s *simulation) offer(lost bool) {
	id, ok := s.source.NextOffer(prefillRate, s.now)
	if !ok {
		return
	}
	r := s.find(id)
	s.offers[id]++
	s.begin(&s.sourceStep, id, handover.DefaultLimits.OfferTimeout)
	remaining := oleanderspool.Millis(tokenInterval) * oleanderspool.Millis(r.stream.OutputTokens-r.received)
	s.printf("%s offered, %d ms left", id, remaining)
	switch {
	case !s.leaving, r.runsAt != "source", !r.stream.Idempotent, r.stream.Pinned:
		s.problems = append(s.problems, "offered a stream that must stay: "+string(id))
	case remaining < handover.DefaultLimits.MinRemaining, r.stream.PromptTokens+r.received < prefillRate*int64(handover.DefaultLimits.MinPrefillTime):
		s.problems = append(s.problems, "offered a stream that is not worth moving: "+string(id))
	case s.offers[id] > handover.DefaultLimits.MaxOffers:
		s.problems = append(s.problems, "offered too often: "+string(id))
	}
	r.offered = !lost && s.source.MarkAnnounced(id)
}

// startTransfer starts the import and the export of an offered stream.
func (s *simulation) startTransfer(r *request) {
	if !r.offered || r.runsAt != "source" {
		return
	}
	r.offered = false
	id := r.stream.Attempt
	moved := oleanderspool.AttemptID(fmt.Sprintf("%s.%d", id, s.now))
	until, ok := s.target.BeginImport(moved, s.now)
	if !ok {
		s.printf("%s: target is busy", id)
		return
	}
	s.begin(&s.targetStep, moved, handover.DefaultLimits.TransferTimeout)
	if !s.reserve("target", string(moved), memory.PurposeImport, r.stream.PromptTokens+r.stream.OutputTokens, until) {
		s.target.Drop(moved)
		s.targetStep.id = ""
		s.printf("%s: no memory", id)
		return
	}
	r.movedAttempt = moved
	if !s.source.BeginExport(id, s.now) {
		return
	}
	s.begin(&s.sourceStep, id, handover.DefaultLimits.TransferTimeout)
	s.exporting, s.exportStartedAt = id, s.now
	_ = s.memory["source"].Transfer(string(id), memory.PurposeExport, r.stream.Deadline)
	s.printf("%s exports", id)
}

// endExport ends the export in progress. bytes is the size of the cache, 0 for a
// failure that the target detects, or -1 for one that it does not.
func (s *simulation) endExport(bytes int64) {
	id := s.exporting
	s.exporting = ""
	if id == "" {
		return
	}
	r := s.find(id)
	_ = s.memory["source"].Transfer(string(id), memory.PurposeAttempt, r.stream.Deadline)
	if bytes <= 0 {
		s.source.ExportFailed(id, s.now)
		s.sourceStep.id = ""
		if bytes == 0 && s.target.Drop(r.movedAttempt) {
			s.memory["target"].Release(string(r.movedAttempt), s.now)
			s.targetStep.id = ""
		}
		s.printf("%s: export failed", id)
		return
	}
	if !s.source.Exported(id, bytes, s.now) || r.runsAt != "source" {
		return
	}
	s.slowLink = s.slowLink || bytes > 1<<20 || s.now-s.exportStartedAt > 500
	s.begin(&s.sourceStep, id, handover.DefaultLimits.SwitchTimeout)
	until, ok := s.target.ImportReady(r.movedAttempt, s.now)
	if ok {
		if s.now >= s.targetStep.deadline {
			s.problems = append(s.problems, "an expired import is ready: "+string(r.movedAttempt))
		}
		s.targetStep.id = ""
		s.readyUntil[r.movedAttempt] = s.now + handover.DefaultLimits.SwitchTimeout
		_ = s.memory["target"].Extend(string(r.movedAttempt), until)
	}
	s.printf("%s exported %d bytes, imported %v", id, bytes, ok)
}

// switchOver lets a stream continue at the target after the tokens received so far.
func (s *simulation) switchOver(r *request) {
	if r.runsAt != "source" || r.movedAttempt == "" || !s.target.Claim(r.movedAttempt, s.now) {
		return
	}
	if s.memory["target"].Transfer(string(r.movedAttempt), memory.PurposeAttempt, r.stream.Deadline) != nil {
		return
	}
	if s.now >= s.readyUntil[r.movedAttempt] {
		s.problems = append(s.problems, "continues without a cache: "+string(r.movedAttempt))
	}
	s.endAtSource(r)
	s.memory["source"].Release(string(r.stream.Attempt), s.now)
	r.runsAt = "target"
	s.printf("%s continues as %s", r.stream.Attempt, r.movedAttempt)
}
