package engine

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// Option configures an [Engine].
type Option func(*Engine)

// WithModels sets the models that are loaded when the engine starts or restarts.
func WithModels(models ...string) Option {
	return func(e *Engine) { e.initialModels = models }
}

// WithBatchLimit sets the maximum number of requests in the batch. Without it,
// only memory limits the batch.
func WithBatchLimit(requests int) Option {
	return func(e *Engine) { e.batchLimit = requests }
}

// WithMemorySize sets the engine's memory in tokens, without the prefix cache.
func WithMemorySize(tokens int64) Option {
	return func(e *Engine) { e.sizeTokens = tokens }
}

// WithCacheSize sets the size of the prefix cache in tokens.
func WithCacheSize(tokens int64) Option {
	return func(e *Engine) { e.cacheTokens = tokens }
}

// WithPrefillRate sets the prefill speed in tokens per millisecond.
func WithPrefillRate(rate float64) Option {
	return func(e *Engine) { e.prefillRate = rate }
}

// WithTokenTime sets the time per generated token in milliseconds.
func WithTokenTime(millis float64) Option {
	return func(e *Engine) { e.tokenTime = millis }
}

// WithChunkTokens sets the maximum number of tokens, over all prompts, that one
// step prefills.
func WithChunkTokens(tokens int64) Option {
	return func(e *Engine) { e.chunkTokens = tokens }
}

// WithReportInterval sets the interval between load reports, and so the maximum
// age of a report.
func WithReportInterval(interval oleanderspool.Millis) Option {
	return func(e *Engine) { e.reportInterval = interval.Duration() }
}

// WithLoadTime sets how long an order takes to carry out.
func WithLoadTime(duration oleanderspool.Millis) Option {
	return func(e *Engine) { e.loadTime = duration.Duration() }
}

// WithDowntime sets how long the engine is down after a crash.
func WithDowntime(duration oleanderspool.Millis) Option {
	return func(e *Engine) { e.downtime = duration.Duration() }
}

// WithCacheEvents sets the delay before a cache event becomes readable. Each event
// whose sequence number is divisible by dropEvery is dropped; 0 drops none.
func WithCacheEvents(delay oleanderspool.Millis, dropEvery int64) Option {
	return func(e *Engine) { e.eventDelay, e.dropEvery = delay.Duration(), dropEvery }
}

// WithMaxWaiting sets the maximum number of requests in the engine's queue.
func WithMaxWaiting(limit int) Option {
	return func(e *Engine) { e.maxWaiting = limit }
}

// WithAnswerTokens ends each answer after this many tokens, unless the request's
// limit is lower; with 0, each answer reaches its request's limit.
func WithAnswerTokens(tokens int) Option {
	return func(e *Engine) { e.answerTokens = tokens }
}

// WithExportBytes sets the size of an exported KV cache, in bytes per token;
// 0 exports only its description.
func WithExportBytes(perToken int64) Option {
	return func(e *Engine) { e.exportBytesPerToken = perToken }
}

// WithoutFencing makes the engine accept orders with any fencing number.
func WithoutFencing() Option {
	return func(e *Engine) { e.checksFencing = false }
}

// WithMemoryLeak makes the engine keep the memory of a request whose connection
// is lost until the request is cancelled.
func WithMemoryLeak() Option {
	return func(e *Engine) { e.leaksMemory = true }
}

// WithFault injects a fault when the engine is created.
func WithFault(fault standin.Fault) Option {
	return func(e *Engine) { e.AddFault(fault) }
}
