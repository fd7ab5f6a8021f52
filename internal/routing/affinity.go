package routing

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
)

// bytesPerToken converts the length of the hashed prefix from tokens to bytes. It
// equals the estimate of oleanderspool.EstimateTokens.
const bytesPerToken = 4

// prefixKey returns the hash of the model, the adapter and the first tokens of the
// prompt. It decides which servers should cache the prefix of a request. Requests for a
// service are distributed by their fingerprint. Requests with equal fingerprints have
// equal keys.
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

// preference is the two candidates with the highest rendezvous weights for a prefix.
// The second takes requests when the first is too busy, so that a prefix is cached on
// two servers and not on all.
type preference struct {
	first, second             int // indices of the candidates; -1 for none
	firstWeight, secondWeight uint64
}

// preferredServers returns the two allowed candidates with the highest rendezvous
// weights for the key. It calls allowed only for candidates that would be preferred,
// which are few in a large set.
func preferredServers(key uint64, candidates []oleanderspool.BackendServer, allowed func(int) bool) preference {
	p := preference{first: -1, second: -1}
	for i := range candidates {
		w := Weight(key, Hash(candidates[i].Instance))
		if p.second >= 0 && w <= p.secondWeight || !allowed(i) {
			continue
		}
		if p.first < 0 || w > p.firstWeight {
			p.second, p.secondWeight = p.first, p.firstWeight
			p.first, p.firstWeight = i, w
		} else {
			p.second, p.secondWeight = i, w
		}
	}
	return p
}

// affinity is a scorer whose cost is the prefill time that a cached prefix would have
// saved. It is not safe for concurrent use.
type affinity struct {
	tokens       int                  // length of the prefix that counts as cached, in tokens
	maxSaving    oleanderspool.Millis // bound of the assumed saving, so that a busy server loses its preference
	defaultRate  float64              // prefill rate of a server that reported none, in tokens per millisecond
	callDuration oleanderspool.Millis // assumed duration of a service call
	first        oleanderspool.InstanceID
	second       oleanderspool.InstanceID
	holders      []oleanderspool.InstanceID // servers that were recently sent the prefix
}

// Cost returns 0 for the first preference and for servers that this entry has recently
// sent the prefix, half of the saving for the second preference and all of it for
// other servers.
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

// saving returns the prefill time that a cached prefix saves on b. A service has no
// known cache. Its saving is the duration of one call, which distributes requests over
// servers with equal load and is outweighed by any difference in load.
func (a *affinity) saving(r oleanderspool.Request, b oleanderspool.BackendServer) float64 {
	if r.Kind == oleanderspool.KindService {
		return float64(a.callDuration)
	}
	saving := float64(min(a.tokens, r.PromptTokens)) / prefillRate(b, a.defaultRate)
	return min(saving, float64(a.maxSaving))
}
