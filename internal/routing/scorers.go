package routing

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

// ScorerFunc adapts a function to [oleanderspool.Scorer].
type ScorerFunc func(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) float64

// Cost calls f.
func (f ScorerFunc) Cost(r oleanderspool.Request, b oleanderspool.BackendServer, now oleanderspool.Millis) float64 {
	return f(r, b, now)
}

// prefillRate returns the reported prefill rate in tokens per millisecond, or
// defaultRate when none was reported.
func prefillRate(b oleanderspool.BackendServer, defaultRate float64) float64 {
	if b.Load.PrefillRate > 0 {
		return b.Load.PrefillRate
	}
	return defaultRate
}

// The weights of the prefill work of longer classes, for prompts of the shortest class
// and for others. A request does not wait for such work but delays it. Higher weights
// keep requests away from servers with long prompts and make them queue behind each
// other on the rest. A long prompt delays a short one by one engine step at most,
// whatever its length. With 0.002, requests of the shortest class gathered on the few
// servers with the least long work; 0.0002 decides only between equal servers.
const (
	longerWorkWeightShortestClass = 0.0002
	longerWorkWeight              = 0.01
)

// weightedTokens returns the work that counts as delaying a prompt, in tokens: all that
// runs before it and a small part of the longer work.
func weightedTokens(promptTokens, ahead, longer int64) float64 {
	if oleanderspool.LengthClass(promptTokens) == 0 {
		return float64(ahead) + longerWorkWeightShortestClass*float64(longer)
	}
	return float64(ahead) + longerWorkWeight*float64(longer)
}

// queueMillis returns the time in milliseconds of the work before the prompt and of its
// own prefill.
func queueMillis(r oleanderspool.Request, b oleanderspool.BackendServer, defaultRate float64) float64 {
	tokens := int64(r.PromptTokens)
	ahead, longer := b.Load.TokensAheadOf(tokens)
	return (weightedTokens(tokens, ahead, longer) + float64(tokens)) / prefillRate(b, defaultRate)
}

// Queue returns a scorer for the prefill time of the work before the request, of the
// request itself, and of a small part of the longer work. defaultRate is the prefill
// rate of a server that reported none, in tokens per millisecond. A service has no
// tokens: its requests in progress cost callDuration milliseconds each.
func Queue(defaultRate float64, callDuration oleanderspool.Millis) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if r.Kind == oleanderspool.KindService {
			return float64(b.Load.Queued+b.Load.Running) * float64(callDuration)
		}
		return queueMillis(r, b, defaultRate)
	})
}

const (
	// memoryReserve is the fraction of an engine's memory that its queue keeps free of
	// larger requests. It equals queue.DefaultMemoryReserve.
	memoryReserve = 0.06
	// memoryWait is the time in milliseconds until answers end and free memory.
	memoryWait = 10_000
)

// Memory returns a scorer for the time that a request waits for free engine memory: the
// prefill time of the longer work, and memoryWait for running answers to end. A request
// that fits into the reserve does not wait for the memory of larger ones; for it, a
// lack of memory decides only between equal servers. A server that has not reported
// its memory costs nothing. assignments provides those that the last report cannot
// contain.
func Memory(defaultRate float64, assignments *Assignments) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if r.Kind != oleanderspool.KindModel || b.Load.CapacityTokens == 0 {
			return 0
		}
		recent := assignments.sinceReport(b, int64(r.PromptTokens))
		required, free := RequiredMemory(r)+recent.memory, b.Load.FreeTokens
		reserve := int64(memoryReserve * float64(b.Load.CapacityTokens))
		rate := prefillRate(b, defaultRate)
		if required <= reserve {
			return longerWorkWeight * float64(max(0, required-free)) / rate
		}
		if required+reserve <= free {
			return 0
		}
		_, longer := b.Load.TokensAheadOf(int64(r.PromptTokens))
		return float64(longer+recent.longer)/rate + memoryWait
	})
}

// Latency returns a scorer for the network round trip to the server's data centre.
// latencies holds one-way latencies in milliseconds; defaultLatency applies to data
// centres that it lacks.
func Latency(latencies map[oleanderspool.DataCentreID]float64, defaultLatency float64) oleanderspool.Scorer {
	return ScorerFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		latency, known := latencies[b.DataCentre]
		if !known {
			latency = defaultLatency
		}
		return 2 * latency
	})
}

// shortJitterFraction is the fraction of the jitter that applies to prompts of the
// shortest class. With the full jitter, they were often sent to a server where another
// short prompt was queued, or not sent to one that has their prefix cached.
const shortJitterFraction = 0.5

// Jitter returns a scorer for a cost of up to limit milliseconds, derived from a hash of
// the request's fingerprint and the server; for the shortest class up to half of it.
// Entries with the same stale reports then do not all choose the same one of several
// nearly equal servers, while copies of a request still choose the same server. The
// cost of a service call is 0, because the call is shorter than the jitter.
func Jitter(limit oleanderspool.Millis) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if limit <= 0 || r.Kind == oleanderspool.KindService {
			return 0
		}
		bound := float64(limit)
		if oleanderspool.LengthClass(int64(r.PromptTokens)) == 0 {
			bound *= shortJitterFraction
		}
		weight := Weight(uint64(r.Fingerprint), Hash(b.Instance))
		return bound * float64(weight) / math.MaxUint64
	})
}
