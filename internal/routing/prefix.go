package routing

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

// bytesPerToken converts the length of the fingerprinted prefix to bytes. It
// equals the estimate of oleanderspool.EstimateTokens.
const bytesPerToken = 4

// prefixKey returns the hash that decides which servers should hold the
// cached prefix of a request: that of the model, the adapter and the first
// tokens of the prompt. Requests for a service are spread by their
// fingerprint. Requests with equal fingerprints have equal keys.
func prefixKey(r oleanderspool.Request, tokens int) uint64 {
	if r.Kind == oleanderspool.KindService {
		return uint64(r.Fingerprint)
	}
	prefix := r.Prompt
	if limit := tokens * bytesPerToken; len(prefix) > limit {
		prefix = prefix[:limit]
	}
	var key [24]byte
	binary.LittleEndian.PutUint64(key[0:], Hash(r.Model))
	binary.LittleEndian.PutUint64(key[8:], Hash(r.Adapter))
	binary.LittleEndian.PutUint64(key[16:], xxhash.Sum64String(prefix))
	return xxhash.Sum64(key[:])
}

// preference is the two candidates with the highest rendezvous weights for a
// prefix. The second one takes what the first one is too busy for, so that a
// prefix is cached on two servers and not on all.
type preference struct {
	first, second           int // index of the candidate; -1 without one
	firstWeight, nextWeight uint64
}

// prefer returns the preferred ones among the allowed candidates. The filters
// are asked only for a candidate that would be preferred, which is seldom in
// a large set.
func prefer(key uint64, candidates []oleanderspool.BackendServer, allowed func(int) bool) preference {
	p := preference{first: -1, second: -1}
	for i := range candidates {
		w := Weight(key, Hash(candidates[i].Instance))
		if p.second >= 0 && w <= p.nextWeight || !allowed(i) {
			continue
		}
		if p.first < 0 || w > p.firstWeight {
			p.second, p.nextWeight = p.first, p.firstWeight
			p.first, p.firstWeight = i, w
		} else {
			p.second, p.nextWeight = i, w
		}
	}
	return p
}

// affinity charges every server but the preferred ones the prefill time that
// a cached prefix saves. It serves one decision at a time.
type affinity struct {
	tokens   int                  // longest prefix that counts as cached, in tokens
	limit    oleanderspool.Millis // bound of the saving, so that load wins on a busy server
	fallback float64              // prefill rate of a server that reported none, in tokens per millisecond
	callTime oleanderspool.Millis // cost of a service call
	first    oleanderspool.InstanceID
	second   oleanderspool.InstanceID
	holders  []oleanderspool.InstanceID // servers that were sent the prefix lately
}

// Cost returns 0 for the first preference and for servers that this entry has
// sent the prefix lately, half the saving for the second and
// the whole saving for the others.
func (a *affinity) Cost(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	if b.Instance == a.first || slices.Contains(a.holders, b.Instance) {
		return 0
	}
	saving := a.saving(r, b)
	if b.Instance == a.second {
		return saving / 2
	}
	return saving
}

// saving returns the prefill time that a cached prefix saves on b. Services
// cache nothing that is known here; one call's time spreads them over servers
// with equal load and yields to any difference in load.
func (a *affinity) saving(r oleanderspool.Request, b oleanderspool.BackendServer) float64 {
	if r.Kind == oleanderspool.KindService {
		return float64(a.callTime)
	}
	saving := float64(min(a.tokens, r.PromptTokens)) / prefillRate(b, a.fallback)
	return min(saving, float64(a.limit))
}
