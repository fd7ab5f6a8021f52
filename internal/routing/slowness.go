package routing

import (
	"math"
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// slownessWeight is the weight of a new observation in the moving average. With
	// it, the average is determined by about the last four observations.
	slownessWeight = 0.3
	// fleetRatioWeight is the weight of a new observation in the average over all
	// servers. With it, the average is determined by about the last fifty.
	fleetRatioWeight = 0.02
	// slownessHalfLife is the time after which the measured slowness has decayed by
	// half, so that a server that recovered is tried again.
	slownessHalfLife = 30 * oleanderspool.Second
	// slownessTolerance is the ratio of actual to expected time up to which slowness
	// costs nothing, because predictions are that inaccurate on healthy servers too.
	slownessTolerance = 1.5
	// maxSlowness bounds a single observation, so that one stalled request does
	// not exclude a server for many half-lives.
	maxSlowness = 20
	// minExpected is the lower bound of the expected time in a comparison, in
	// milliseconds. Below it, network latency dominates.
	minExpected oleanderspool.Millis = 20
)

// Slowness is a scorer that measures how much longer than expected servers take to make
// progress. It is safe for concurrent use.
type Slowness struct {
	mutex       sync.RWMutex
	observed    map[oleanderspool.InstanceID]serverRatio
	fleetRatio  float64 // moving average of the ratio over all servers
	defaultRate float64 // prefill rate without a report, in tokens per millisecond
}

type serverRatio struct {
	ratio float64 // moving average of actual over expected time
	at    oleanderspool.Millis
}

// NewSlowness returns a scorer without observations. defaultRate is the prefill rate of
// a server that reported none, in tokens per millisecond.
func NewSlowness(defaultRate float64) *Slowness {
	return &Slowness{observed: make(map[oleanderspool.InstanceID]serverRatio), fleetRatio: 1, defaultRate: defaultRate}
}

// Observe records the time that an attempt took to make progress, for example to its
// first token, and the expected time. It may also be called for an attempt that still
// waits, with the time that it has waited so far, once that exceeds the expected time.
func (s *Slowness) Observe(instance oleanderspool.InstanceID, expected, actual, now oleanderspool.Millis) {
	sample := float64(actual) / float64(max(expected, minExpected))
	sample = min(max(sample, 1), maxSlowness)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fleetRatio += fleetRatioWeight * (sample - s.fleetRatio)
	ratio := s.observed[instance].decayed(now)
	s.observed[instance] = serverRatio{ratio: ratio + slownessWeight*(sample-ratio), at: now}
}

// Forget removes the observations of an instance that has shut down or was removed.
func (s *Slowness) Forget(instance oleanderspool.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.observed, instance)
}

// Ratio returns the moving average of actual over expected time of the instance, at
// least 1.
func (s *Slowness) Ratio(instance oleanderspool.InstanceID, now oleanderspool.Millis) float64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.observed[instance].decayed(now)
}

// decayed returns the ratio after its decay since the last observation.
func (s serverRatio) decayed(now oleanderspool.Millis) float64 {
	if s.ratio <= 1 {
		return 1
	}
	halfLives := float64(now-s.at) / float64(slownessHalfLife)
	return 1 + (s.ratio-1)*math.Exp2(-halfLives)
}

// relativeRatio returns the ratio of an instance divided by the average over all.
// Requests that wait behind those of other accounts, or that shorter ones overtake,
// take longer than expected on every server, which is not the fault of any one server.
func (s *Slowness) relativeRatio(instance oleanderspool.InstanceID, now oleanderspool.Millis) float64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.observed[instance].decayed(now) / s.fleetRatio
}

// Cost returns the time in milliseconds by which slowness prolongs the work before the
// request and its own prefill.
func (s *Slowness) Cost(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) float64 {
	excess := s.relativeRatio(b.Instance, now) - slownessTolerance
	if excess <= 0 {
		return 0
	}
	return excess * max(queueMillis(r, b, s.defaultRate), float64(minExpected))
}
