package routing

import (
	"math/rand/v2"
	"sync"
)

const (
	// sampleSize is the number of random candidates. Two are enough to avoid nearly all
	// of the imbalance of one random choice.
	sampleSize = 2
	// maxDraws bounds the random draws per sample. When most candidates are not allowed,
	// the sample stays smaller; the preferred candidates, for which the whole set was
	// searched, remain.
	maxDraws = 16
)

// sampler draws candidates at random. It is safe for concurrent use.
type sampler struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{source: rand.New(rand.NewPCG(seed, seed))}
}

// pick returns distinct allowed indices below n, and -1 in place of each that was not
// found.
func (s *sampler) pick(n int, allowed func(int) bool) [sampleSize]int {
	picked := [sampleSize]int{-1, -1}
	found := 0
	for draws := 0; draws < maxDraws && found < sampleSize; draws++ {
		i := s.draw(n)
		if i != picked[0] && allowed(i) {
			picked[found] = i
			found++
		}
	}
	return picked
}

func (s *sampler) draw(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.source.IntN(n)
}
