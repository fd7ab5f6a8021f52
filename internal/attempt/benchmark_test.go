package attempt_test

import (
	"strconv"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

// BenchmarkPiece measures the cost of one piece of 16 bytes in the table and the
// assembler, in answers of 1,000 pieces.
func BenchmarkPiece(b *testing.B) {
	const length = 1000
	table := attempt.NewTable(incarnation1, attempt.DefaultLimits)
	var id oleanderspool.AttemptID
	var a *attempt.Assembler
	b.ReportAllocs()
	for i := range b.N {
		if i%length == 0 {
			id = attempt.NewID(attempt.ClassUnkeyed, 0, strconv.Itoa(i))
			table.Start(attempt.Start{Attempt: id, Request: "r", Incarnation: incarnation1, Idempotent: true, Remaining: 1000}, 0)
			table.Begin(id, 0)
			a = attempt.NewAssembler("r", id, true)
		}
		p, _ := table.Append(id, oleanderspool.Piece{Text: "sixteen bytes...", Tokens: 4, Final: i%length == length-1}, 0)
		if ready, _ := a.Accept(p); len(ready) != 1 {
			b.Fatal("the piece was not delivered")
		}
		if p.Final {
			table.Detach(id, 0)
		}
	}
}

// BenchmarkStart measures an attempt from its start to its end while the table
// remembers 100,000 others.
func BenchmarkStart(b *testing.B) {
	limits := attempt.DefaultLimits
	limits.MaxEnded = 100_000
	table := attempt.NewTable(incarnation1, limits)
	b.ReportAllocs()
	for i := range b.N {
		now := oleanderspool.Millis(i)
		id := attempt.NewID(attempt.ClassKeyed, now, strconv.Itoa(i))
		table.Start(attempt.Start{Attempt: id, Request: "r", Incarnation: incarnation1, Remaining: 1000}, now)
		table.Begin(id, now)
		table.Append(id, oleanderspool.Piece{Text: "sixteen bytes...", Final: true}, now)
		table.Detach(id, now)
	}
}
