package queue

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// rateTimeConstant is the time constant of the exponential decay of
// observations, in busy time of the engine: after it an observation has lost two
// thirds of its weight. It covers several prompts of medium length, so
// a single outlier does not change the rate much.
const rateTimeConstant = 20 * oleanderspool.Second

// referenceDecay is the factor by which the reference rate decays with each
// observation, so that it adapts to an engine whose speed changed permanently.
const referenceDecay = 0.9999

// rateEstimator estimates the prefill rate from finished prefills.
type rateEstimator struct {
	tokens    float64
	busy      float64 // milliseconds
	reference float64 // highest rate observed, or the configured one
	fixed     bool    // whether the reference was configured
}

// newRateEstimator starts with an assumed rate that weighs as much as one second
// of observations.
func newRateEstimator(assumed, reference float64) rateEstimator {
	weight := float64(oleanderspool.Second)
	return rateEstimator{tokens: assumed * weight, busy: weight, reference: reference, fixed: reference > 0}
}

// observe records prefill work in tokens that kept the engine busy for the given
// duration.
func (r *rateEstimator) observe(tokens int64, busy oleanderspool.Millis) {
	if tokens <= 0 || busy <= 0 {
		return
	}
	factor := math.Exp(-float64(busy) / float64(rateTimeConstant))
	r.tokens = r.tokens*factor + float64(tokens)
	r.busy = r.busy*factor + float64(busy)
	if !r.fixed {
		r.reference = max(r.reference*referenceDecay, r.tokensPerMillisecond())
	}
}

// tokensPerMillisecond returns the observed rate in tokens per millisecond.
func (r *rateEstimator) tokensPerMillisecond() float64 {
	return r.tokens / r.busy
}

// duration returns how long work in tokens takes, rounded up.
func (r *rateEstimator) duration(tokens float64) oleanderspool.Millis {
	return oleanderspool.Millis(math.Ceil(tokens / r.tokensPerMillisecond()))
}

// arrivals tracks how much work of each class has arrived recently, in tokens
// with exponential decay.
type arrivals struct {
	tokens    [classCount]float64
	decayedAt oleanderspool.Millis
}

// arrivalTimeConstant is the time constant of the decay of [arrivals].
const arrivalTimeConstant = 30 * oleanderspool.Second

func (a *arrivals) decay(now oleanderspool.Millis) {
	if now <= a.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-a.decayedAt) / float64(arrivalTimeConstant))
	for i := range a.tokens {
		a.tokens[i] *= factor
	}
	a.decayedAt = now
}

func (a *arrivals) add(class int, tokens int64, now oleanderspool.Millis) {
	a.decay(now)
	a.tokens[class] += float64(tokens)
}

// rateBelow returns the rate at which work of smaller classes arrives, in tokens
// per millisecond.
func (a *arrivals) rateBelow(class int, now oleanderspool.Millis) float64 {
	a.decay(now)
	total := 0.0
	for _, tokens := range a.tokens[:class] {
		total += tokens
	}
	return total / float64(arrivalTimeConstant)
}
