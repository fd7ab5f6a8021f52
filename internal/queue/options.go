package queue

import "github.com/oleanderspool/oleanderspool"

// Defaults of the options.
const (
	// DefaultCapacity bounds the number of waiting items.
	DefaultCapacity = 20_000
	// DefaultStepTokens is the token budget of one engine step.
	DefaultStepTokens = 2048
	// DefaultWindowSteps is how many steps of prefill work are kept outstanding
	// at the engine. One step runs while the next one waits, so the engine never
	// idles between the end of a step and the agent's reaction.
	DefaultWindowSteps = 2
	// DefaultShortRequestWeight gives equal weight to the slowdown of short
	// requests and to the time to first token across all prompt lengths. It lies
	// between the values that the two users of this software configure.
	DefaultShortRequestWeight = 0.5
	// DefaultBacklogDelayFactor is the delay per millisecond of prefill work
	// that the account already has waiting. It must exceed the inverse of the
	// part of the capacity that is left to a flooding account, or other
	// accounts wait behind its backlog.
	DefaultBacklogDelayFactor = 4.0
	// DefaultAllowance is how many times its fair share of the prefill capacity
	// an account may use before its items are treated as longer work. Large
	// accounts get a larger share through their weight.
	DefaultAllowance = 2.0
	// DefaultPriorityStep is how much earlier an item is due per level of
	// priority.
	DefaultPriorityStep = 5 * oleanderspool.Second
	// DefaultDeadlineMargin is how long before its latest possible start an
	// item becomes due.
	DefaultDeadlineMargin = 2 * oleanderspool.Second
	// DefaultMaxCredit bounds the time credit that shorter work spends to
	// overtake longer work with an earlier due time. The credit is refilled
	// while it is used, so one burst lasts up to this duration divided by the
	// share of long work.
	DefaultMaxCredit = oleanderspool.Second / 2
	// DefaultBypassTimeout is how long smaller items may overtake one that does
	// not fit into memory.
	DefaultBypassTimeout = 10 * oleanderspool.Second
	// DefaultMemoryReserve is the fraction of the engine's memory that items
	// larger than this reserve leave free, so that short work does not wait for
	// memory. Smaller items leave as much free as they take.
	DefaultMemoryReserve = 0.06
	// DefaultPrefillRate is the prefill rate assumed before the first
	// observation, in tokens per millisecond.
	DefaultPrefillRate = 10.0
	// DefaultInterTokenLatency is the time assumed between two generated tokens.
	DefaultInterTokenLatency = 30 * oleanderspool.Millis(1)
	// DefaultSlowFraction is the fraction of the reference rate below which an
	// engine counts as slow.
	DefaultSlowFraction = 0.5
	// DefaultStallTimeout is how long past its expected end the first prefill
	// of the engine may take before the engine counts as slow.
	DefaultStallTimeout = 5 * oleanderspool.Second
)

// The values of the prefill delay factor and of the share of long work at a
// short_request_weight of 0 and 1. The prefill delay factor is the delay per
// millisecond of an item's own prefill work.
const (
	prefillDelayFactorAtZero = 1.0
	prefillDelayFactorAtOne  = 64.0
	longShareAtZero          = 0.5
	longShareAtOne           = 0.2
)

// settings holds the option values of a queue.
type settings struct {
	capacity           int
	stepTokens         int64
	windowSteps        int64
	shortRequestWeight float64
	prefillDelayFactor float64 // 0 means derived from shortRequestWeight
	longShare          float64 // 0 means derived from shortRequestWeight
	backlogDelayFactor float64
	allowance          float64
	priorityStep       oleanderspool.Millis
	deadlineMargin     oleanderspool.Millis
	maxCredit          oleanderspool.Millis
	bypassTimeout      oleanderspool.Millis
	prefillRate        float64
	referenceRate      float64
	interTokenLatency  oleanderspool.Millis
	slowFraction       float64
	stallTimeout       oleanderspool.Millis
	memory             int64 // 0 means unbounded
	memoryReserve      float64
}

