package placement

import "github.com/oleanderspool/oleanderspool"

const (
	// unusualFactor is the value of a request, relative to the mean of those with its TTFT
	// goal, from which on its prompt is unusually long.
	unusualFactor = 1.6
	// unusualRefusalFraction is the refusalFraction of an unusually long prompt that came
	// back as told. Prefill costs more per token the longer a prompt is, so that by
	// refusalFraction alone the longest ones would be refused each time.
	unusualRefusalFraction = 1.15
	// maxMeanSamples bounds the weight of earlier requests in a mean.
	maxMeanSamples = 64
)

// meanValue is the mean value of recent requests.
type meanValue struct {
	value   float64
	samples int
}

// meanValues holds the mean value of the requests of all entries by TTFT goal.
type meanValues map[oleanderspool.Millis]meanValue

// record counts a request that was placed.
func (m meanValues) record(t Task) {
	mean, known := m[t.TTFTGoal]
	if t.OutputTokens == 0 || t.TTFTGoal == 0 || !known && len(m) >= maxGoals {
		return
	}
	mean.samples = min(mean.samples+1, maxMeanSamples)
	mean.value += (t.Value - mean.value) / float64(mean.samples)
	m[t.TTFTGoal] = mean
}

// isUnusual reports whether the prompt of a request is unusually long.
func (m meanValues) isUnusual(r Request) bool {
	mean, known := m[r.TTFTGoal]
	return known && r.Value() > unusualFactor*mean.value
}

// refusalFraction returns the fraction of its value above which a placed request with a
// long prompt is refused.
func (sc *Scheduler) refusalFraction(r Request, d *Decision) float64 {
	if r.Resubmitted && !r.Overdue && d.TTFT <= r.TTFTGoal && sc.means.isUnusual(r) {
		return unusualRefusalFraction
	}
	return refusalFraction
}
