package placement

import "math"

// WithoutCandidateLimits makes a scheduler compare all servers.
func WithoutCandidateLimits() Option {
	return func(sc *Scheduler) { sc.maxCandidates, sc.maxHelperCandidates = math.MaxInt, math.MaxInt }
}