func defaultSettings() settings {
	return settings{
		capacity:           DefaultCapacity,
		stepTokens:         DefaultStepTokens,
		windowSteps:        DefaultWindowSteps,
		shortRequestWeight: DefaultShortRequestWeight,
		backlogDelayFactor: DefaultBacklogDelayFactor,
		allowance:          DefaultAllowance,
		priorityStep:       DefaultPriorityStep,
		deadlineMargin:     DefaultDeadlineMargin,
		maxCredit:          DefaultMaxCredit,
		bypassTimeout:      DefaultBypassTimeout,
		memoryReserve:      DefaultMemoryReserve,
		prefillRate:        DefaultPrefillRate,
		interTokenLatency:  DefaultInterTokenLatency,
		slowFraction:       DefaultSlowFraction,
		stallTimeout:       DefaultStallTimeout,
	}
}

// deriveFromWeight sets the values that follow from short_request_weight unless
// they were set explicitly.
func (s *settings) deriveFromWeight() {
	w := min(1, max(0, s.shortRequestWeight))
	if s.prefillDelayFactor == 0 {
		s.prefillDelayFactor = prefillDelayFactorAtZero + w*(prefillDelayFactorAtOne-prefillDelayFactorAtZero)
	}
	if s.longShare == 0 {
		s.longShare = longShareAtZero + w*(longShareAtOne-longShareAtZero)
	}
}

// Option configures a [Queue].
type Option func(*settings)

// WithCapacity bounds the number of waiting items.
func WithCapacity(items int) Option {
	return func(s *settings) { s.capacity = max(1, items) }
}

// WithStepTokens sets the token budget of one engine step.
func WithStepTokens(tokens int64) Option {
	return func(s *settings) { s.stepTokens = max(1, tokens) }
}

// WithWindowSteps sets how many steps of prefill work are kept outstanding at
// the engine.
func WithWindowSteps(steps int) Option {
	return func(s *settings) { s.windowSteps = int64(max(1, steps)) }
}

// WithShortRequestWeight sets the trade-off between the slowdown of short
// requests (1) and the time to first token across all prompt lengths (0). It
// determines the prefill delay factor and the share of long work unless these
// are set explicitly.
func WithShortRequestWeight(weight float64) Option {
	return func(s *settings) { s.shortRequestWeight = weight }
}

// WithPrefillDelayFactor sets the delay per millisecond of an item's own
// prefill work. Higher values prefer short work for longer. It must be positive.
func WithPrefillDelayFactor(factor float64) Option {
	return func(s *settings) { s.prefillDelayFactor = factor }
}

// WithLongShare sets the fraction of the prefill capacity, between 0 and 1,
// that long work gets while shorter work with a later due time waits. Values
// above 0.95 are lowered to it, because the expected wait of an item is computed
// with a division by 1 - share.
func WithLongShare(share float64) Option {
	return func(s *settings) { s.longShare = min(0.95, share) }
}

// WithAllowance sets how many times its fair share of the prefill capacity an
// account may use before its items are treated as longer work. 0 means no
// bound.
func WithAllowance(factor float64) Option {
	return func(s *settings) { s.allowance = factor }
}

// WithMaxCredit bounds the time credit that shorter work spends to overtake
// longer work with an earlier due time.
func WithMaxCredit(credit oleanderspool.Millis) Option {
	return func(s *settings) { s.maxCredit = max(1, credit) }
}

// WithBypassTimeout sets how long smaller items may overtake one that does not
// fit into memory.
func WithBypassTimeout(timeout oleanderspool.Millis) Option {
	return func(s *settings) { s.bypassTimeout = timeout }
}

// WithPrefillRate sets the prefill rate assumed before the first observation,
// in tokens per millisecond.
func WithPrefillRate(rate float64) Option {
	return func(s *settings) { s.prefillRate = rate }
}

// WithReferenceRate sets the prefill rate of a healthy engine, in tokens per
// millisecond. Without it the highest observed rate is the reference.
func WithReferenceRate(rate float64) Option {
	return func(s *settings) { s.referenceRate = rate }
}

// WithInterTokenLatency sets the expected time between two generated tokens.
func WithInterTokenLatency(latency oleanderspool.Millis) Option {
	return func(s *settings) { s.interTokenLatency = latency }
}

// WithMemory sets the engine's memory in tokens, so that an item that can
// never fit is refused instead of blocking the queue.
func WithMemory(tokens int64) Option {
	return func(s *settings) { s.memory = tokens }
}

// WithMemoryReserve sets the fraction of the engine's memory, between 0 and 1,
// that items larger than this reserve leave free. Smaller items leave as much
// free as they take. It has an effect only together with [WithMemory] or
// [Queue.SetMemory].
func WithMemoryReserve(fraction float64) Option {
	return func(s *settings) { s.memoryReserve = min(1, max(0, fraction)) }
}
