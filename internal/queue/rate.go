package queue

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// rateMemory is the observed busy time after which an observation has lost
// two thirds of its weight. It spans several prompts of medium length, so a
// single odd one does not change the rate much.
const rateMemory = 20 * oleanderspool.Second

// referenceMemory is the factor by which the reference rate falls with each
// observation, so that it follows an engine that was changed for good.
const referenceMemory = 0.9999

// rate observes the prefill rate from finished prefills.
type rate struct {
	tokens    float64
	busy      float64 // milliseconds
	reference float64 // highest rate observed, or the configured one
	fixed     bool    // the reference was configured
}

// newRate starts with an assumed rate that has the weight of one second.
func newRate(assumed, reference float64) rate {
	weight := float64(oleanderspool.Second)
	return rate{tokens: assumed * weight, busy: weight, reference: reference, fixed: reference > 0}
}

// observe records work in tokens that took a span of the engine's time.
func (r *rate) observe(tokens int64, span oleanderspool.Millis) {
	if tokens <= 0 || span <= 0 {
		return
	}
	kept := math.Exp(-float64(span) / float64(rateMemory))
	r.tokens = r.tokens*kept + float64(tokens)
	r.busy = r.busy*kept + float64(span)
	if !r.fixed {
		r.reference = max(r.reference*referenceMemory, r.perMilli())
	}
}

// perMilli returns the observed rate in tokens per millisecond.
func (r *rate) perMilli() float64 {
	return r.tokens / r.busy
}

// span returns how long work in tokens takes, rounded up.
func (r *rate) span(tokens float64) oleanderspool.Millis {
	return oleanderspool.Millis(math.Ceil(tokens / r.perMilli()))
}

// arrivals observes how much work of each class arrives, in tokens per
// millisecond, with an exponentially falling weight of the past.
type arrivals struct {
	tokens [classCount]float64
	at     oleanderspool.Millis
}

// arrivalMemory is the time constant of the observed arrivals.
const arrivalMemory = 30 * oleanderspool.Second

func (a *arrivals) advance(now oleanderspool.Millis) {
	if now <= a.at {
		return
	}
	kept := math.Exp(-float64(now-a.at) / float64(arrivalMemory))
	for i := range a.tokens {
		a.tokens[i] *= kept
	}
	a.at = now
}

func (a *arrivals) add(class int, tokens int64, now oleanderspool.Millis) {
	a.advance(now)
	a.tokens[class] += float64(tokens)
}

// below returns the rate at which work of smaller classes arrives.
func (a *arrivals) below(class int, now oleanderspool.Millis) float64 {
	a.advance(now)
	total := 0.0
	for _, tokens := range a.tokens[:class] {
		total += tokens
	}
	return total / float64(arrivalMemory)
}
