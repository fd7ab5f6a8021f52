package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// attentionUnit is the number of pairs of tokens per unit of
// [directory.Engine.AttentionCost].
const attentionUnit = 1e6

// prefillMillis returns the prefill time of a prompt on an idle engine in ms, at one
// chunk per step.
func prefillMillis(e *directory.Engine, tokens int64) float64 {
	t := float64(tokens)
	steps := math.Ceil(t / float64(max(1, e.PrefillChunk)))
	return t/e.PrefillRate + t*t/2/attentionUnit*e.AttentionCost + steps*e.StepMillis
}

// passMillis returns the duration in ms of a pass that only decodes, for the given
// number of requests and the sum of their contexts in tokens.
func passMillis(e *directory.Engine, decodes int, contextTokens int64) float64 {
	step := e.StepMillis + float64(decodes)*e.SequenceCost + float64(contextTokens)/1000*e.ContextCost
	return float64(e.StepsPerPass) * step
}

// maxPassPrefillMillis returns the longest prefill time of a prompt within one pass, in
// ms. prefill is its total prefill time in ms.
func maxPassPrefillMillis(e *directory.Engine, tokens int64, prefill float64) float64 {
	limit := e.PrefillChunk * int64(e.StepsPerPass)
	if tokens <= limit || tokens == 0 {
		return prefill
	}
	// The last chunks attend to the most earlier tokens and take longest.
	t, l := float64(tokens), float64(limit)
	return l/e.PrefillRate + l*(t-l/2)/attentionUnit*e.AttentionCost
}

// millis converts a predicted duration in ms, rounded up.
func millis(m float64) oleanderspool.Millis {
	return oleanderspool.Millis(math.Ceil(m))
}
