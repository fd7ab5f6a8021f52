package routing

import "github.com/oleanderspool/oleanderspool"

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

// Queue costs the time that the queued and accepted prefill work and the
// request's own prefill take. fallback is the prefill rate of a server that
// reported none, in tokens per millisecond. A service has no tokens: its
// requests in progress cost callTime milliseconds each.
func Queue(fallback float64, callTime oleanderspool.Millis) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if r.Kind == oleanderspool.KindService {
			return float64(b.Load.Queued+b.Load.Running) * float64(callTime)
		}
		work := b.Load.QueuedTokens + b.Load.RunningTokens + int64(r.PromptCount)
		return float64(work) / prefillRate(b, fallback)
	})
}

// releaseFactor relates the time in which an engine frees memory to the time
// in which it prefills as many tokens. Memory is freed only when answers end,
// which takes longer. The factor is an assumption until it is measured with
// the engine stand-in.
const releaseFactor = 4

// Memory costs the time until an engine that has too little free memory for
// the request has freed the rest. A server that has not reported its memory
// costs nothing.
func Memory(fallback float64) oleanderspool.Scorer {
	return ScorerFunc(func(r oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		if r.Kind != oleanderspool.KindModel || b.Load.SizeTokens == 0 {
			return 0
		}
		missing := max(0, Need(r)-b.Load.FreeTokens)
		return releaseFactor * float64(missing) / prefillRate(b, fallback)
	})
}

// Distance costs the way to the server's data centre and back. oneWay holds
// milliseconds; a data centre that it lacks is unknown milliseconds away.
func Distance(oneWay map[oleanderspool.DataCentreID]float64, unknown float64) oleanderspool.Scorer {
	return ScorerFunc(func(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
		way, known := oneWay[b.DataCentre]
		if !known {
			way = unknown
		}
		return 2 * way
	})
}
