package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// minMeanSamples is the number of requests from which on their mean value is used.
	minMeanSamples = 8
	// maxMeanSamples bounds the weight of earlier requests in a mean.
	maxMeanSamples = 64
	// maxExcess bounds what a prompt may cost others where lengths differ by far more than
	// the mean tells.
	maxExcess = 3
)

// meanValue is the mean value of recent requests with long prompts.
type meanValue struct {
	value   float64
	samples int
}

// meanValues holds the mean value of the requests with long prompts of all entries by TTFT
// goal.
type meanValues map[oleanderspool.Millis]meanValue

// record counts a request that was placed.
func (m meanValues) record(t Task) {
	mean, known := m[t.TTFTGoal]
	long := t.Sharded || t.PrefillMillis >= longPrefill
	if !long || t.OutputTokens == 0 || t.TTFTGoal == 0 || !known && len(m) >= maxGoals {
		return
	}
	mean.samples = min(mean.samples+1, maxMeanSamples)
	mean.value += (t.Value - mean.value) / float64(mean.samples)
	m[t.TTFTGoal] = mean
}

// excess returns the prefill time per value of a request, relative to that of a prompt of
// the mean value for its TTFT goal: 1 if it is not longer than that or the mean is unknown,
// and at most maxExcess.
// Attention makes each token of a longer prompt cost more, while the value per token stays.
func (m meanValues) excess(e *directory.Engine, r Request, prefill float64) float64 {
	mean := m[r.TTFTGoal]
	if mean.samples < minMeanSamples || mean.value <= baseValue || r.Overdue {
		return 1
	}
	usual := prefillMillis(e, int64((mean.value-baseValue)/valuePerToken))
	return min(max(1, prefill/r.Value()/(usual/mean.value)), maxExcess)
}

// refusalLimit returns the cost above which a placed request with a long prompt is refused.
// Excess raises it, or an overload would refuse the longest prompts before all others: by
// its square root, so that they do not delay the short ones too much, and in full when the
// caller came back as told and would be lost.
func (r Request) refusalLimit(d *Decision, excess float64) float64 {
	limit := refusalFraction * r.Value()
	switch {
	case r.Overdue || d.TTFT > r.TTFTGoal:
		return limit
	case r.Resubmitted:
		return limit * excess
	default:
		return limit * math.Sqrt(excess)
	}
}
