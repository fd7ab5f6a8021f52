package engine

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// Option configures an [Engine].
type Option func(*Engine)

// WithModels sets the models that a started engine serves.
func WithModels(models ...string) Option {
	return func(e *Engine) { e.initialModels = models }
}

// WithBatchLimit bounds the requests in one step. Without it memory alone does.
func WithBatchLimit(requests int) Option {
	return func(e *Engine) { e.batch = requests }
}

// WithMemorySize sets the memory in tokens.
func WithMemorySize(tokens int64) Option {
	return func(e *Engine) { e.sizeTokens = tokens }
}

// WithCacheSize sets the memory of the prefix cache in tokens.
func WithCacheSize(tokens int64) Option {
	return func(e *Engine) { e.cacheTokens = tokens }
}

// WithPrefillRate sets the prefill speed in tokens per millisecond.
func WithPrefillRate(rate float64) Option {
	return func(e *Engine) { e.prefillRate = rate }
}

// WithTokenTime sets the time per generated token in milliseconds.
func WithTokenTime(span float64) Option {
	return func(e *Engine) { e.tokenTime = span }
}

// WithChunkTokens sets how many tokens one step prefills.
func WithChunkTokens(tokens int64) Option {
	return func(e *Engine) { e.chunkTokens = tokens }
}

// WithReportInterval sets how old a load report may be.
func WithReportInterval(span oleanderspool.Millis) Option {
	return func(e *Engine) { e.reportLag = span.Duration() }
}

// WithLoadTime sets how long an order takes.
func WithLoadTime(span oleanderspool.Millis) Option {
	return func(e *Engine) { e.loadTime = span.Duration() }
}

// WithDowntime sets how long the engine is down after a crash.
func WithDowntime(span oleanderspool.Millis) Option {
	return func(e *Engine) { e.downTime = span.Duration() }
}

// WithCacheEvents sets how late cache events become readable, and that every event
// whose sequence number is divisible by gapEvery is lost; 0 loses none.
func WithCacheEvents(delay oleanderspool.Millis, gapEvery int64) Option {
	return func(e *Engine) { e.eventDelay, e.gapEvery = delay.Duration(), gapEvery }
}

// WithMaxWaiting bounds the engine's queue.
func WithMaxWaiting(limit int) Option {
	return func(e *Engine) { e.maxWaiting = limit }
}

// WithAnswerTokens ends every answer at this length, unless its own limit is
// lower; 0 lets each answer reach its limit.
func WithAnswerTokens(tokens int) Option {
	return func(e *Engine) { e.answerTokens = tokens }
}

// WithExportBytes sets the size of an exported KV cache, in bytes per token;
// 0 exports only its description.
func WithExportBytes(perToken int64) Option {
	return func(e *Engine) { e.tokenBytes = perToken }
}

// WithoutFencing makes the engine ignore the fencing number of orders.
func WithoutFencing() Option {
	return func(e *Engine) { e.fencing = false }
}

// WithMemoryLeak makes the engine keep the memory of a request whose connection is
// lost, until the request is cancelled.
func WithMemoryLeak() Option {
	return func(e *Engine) { e.leak = true }
}

// WithFault adds a fault from the start.
func WithFault(fault standin.Fault) Option {
	return func(e *Engine) { e.AddFault(fault) }
}
