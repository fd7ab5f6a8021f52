package routing

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// ScorerFunc is a [oleanderspool.Scorer] made of a function.
type ScorerFunc func(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) float64

// Cost calls f.
func (f ScorerFunc) Cost(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) float64 {
	return f(r, b, now)
}

// prefillRate returns the observed prefill rate in tokens per millisecond, or
// fallback when none was observed.
func prefillRate(b oleanderspool.BackendServer, fallback float64) float64 {
	if b.Load.PrefillRate > 0 {
		return b.Load.PrefillRate
	}
	return fallback
}

// The weights of longer work, which a request does not wait for but delays, for
// prompts of the shortest class and for others. Higher values keep requests away
// from servers with long prompts, so they wait for each other more often. A long
// prompt costs a short one a step of the engine at most, whatever its length:
// with 0.002 for the shortest class, its requests met on the few servers with the
// least long work. 0.0002 decides only between equal servers.
const (
	longerWeightShort = 0.0002
	longerWeight      = 0.01
)

// weighted returns the work that delays a prompt, in tokens: all that goes
// first, and a small part of the longer work.
func weighted(promptTokens, ahead, longer int64) float64 {
	if oleanderspool.LengthClass(promptTokens) == 0 {
		return float64(ahead) + longerWeightShort*float64(longer)
	}
	return float64(ahead) + longerWeight*float64(longer)
}

// queueSpan returns the time in milliseconds that the work ahead of the prompt
// and its own prefill take.
func queueSpan(r oleanderspool.Request, b oleanderspool.BackendServer, fallback float64) float64 {
	tokens := int64(r.PromptTokens)
	ahead, longer := b.Load.TokensAheadOf(tokens)
	return (weighted(tokens, ahead, longer) + float64(tokens)) / prefillRate(b, fallback)
}

// Queue costs the time that the prefill work that goes before the request and
// the request's own prefill take, and a small part of the longer work.
// fallback is the prefill rate of a server that reported none, in tokens per
// millisecond. A service has no tokens: its requests in progress cost callTime
// milliseconds each.
func Queue(fallback float64, callTime oleanderspool.Millis) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if r.Kind == oleanderspool.KindService {
			return float64(b.Load.Queued+b.Load.Running) * float64(callTime)
		}
		return queueSpan(r, b, fallback)
	})
}

const (
	// memoryReserve is the part of an engine's memory that its queue keeps free
	// of larger requests. It equals queue.DefaultMemoryReserve.
	memoryReserve = 0.06
	// decodeSpan is the time in milliseconds until answers end and free memory.
	decodeSpan = 10_000
)

// Memory costs a request that does not fit into the free memory of an engine
// the time until memory is freed: it waits for the longer work too, and for the
// answers. A request that fits into the reserve does not wait for the memory of
// larger ones; for it a lack of memory decides only between equal servers. A
// server that has not reported its memory costs nothing. assigned tells what the
// last report cannot contain.
func Memory(fallback float64, assigned *Assignments) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if r.Kind != oleanderspool.KindModel || b.Load.CapacityTokens == 0 {
			return 0
		}
		recent := assigned.since(b, int64(r.PromptTokens))
		need, free := RequiredMemory(r)+recent.memory, b.Load.FreeTokens
		reserve := int64(memoryReserve * float64(b.Load.CapacityTokens))
		rate := prefillRate(b, fallback)
		if need <= reserve {
			return longerWeight * float64(max(0, need-free)) / rate
		}
		if need+reserve <= free {
			return 0
		}
		_, longer := b.Load.TokensAheadOf(int64(r.PromptTokens))
		return float64(longer+recent.longer)/rate + decodeSpan
	})
}

// Latency costs the way to the server's data centre and back. oneWay holds
// milliseconds; a data centre that it lacks is unknown milliseconds away.
func Latency(oneWay map[oleanderspool.DataCentreID]float64, unknown float64) oleanderspool.Scorer {
	return ScorerFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		way, known := oneWay[b.DataCentre]
		if !known {
			way = unknown
		}
		return 2 * way
	})
}

// shortSpread is the part of the random cost that applies to prompts of the
// shortest class. With the whole cost they often went to a server where another
// short prompt was ahead, or past one that holds their prefix.
const shortSpread = 0.5

// Jitter costs up to limit milliseconds, at random by the fingerprint of the
// request and the server, and half of it for the shortest class. Entries that
// know the same stale reports then do not all choose the same one of several
// nearly equal servers, and copies of a request still agree. A service call costs
// nothing: it is too short for that.
func Jitter(limit oleanderspool.Millis) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if limit <= 0 || r.Kind == oleanderspool.KindService {
			return 0
		}
		bound := float64(limit)
		if oleanderspool.LengthClass(int64(r.PromptTokens)) == 0 {
			bound *= shortSpread
		}
		weight := Weight(uint64(r.Fingerprint), Hash(b.Instance))
		return bound * float64(weight) / math.MaxUint64
	})
}
