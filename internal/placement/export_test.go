package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// WithoutCandidateLimits makes a scheduler compare all servers.
func WithoutCandidateLimits() Option {
	return func(sc *Scheduler) { sc.maxCandidates, sc.maxHelperCandidates = math.MaxInt, math.MaxInt }
}

// FinishedPrefills returns the number of ended prefills that are kept for a server.
func (sc *Scheduler) FinishedPrefills(server oleanderspool.InstanceID) int {
	return len(sc.state(server).finished)
}

// MeanValues returns the number of TTFT goals with a mean value.
func (sc *Scheduler) MeanValues() int {
	return len(sc.means)
}
