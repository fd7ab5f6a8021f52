package queue

import "github.com/oleanderspool/oleanderspool"

// Defaults of the options.
const (
	// DefaultCapacity bounds the number of waiting items.
	DefaultCapacity = 20_000
	// DefaultStepTokens is the token budget of one engine step.
	DefaultStepTokens = 2048
	// DefaultWindowSteps is how many steps of work are handed to the engine at
	// a time. One step runs while the next one waits, so the engine never
	// idles between the end of a step and the agent's reaction.
	DefaultWindowSteps = 2
	// DefaultShortRequestWeight lies between the two users' settings.
	DefaultShortRequestWeight = 0.5
	// DefaultBacklogDelayFactor is the delay per millisecond of work that the account
	// already has waiting. It must exceed the inverse of the capacity that is
	// left to a flooding account, or others wait behind its backlog.
	DefaultBacklogDelayFactor = 4.0
	// DefaultAllowance is how many times its fair share of the prefill capacity
	// an account may use before its items rank as longer work. Large accounts
	// get a larger share by their weight.
	DefaultAllowance = 2.0
	// DefaultPriorityStep is the head start of one level of priority.
	DefaultPriorityStep = 5 * oleanderspool.Second
	// DefaultDeadlineMargin is how long before the last possible start an item
	// becomes due.
	DefaultDeadlineMargin = 2 * oleanderspool.Second
	// DefaultMaxCredit bounds the credit on which shorter work overtakes longer
	// work that is due. The credit is refilled while it is used, so one burst
	// lasts up to this span divided by the share of long work.
	DefaultMaxCredit = oleanderspool.Second / 2
	// DefaultBypassTimeout is how long smaller items may pass one that does not
	// fit into memory.
	DefaultBypassTimeout = 10 * oleanderspool.Second
	// DefaultMemoryReserve is the part of the engine's memory that items larger
	// than it leave free, so that short work does not wait for memory. Smaller
	// items leave as much free as they take.
	DefaultMemoryReserve = 0.06
	// DefaultPrefillRate is the rate assumed before any was observed, in
	// tokens per millisecond.
	DefaultPrefillRate = 10.0
	// DefaultInterTokenLatency is the span assumed between two generated tokens.
	DefaultInterTokenLatency = 30 * oleanderspool.Millis(1)
	// DefaultSlowFraction is the part of the reference rate below which an
	// engine counts as slow.
	DefaultSlowFraction = 0.5
	// DefaultStallTimeout is how long beyond its expected end the first item of
	// the engine may take before the engine counts as slow.
	DefaultStallTimeout = 5 * oleanderspool.Second
)

// The range of the stretch and of the share of long work between a
// short_request_weight of 0 and 1. The stretch is the delay per millisecond of
// own prefill work.
const (
	stretchAtZero   = 1.0
	stretchAtOne    = 64.0
	longShareAtZero = 0.5
	longShareAtOne  = 0.2
)

// settings are the values of the options of a queue.
type settings struct {
	capacity     int
	stepTokens   int64
	windowSteps  int64
	shortWeight  float64
	stretch      float64 // 0 means by shortWeight
	longShare    float64 // 0 means by shortWeight
	fairness     float64
	allowance    float64
	priorityStep oleanderspool.Millis
	slackMargin  oleanderspool.Millis
	creditSpan   oleanderspool.Millis
	bypassBound  oleanderspool.Millis
	prefillRate  float64
	reference    float64
	tokenSpan    oleanderspool.Millis
	slowFraction float64
	stallBound   oleanderspool.Millis
	memory       int64 // 0 means unbounded
	reserve      float64
}

func defaultSettings() settings {
	return settings{
		capacity:     DefaultCapacity,
		stepTokens:   DefaultStepTokens,
		windowSteps:  DefaultWindowSteps,
		shortWeight:  DefaultShortRequestWeight,
		fairness:     DefaultBacklogDelayFactor,
		allowance:    DefaultAllowance,
		priorityStep: DefaultPriorityStep,
		slackMargin:  DefaultDeadlineMargin,
		creditSpan:   DefaultMaxCredit,
		bypassBound:  DefaultBypassTimeout,
		reserve:      DefaultMemoryReserve,
		prefillRate:  DefaultPrefillRate,
		tokenSpan:    DefaultInterTokenLatency,
		slowFraction: DefaultSlowFraction,
		stallBound:   DefaultStallTimeout,
	}
}

// finish derives the settings that follow short_request_weight.
func (s *settings) finish() {
	w := min(1, max(0, s.shortWeight))
	if s.stretch == 0 {
		s.stretch = stretchAtZero + w*(stretchAtOne-stretchAtZero)
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

// WithWindowSteps sets how many steps of work are handed to the engine at a
// time.
func WithWindowSteps(steps int) Option {
	return func(s *settings) { s.windowSteps = int64(max(1, steps)) }
}

// WithShortRequestWeight trades the slowdown of short requests (1) against the
// time to first token across all lengths (0). It sets the stretch and the
// share of long work unless they are set on their own.
func WithShortRequestWeight(weight float64) Option {
	return func(s *settings) { s.shortWeight = weight }
}

// WithPrefillDelayFactor sets the delay per millisecond of an item's own prefill work.
// Higher values prefer short work for longer. It must be positive.
func WithPrefillDelayFactor(stretch float64) Option {
	return func(s *settings) { s.stretch = stretch }
}

// WithLongShare sets the part of the prefill capacity, between 0 and 1, that
// due long work has while shorter work waits.
func WithLongShare(share float64) Option {
	return func(s *settings) { s.longShare = min(0.95, share) }
}

// WithAllowance sets how many times its fair share of the prefill capacity an
// account may use before its items rank as longer work. 0 means no bound.
func WithAllowance(factor float64) Option {
	return func(s *settings) { s.allowance = factor }
}

// WithMaxCredit bounds the credit on which shorter work overtakes longer work
// that is due.
func WithMaxCredit(span oleanderspool.Millis) Option {
	return func(s *settings) { s.creditSpan = max(1, span) }
}

// WithBypassTimeout sets how long smaller items may pass one that does not fit
// into memory.
func WithBypassTimeout(span oleanderspool.Millis) Option {
	return func(s *settings) { s.bypassBound = span }
}

// WithPrefillRate sets the rate that is assumed before any was observed, in
// tokens per millisecond.
func WithPrefillRate(rate float64) Option {
	return func(s *settings) { s.prefillRate = rate }
}

// WithReferenceRate sets the rate of a healthy engine, in tokens per
// millisecond. Without it the highest observed rate is the reference.
func WithReferenceRate(rate float64) Option {
	return func(s *settings) { s.reference = rate }
}

// WithInterTokenLatency sets the expected span between two generated tokens.
func WithInterTokenLatency(span oleanderspool.Millis) Option {
	return func(s *settings) { s.tokenSpan = span }
}

// WithMemory sets the engine's memory in tokens, so that an item that can
// never fit is refused instead of blocking the queue.
func WithMemory(tokens int64) Option {
	return func(s *settings) { s.memory = tokens }
}

// WithMemoryReserve sets the part of the engine's memory, between 0 and 1,
// that items larger than it leave free. Smaller items leave as much free as they
// take. It has an effect only together with [WithMemory].
func WithMemoryReserve(part float64) Option {
	return func(s *settings) { s.reserve = min(1, max(0, part)) }
}
