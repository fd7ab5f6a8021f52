package attempt

import (
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Verdict says how an [Assembler] classified a piece.
type Verdict int

// The verdicts on a piece.
const (
	// VerdictAccepted pieces are part of the answer.
	VerdictAccepted Verdict = iota
	// VerdictDuplicate pieces were accepted before.
	VerdictDuplicate
	// VerdictLate pieces belong to an attempt of the answer that is not the
	// current one, or follow the final piece.
	VerdictLate
	// VerdictMisdirected pieces belong to another request or to an unknown
	// attempt, or are marked as final although later ones were accepted.
	VerdictMisdirected
	// VerdictTooFar pieces are at least reorderWindow ahead of the first missing
	// one. They are sent again after an attach from the missing one on.
	VerdictTooFar
)

// AssemblerCounts counts the pieces by verdict.
type AssemblerCounts struct {
	Accepted, Duplicate, Late, Misdirected, TooFar int64
}

// reorderWindow is the number of sequence numbers, from the first missing piece
// on, that an assembler accepts. Pieces of one stream come in order; they arrive
// out of order only if a resumed stream overlaps the previous one.
const reorderWindow = 256

// ErrCannotContinue is the type of errors about an answer that cannot continue
// with another attempt.
var ErrCannotContinue = oleanderspool.ErrInvalid.NewSubtype("continue")

// Assembler assembles the answer to one request from the pieces of one or more
// successive attempts. A non-idempotent request has only one attempt.
type Assembler struct {
	request              oleanderspool.RequestID // request ID in the pieces
	attempt              oleanderspool.AttemptID
	idempotent           bool
	earlierAttempts      []oleanderspool.AttemptID
	nextSequence         int64 // sequence number of the first missing piece
	buffered             map[int64]oleanderspool.Piece
	highestSequence      int64 // highest accepted sequence number
	finalSequence        int64 // sequence number of the final piece; 0 while unknown
	text                 strings.Builder
	tokens               int
	counts               AssemblerCounts
	previousNextSequence int64 // first missing piece of the previous attempt, for Revert; 0 if there is none
}

// NewAssembler returns an assembler for the answer of an attempt. request is
// the one that the attempt was made for; the answer of an attempt that is
// followed through a claim carries the claim's request. The text is kept only if
// idempotent is set, because only idempotent requests can continue from it.
func NewAssembler(request oleanderspool.RequestID, id oleanderspool.AttemptID, idempotent bool) *Assembler {
	return &Assembler{
		request:      request,
		attempt:      id,
		idempotent:   idempotent,
		nextSequence: 1,
		buffered:     map[int64]oleanderspool.Piece{},
	}
}

// Accept processes a piece and returns the pieces that now extend the answer, in
// order and without gaps.
func (a *Assembler) Accept(p oleanderspool.Piece) ([]oleanderspool.Piece, Verdict) {
	verdict := a.classify(p)
	a.count(verdict)
	if verdict != VerdictAccepted {
		return nil, verdict
	}
	a.highestSequence = max(a.highestSequence, p.Sequence)
	if p.Final {
		a.finalSequence = p.Sequence
	}
	if p.Sequence != a.nextSequence {
		a.buffered[p.Sequence] = p
		return nil, VerdictAccepted
	}
	return a.deliver(p), VerdictAccepted
}

func (a *Assembler) classify(p oleanderspool.Piece) Verdict {
	switch {
	case p.Request != a.request || p.Sequence < 1:
		return VerdictMisdirected
	case slices.Contains(a.earlierAttempts, p.Attempt):
		return VerdictLate
	case p.Attempt != a.attempt:
		return VerdictMisdirected
	case p.Sequence < a.nextSequence:
		return VerdictDuplicate
	case a.finalSequence > 0 && p.Sequence > a.finalSequence:
		return VerdictLate
	case p.Sequence >= a.nextSequence+reorderWindow:
		return VerdictTooFar
	}
	if _, found := a.buffered[p.Sequence]; found {
		return VerdictDuplicate
	}
	if p.Final && p.Sequence < a.highestSequence {
		return VerdictMisdirected
	}
	return VerdictAccepted
}

// deliver adds p and the buffered pieces that follow it, and returns them.
func (a *Assembler) deliver(p oleanderspool.Piece) []oleanderspool.Piece {
	ready := []oleanderspool.Piece{p}
	a.add(p)
	for {
		following, ok := a.buffered[a.nextSequence]
		if !ok {
			return ready
		}
		delete(a.buffered, a.nextSequence)
		ready = append(ready, following)
		a.add(following)
	}
}

func (a *Assembler) add(p oleanderspool.Piece) {
	a.nextSequence = p.Sequence + 1
	a.tokens += p.Tokens
	if a.idempotent {
		a.text.WriteString(p.Text)
	}
}

func (a *Assembler) count(v Verdict) {
	switch v {
	case VerdictAccepted:
		a.counts.Accepted++
	case VerdictDuplicate:
		a.counts.Duplicate++
	case VerdictLate:
		a.counts.Late++
	case VerdictMisdirected:
		a.counts.Misdirected++
	case VerdictTooFar:
		a.counts.TooFar++
	}
}

// Counts returns the number of pieces by verdict.
func (a *Assembler) Counts() AssemblerCounts {
	return a.counts
}

// Attempt returns the attempt whose pieces are accepted.
func (a *Assembler) Attempt() oleanderspool.AttemptID {
	return a.attempt
}

// Missing returns the sequence number of the first missing piece, from which a
// stream is to be resumed, and whether later pieces have already arrived. It
// returns 0 for a complete answer.
func (a *Assembler) Missing() (sequence int64, gap bool) {
	if a.Complete() {
		return 0, false
	}
	return a.nextSequence, len(a.buffered) > 0
}

// Complete reports whether all pieces up to the final one have arrived.
func (a *Assembler) Complete() bool {
	return a.finalSequence > 0 && a.nextSequence > a.finalSequence
}

// Text returns the text so far, without pieces that follow a missing one. It
// is empty for a non-idempotent request.
func (a *Assembler) Text() string {
	return a.text.String()
}

// Tokens returns the number of generated tokens in the answer so far.
func (a *Assembler) Tokens() int {
	return a.tokens
}

// Continue switches to the pieces of another attempt, which continues the
// generation after the returned text. The error is of type [ErrCannotContinue]
// for a non-idempotent request, a complete answer or an attempt that was used
// before.
func (a *Assembler) Continue(id oleanderspool.AttemptID) (string, error) {
	switch {
	case !a.idempotent:
		return "", ErrCannotContinue.New("the request is not idempotent")
	case a.Complete():
		return "", ErrCannotContinue.New("the answer is complete")
	case id == a.attempt || slices.Contains(a.earlierAttempts, id):
		return "", ErrCannotContinue.New("attempt %s was used before", id)
	}
	a.earlierAttempts = append(a.earlierAttempts, a.attempt)
	a.previousNextSequence = a.nextSequence
	a.attempt = id
	a.nextSequence = 1
	a.highestSequence = 0
	a.finalSequence = 0
	clear(a.buffered)
	return a.Text(), nil
}

// Revert returns to the attempt before the latest [Assembler.Continue], which is
// then to be resumed from its first missing piece on. It does nothing and
// returns false if a piece of the current attempt was accepted or if there is no
// attempt to return to.
func (a *Assembler) Revert() bool {
	if a.previousNextSequence == 0 || a.highestSequence > 0 {
		return false
	}
	latest := len(a.earlierAttempts) - 1
	a.earlierAttempts[latest], a.attempt = a.attempt, a.earlierAttempts[latest]
	a.nextSequence = a.previousNextSequence
	a.highestSequence = a.previousNextSequence - 1
	a.previousNextSequence = 0
	return true
}
