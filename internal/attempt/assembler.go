package attempt

import (
	"slices"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Verdict tells what an [Assembler] did with a piece.
type Verdict int

// The verdicts on a piece.
const (
	// Accepted pieces are part of the answer.
	Accepted Verdict = iota
	// Duplicate pieces were accepted before.
	Duplicate
	// Late pieces belong to an attempt that the answer no longer continues
	// from, or come after the answer's end.
	Late
	// Misdirected pieces belong to another request or to an unknown attempt, or
	// claim to be final although later ones came.
	Misdirected
	// TooFar pieces are more than the window ahead of the first missing one.
	// They come again with an attach from the missing one.
	TooFar
)

// AssemblerCounts counts the pieces by verdict.
type AssemblerCounts struct {
	Accepted, Duplicate, Late, Misdirected, TooFar int64
}

// reorderWindow is the number of pieces that an assembler holds ahead of a
// missing one. Pieces of one stream come in order; only a resumed stream that
// overlaps its predecessor brings others.
const reorderWindow = 256

// ErrCannotContinue marks an answer that cannot continue with another attempt.
var ErrCannotContinue = oleanderspool.ErrInvalid.NewSubtype("continue")

// Assembler puts the answer to one request together from the pieces of one
// attempt after another. Only a non-idempotent request has a single attempt.
type Assembler struct {
	request    oleanderspool.RequestID // that the pieces carry
	attempt    oleanderspool.AttemptID
	idempotent bool
	earlier    []oleanderspool.AttemptID
	next       int64 // sequence number of the first missing piece
	ahead      map[int64]oleanderspool.Piece
	highest    int64 // highest accepted sequence number
	last       int64 // sequence number of the final piece; 0 while unknown
	text       strings.Builder
	tokens     int
	counts     AssemblerCounts
	resume     int64 // first missing piece of the latest earlier attempt
}

// NewAssembler returns an assembler of the answer of an attempt. request is
// the one that the attempt was made for; an answer that is followed through a
// claim carries the claim's request. The text is kept only if idempotent is
// set, because nothing else can continue from it.
func NewAssembler(request oleanderspool.RequestID, id oleanderspool.AttemptID, idempotent bool) *Assembler {
	return &Assembler{
		request:    request,
		attempt:    id,
		idempotent: idempotent,
		next:       1,
		ahead:      map[int64]oleanderspool.Piece{},
	}
}

// Accept takes a piece and returns the pieces that now follow the answer so
// far, in order and without gaps.
func (a *Assembler) Accept(p oleanderspool.Piece) ([]oleanderspool.Piece, Verdict) {
	verdict := a.judge(p)
	a.count(verdict)
	if verdict != Accepted {
		return nil, verdict
	}
	a.highest = max(a.highest, p.Sequence)
	if p.Final {
		a.last = p.Sequence
	}
	if p.Sequence != a.next {
		a.ahead[p.Sequence] = p
		return nil, Accepted
	}
	return a.deliver(p), Accepted
}

func (a *Assembler) judge(p oleanderspool.Piece) Verdict {
	switch {
	case p.Request != a.request || p.Sequence < 1:
		return Misdirected
	case slices.Contains(a.earlier, p.Attempt):
		return Late
	case p.Attempt != a.attempt:
		return Misdirected
	case p.Sequence < a.next:
		return Duplicate
	case a.last > 0 && p.Sequence > a.last:
		return Late
	case p.Sequence >= a.next+reorderWindow:
		return TooFar
	}
	if _, held := a.ahead[p.Sequence]; held {
		return Duplicate
	}
	if p.Final && p.Sequence < a.highest {
		return Misdirected
	}
	return Accepted
}

// deliver adds p and the held pieces that follow it.
func (a *Assembler) deliver(p oleanderspool.Piece) []oleanderspool.Piece {
	ready := []oleanderspool.Piece{p}
	a.add(p)
	for {
		following, ok := a.ahead[a.next]
		if !ok {
			return ready
		}
		delete(a.ahead, a.next)
		ready = append(ready, following)
		a.add(following)
	}
}

func (a *Assembler) add(p oleanderspool.Piece) {
	a.next = p.Sequence + 1
	a.tokens += p.Tokens
	if a.idempotent {
		a.text.WriteString(p.Text)
	}
}

func (a *Assembler) count(v Verdict) {
	switch v {
	case Accepted:
		a.counts.Accepted++
	case Duplicate:
		a.counts.Duplicate++
	case Late:
		a.counts.Late++
	case Misdirected:
		a.counts.Misdirected++
	case TooFar:
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
// stream is to resume, and whether later pieces have already come. It returns
// 0 for a complete answer.
func (a *Assembler) Missing() (sequence int64, gap bool) {
	if a.Complete() {
		return 0, false
	}
	return a.next, len(a.ahead) > 0
}

// Complete reports whether all pieces up to the final one have come.
func (a *Assembler) Complete() bool {
	return a.last > 0 && a.next > a.last
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

// Continue goes on with the pieces of another attempt, which generates from
// the returned text on. The error is of type [ErrCannotContinue] for a
// non-idempotent request, a complete answer or an attempt that was used
// before.
func (a *Assembler) Continue(id oleanderspool.AttemptID) (string, error) {
	switch {
	case !a.idempotent:
		return "", ErrCannotContinue.New("the request is not idempotent")
	case a.Complete():
		return "", ErrCannotContinue.New("the answer is complete")
	case id == a.attempt || slices.Contains(a.earlier, id):
		return "", ErrCannotContinue.New("attempt %s was used before", id)
	}
	a.earlier = append(a.earlier, a.attempt)
	a.resume = a.next
	a.attempt = id
	a.next = 1
	a.highest = 0
	a.last = 0
	clear(a.ahead)
	return a.Text(), nil
}

// Revert goes back to the attempt before the latest Continue, which is then
// resumed from the first missing piece on. It returns false once a piece of the
// current attempt was accepted, or if there is no attempt to go back to.
func (a *Assembler) Revert() bool {
	if a.resume == 0 || a.highest > 0 {
		return false
	}
	latest := len(a.earlier) - 1
	a.earlier[latest], a.attempt = a.attempt, a.earlier[latest]
	a.next = a.resume
	a.highest = a.resume - 1
	a.resume = 0
	return true
}
