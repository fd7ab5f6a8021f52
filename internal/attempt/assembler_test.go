package attempt_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

var verdictNames = []string{"accepted", "duplicate", "late", "misdirected", "too_far"}

// Each session guards against a piece in the wrong answer, a piece that is
// delivered twice, or an answer that counts as complete without its final piece.
var _ = Describe("Assembler", func() {
	type step struct {
		request  oleanderspool.RequestID
		attempt  oleanderspool.AttemptID
		sequence int64
		text     string
		final    bool
	}
	const continueStep = "continue"
	sessions := []struct {
		name       string
		idempotent bool
		steps      []step
	}{
		{"order", false, []step{
			{"r", "a", 1, "one ", false},
			{"r", "a", 3, "three ", false},
			{"r", "a", 1, "one ", false},
			{"r", "a", 3, "three ", false},
			{"r", "a", 2, "two ", false},
			{"r", "a", 4, "", true},
			{"r", "a", 5, "more", false},
		}},
		{"misdirected", true, []step{
			{"other", "a", 1, "x", false},
			{"r", "b", 1, "x", false},
			{"r", "a", 0, "x", false},
			{"r", "a", 257, "x", false},
			{"r", "a", 1, "one", true},
		}},
		{"contradictory_end", true, []step{
			{"r", "a", 3, "three", false},
			{"r", "a", 2, "two", true},
			{"r", "a", 4, "", true},
			{"r", "a", 3, "three", true},
			{"r", "a", 1, "one", false},
			{"r", "a", 2, "two", false},
		}},
		{"continue", true, []step{
			{"r", "a", 1, "one ", false},
			{"r", "a", 3, "three ", true},
			{continueStep, "b", 0, "", false},
			{"r", "a", 2, "two ", false},
			{"r", "b", 1, "2 ", false},
			{continueStep, "a", 0, "", false},
			{"r", "b", 2, "3", true},
			{continueStep, "c", 0, "", false},
		}},
		{"continue_not_idempotent", false, []step{
			{"r", "a", 1, "one ", false},
			{continueStep, "b", 0, "", false},
		}},
	}
	for _, c := range sessions {
		It("classifies pieces as recorded in golden file assembler_"+c.name, func() {
			a := attempt.NewAssembler("r", "a", c.idempotent)
			var lines []string
			for _, p := range c.steps {
				if p.request == continueStep {
					text, err := a.Continue(p.attempt)
					lines = append(lines, fmt.Sprintf("continue with %s: %q, error %v", p.attempt, text, err))
					continue
				}
				ready, verdict := a.Accept(oleanderspool.Piece{Request: p.request, Attempt: p.attempt, Sequence: p.sequence, Text: p.text, Tokens: 1, Final: p.final})
				var numbers []int64
				for _, r := range ready {
					numbers = append(numbers, r.Sequence)
				}
				missing, gap := a.Missing()
				lines = append(lines, fmt.Sprintf("%s/%s/%d final %t: %s, ready %v, missing %d, gap %t, complete %t",
					p.request, p.attempt, p.sequence, p.final, verdictNames[verdict], numbers, missing, gap, a.Complete()))
			}
			lines = append(lines, fmt.Sprintf("%q, %d tokens, %+v", a.Text(), a.Tokens(), a.Counts()))
			expectGolden("assembler_"+c.name, lines)
			Expect(a.Attempt()).NotTo(BeEmpty())
		})
	}
})
