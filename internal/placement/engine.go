package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// pairUnit is the number of pairs of tokens that [directory.Engine.AttentionCost] is
// stated for.
const pairUnit = 1e6

// readMillis returns the time in ms that an idle engine takes to read a prompt, a
// chunk in each step.
func readMillis(e *directory.Engine, tokens int64) float64 {
	t := float64(tokens)
	steps := math.Ceil(t / float64(max(1, e.PrefillChunk)))
	return t/e.PrefillRate + t*t/2/pairUnit*e.AttentionCost + steps*e.StepMillis
}

// passMillis returns the time in ms of a pass that only writes for a number of
// requests with the given sum of contexts in tokens.
func passMillis(e *directory.Engine, writers int, context int64) float64 {
	step := e.StepMillis + float64(writers)*e.SequenceCost + float64(context)/1000*e.ContextCost
	return float64(e.StepsPerPass) * step
}

// readPerPass returns the largest part, in ms, of a prompt's reading that takes
// place within one pass.
func readPerPass(e *directory.Engine, tokens int64, read float64) float64 {
	limit := e.PrefillChunk * int64(e.StepsPerPass)
	if tokens <= limit || tokens == 0 {
		return read
	}
	// The last piece has the most earlier tokens and takes longest.
	t, l := float64(tokens), float64(limit)
	return l/e.PrefillRate + l*(t-l/2)/pairUnit*e.AttentionCost
}

// millis converts a span of the model, rounded up.
func millis(m float64) oleanderspool.Millis {
	return oleanderspool.Millis(math.Ceil(m))
}
