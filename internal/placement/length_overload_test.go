package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/oleanderspool/oleanderspool"
)

// withDrawnLength returns a copy of a kind whose prompt has a length drawn from a
// log-normal distribution with the mean of the kind.
func (k *requestKind) withDrawnLength(random *rand.Rand) *requestKind {
	const spread, longest = 0.55, 700_000
	drawn, mean := *k, float64(k.request.PromptTokens)
	drawn.request.PromptTokens = int64(min(longest, mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
	return &drawn
}

// newLengthsPlay returns a play of the mixed kinds in which each long prompt has a length
// of its own, and the requests per second at the capacity.
func newLengthsPlay(seed uint64) (*play, float64) {
	p, perSecond, capacity := newMixedPlay(mixedKinds, policies[0])
	p.random = rand.New(rand.NewPCG(seed, 0))
	kind := p.kind
	p.kind = func(random *rand.Rand) *requestKind {
		if k := kind(random); k != longKind {
			return k
		}
		return longKind.withDrawnLength(random)
	}
	return p, perSecond * capacity
}

// servedLength is the length of a prompt in tokens and whether it was answered in the end.
type servedLength struct {
	tokens int64
	served bool
}

// servedLengths returns the long prompts that first arrived before an instant, shortest
// first.
func (p *play) servedLengths(until oleanderspool.Millis) []servedLength {
	byKind := make(map[*requestKind]servedLength)
	for _, r := range p.done {
		if r.kind.name == longKind.name && r.made < until {
			byKind[r.kind] = servedLength{r.kind.request.PromptTokens, byKind[r.kind].served || r.first > 0}
		}
	}
	list := make([]servedLength, 0, len(byKind))
	for _, s := range byKind {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y servedLength) int { return cmp.Compare(x.tokens, y.tokens) })
	return list
}

func servedFraction(list []servedLength) float64 {
	served := 0
	for _, s := range list {
		if s.served {
			served++
		}
	}
	return float64(served) / float64(len(list))
}

// TestOverloadServesLongestPrompts guards against an overload in which the longest prompts
// of a kind, which take the most time for their value, are refused before all others.
func TestOverloadServesLongestPrompts(t *testing.T) {
	const end = 40 * oleanderspool.Second
	for _, load := range []float64{0.7, 0.8, 1} {
		for _, seed := range []uint64{0, 1, 2, 3, 15} {
			t.Run(fmt.Sprintf("load %.1f, seed %d", load, seed), func(t *testing.T) {
				t.Parallel()
				p, atCapacity := newLengthsPlay(seed)
				p.run(0, end, load*atCapacity)
				p.run(end, end+20*oleanderspool.Second, 0)
				list := p.servedLengths(end)
				below, largest := len(list)*7/10, len(list)*9/10
				all, fifth, tenth := servedFraction(list), servedFraction(list[below:largest]), servedFraction(list[largest:])
				t.Logf("%d prompts: %.2f served, %.2f of the fifth below the largest tenth, %.2f of the tenth", len(list), all, fifth, tenth)
				if fifth < all/2 || tenth < all/2 {
					t.Errorf("%.2f of the largest tenth and %.2f of the fifth below it served, want half of %.2f each", tenth, fifth, all)
				}
			})
		}
	}
}
