package measure

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Parameters of the simulated engine, in tokens and milliseconds. A full step
// takes about 30 ms, which keeps the inter-token latency near 33 ms.
const (
	prefillRate  = 20.0    // prefill tokens per millisecond within a step
	engineMemory = 480_000 // KV cache; the longest prompts need more than twice as much
	stepTokens   = 512     // token budget of a step
	stepOverhead = 3.0     // fixed cost of a step
	decodeCost   = 0.05    // cost of one generated token within a step

	// fullStepRate is the prefill rate, in tokens per millisecond, of an engine
	// that spends the whole token budget of every step on prefill.
	fullStepRate = stepTokens / (stepTokens/prefillRate + stepOverhead)
)

// shard is the part of a prompt that one engine processes.
type shard struct {
	call      *call
	server    *server
	tokens    int64 // prompt tokens on this engine
	primary   bool  // generates the output after its prefill
	priority  int
	sequence  int64
	remaining int64 // prefill work left, in tokens
	prefilled,
	removed bool
	generated int64
	sentAt,
	expectedDelay oleanderspool.Millis // router's estimate of the time to the first token
}

// memory returns the memory that the shard needs on its engine, in tokens.
func (sh *shard) memory() int64 {
	if !sh.primary {
		return sh.tokens
	}
	return sh.tokens + sh.call.output
}

// engine simulates continuous batching with chunked prefill. Each step generates
// one token for every decoding sequence and spends the rest of its token budget
// on prefill, by priority and then by arrival. The prefix cache uses the memory
// that running sequences leave free.
type engine struct {
	speed           float64 // 1 for a healthy engine
	prefills        []*shard
	decodes         []*shard
	usedMemory      int64 // memory of running shards, in tokens
	cache           prefixCache
	chunks          []chunk // prefill work of the current step
	busyMillis      float64 // time spent in steps
	prefilledTokens int64   // prefill work done
	sequence        int64
	stepping        bool
}

// chunk is the prefill work for one shard in a step.
type chunk struct {
	shard  *shard
	tokens int64
}

// admit starts a shard. The cached part of its prompt needs no prefill.
func (e *engine) admit(sh *shard) {
	e.sequence++
	sh.sequence = e.sequence
	sh.remaining = sh.tokens - e.cachedTokens(sh.call)
	e.usedMemory += sh.memory()
	e.cache.evictTo(engineMemory - e.usedMemory)
	at, _ := slices.BinarySearchFunc(e.prefills, sh, func(a, b *shard) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.sequence, b.sequence))
	})
	e.prefills = slices.Insert(e.prefills, at, sh)
}

// cachedTokens returns the number of cached prefix tokens of a request. At least
// one token of the prompt is always prefilled.
func (e *engine) cachedTokens(c *call) int64 {
	if c.prefix == 0 || !e.cache.touch(c.prefix) {
		return 0
	}
	return min(c.kind.Prefix, c.tokens-1)
}

// planStep selects the prefill chunks of a step and returns its duration in
// milliseconds, or 0 when there is no work.
func (e *engine) planStep() float64 {
	e.chunks = e.chunks[:0]
	budget := int64(stepTokens - len(e.decodes))
	for _, sh := range e.prefills {
		tokens := min(budget, sh.remaining)
		if tokens <= 0 {
			break
		}
		e.chunks = append(e.chunks, chunk{sh, tokens})
		budget -= tokens
	}
	if len(e.chunks) == 0 && len(e.decodes) == 0 {
		return 0
	}
	work := 0.0
	for _, c := range e.chunks {
		work += float64(c.tokens) / prefillRate
	}
	return (stepOverhead + work + decodeCost*float64(len(e.decodes))) / e.speed
}

// finishStep applies the results of a step. It returns the shards that reached
// their first token and those that have generated their whole output.
func (e *engine) finishStep() (first, finished []*shard) {
	for _, sh := range e.decodes {
		sh.generated++
		if sh.generated >= sh.call.output {
			finished = append(finished, sh)
		}
	}
	for _, c := range e.chunks {
		c.shard.remaining -= c.tokens
		e.prefilledTokens += c.tokens
		if c.shard.remaining == 0 && !c.shard.removed {
			c.shard.prefilled = true
			first = append(first, c.shard)
			e.cache.add(c.shard.call.prefix, c.shard.call.kind.Prefix)
		}
	}
	e.chunks = e.chunks[:0]
	for _, sh := range first {
		e.prefills = withoutShard(e.prefills, sh)
		if sh.primary {
			e.decodes = append(e.decodes, sh)
		}
	}
	e.cache.evictTo(engineMemory - e.usedMemory)
	return first, finished
}

// remove ends a shard and frees its memory.
func (e *engine) remove(sh *shard) {
	if sh.removed {
		return
	}
	sh.removed = true
	e.usedMemory -= sh.memory()
	e.prefills = withoutShard(e.prefills, sh)
	e.decodes = withoutShard(e.decodes, sh)
}

// withoutShard removes a shard from a list in place.
func withoutShard(shards []*shard, sh *shard) []*shard {
	return slices.DeleteFunc(shards, func(x *shard) bool { return x == sh })
}

// remainingTokens returns the unfinished prefill work in the engine, in tokens.
func (e *engine) remainingTokens() int64 {
	total := int64(0)
	for _, sh := range e.prefills {
		total += sh.remaining
	}
	return total
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	prefixes []cachedPrefix // least recently used first
	tokens   int64
}

type cachedPrefix struct {
	prefix uint64
	tokens int64
}

func (c *prefixCache) find(prefix uint64) int {
	return slices.IndexFunc(c.prefixes, func(x cachedPrefix) bool { return x.prefix == prefix })
}

// touch marks a prefix as most recently used and reports whether it is cached.
func (c *prefixCache) touch(prefix uint64) bool {
	i := c.find(prefix)
	if i < 0 {
		return false
	}
	x := c.prefixes[i]
	c.prefixes = append(slices.Delete(c.prefixes, i, i+1), x)
	return true
}

func (c *prefixCache) add(prefix uint64, tokens int64) {
	if prefix == 0 || c.touch(prefix) {
		return
	}
	c.prefixes = append(c.prefixes, cachedPrefix{prefix, tokens})
	c.tokens += tokens
}

// evictTo evicts the least recently used prefixes until at most limit tokens are
// cached.
func (c *prefixCache) evictTo(limit int64) {
	for len(c.prefixes) > 0 && c.tokens > limit {
		c.tokens -= c.prefixes[0].tokens
		c.prefixes = c.prefixes[1:]
	}
}

// milliseconds rounds a duration to whole milliseconds, to at least 1 so that the
// virtual clock always advances.
func milliseconds(duration float64) oleanderspool.Millis {
	return max(1, oleanderspool.Millis(duration+0.5))
}
