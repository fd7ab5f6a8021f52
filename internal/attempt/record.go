package attempt

import (
	"container/list"
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// never is an instant that is never reached.
const never = oleanderspool.Millis(math.MaxInt64)

// record is what a table stores about one attempt.
type record struct {
	id            oleanderspool.AttemptID
	request       oleanderspool.RequestID
	class         Class
	issued        oleanderspool.Millis // instant in the attempt ID
	idempotent    bool
	begun         bool                 // the work was handed to the engine or the service
	deadline      oleanderspool.Millis // instant from which on the work must not begin
	state         State
	pieces        []oleanderspool.Piece
	bytes         int64 // memory of the pieces, in bytes
	refusal       *oleanderspool.Refusal
	readers       int
	unreadSince   oleanderspool.Millis
	endedAt       oleanderspool.Millis
	scheduled     oleanderspool.Millis // instant of the earliest timer that is set for the record
	endedElement  *list.Element        // element of Table.ended
	answerElement *list.Element        // element of Table.answers
}

// mayHaveRun reports whether the attempt was accepted and not barred. Its work may
// not have begun yet.
func (r *record) mayHaveRun() bool {
	return r.state != StateBarred
}

// due returns the instant at which the table must end the attempt or forget the
// record.
func (r *record) due(limits Limits) oleanderspool.Millis {
	if r.state == StateRunning {
		return r.runningDue(limits)
	}
	switch {
	case r.readers > 0:
		return never
	case r.state == StateBarred:
		return r.issued + limits.StartWindow + 1
	case r.class == ClassKeyed:
		return r.endedAt + limits.KeyLifetime
	default:
		return max(r.endedAt+limits.UnkeyedRetention, r.issued+limits.StartWindow+1)
	}
}

// runningDue returns the instant at which the table must end a running attempt.
func (r *record) runningDue(limits Limits) oleanderspool.Millis {
	due := never
	if !r.begun {
		due = r.deadline
	}
	if r.idempotent && r.readers == 0 {
		due = min(due, r.unreadSince+limits.ReaderTimeout)
	}
	return due
}

// piecesFrom returns the pieces from a sequence number on.
func (r *record) piecesFrom(sequence int64) []oleanderspool.Piece {
	first := max(sequence, 1) - 1
	if first >= int64(len(r.pieces)) {
		return nil
	}
	return r.pieces[first:len(r.pieces):len(r.pieces)]
}

// pieceOverhead is the size of a piece in memory without its text, in bytes.
const pieceOverhead = 136

func pieceBytes(p oleanderspool.Piece) int64 {
	return int64(pieceOverhead + len(p.Text))
}
