package measure

import (
	"cmp"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// The fake engine's parameters, in tokens and milliseconds. A full step takes
// about 30 ms, so that the span between generated tokens stays near 33 ms.
const (
	engineRate   = 20.0    // prefill tokens per millisecond within a step
	engineMemory = 480_000 // the longest prompts need more than twice as much
	engineStep   = 512     // token budget of a step
	stepOverhead = 3.0     // fixed cost of a step
	decodeCost   = 0.05    // cost of one generated token within a step

	// fullRate is the rate of an engine whose steps are all full.
	fullRate = engineStep / (engineStep/engineRate + stepOverhead)
)

// part is the share of a request that one engine serves.
type part struct {
	call     *call
	server   *server
	tokens   int64 // of the prompt on this engine
	lead     bool  // generates the output
	priority int
	sequence int64
	left     int64 // prefill work that is left
	prefilled,
	gone bool
	generated int64
	sentAt,
	expected oleanderspool.Millis // to the first token, by the router
}

// memory returns the memory that the part needs on its engine.
func (p *part) memory() int64 {
	if !p.lead {
		return p.tokens
	}
	return p.tokens + p.call.output
}

// engine batches continuously: each step generates one token for every
// sequence that has its first one, and spends the rest of the budget on
// prefill, by priority and then by arrival, in chunks. Its prefix cache uses
// the memory that running sequences leave.
type engine struct {
	speed    float64 // 1 for a healthy engine
	prefills []*part
	decodes  []*part
	used     int64 // memory of running parts
	cache    prefixCache
	chunks   []chunk // prefill of the step under way
	busy     float64 // milliseconds spent in steps
	done     int64   // prefill tokens
	sequence int64
	stepping bool
}

type chunk struct {
	part   *part
	tokens int64
}

// admit starts a part. A cached prefix saves its prefill.
func (e *engine) admit(p *part) {
	e.sequence++
	p.sequence = e.sequence
	p.left = p.tokens - e.cached(p.call)
	e.used += p.memory()
	e.cache.trim(engineMemory - e.used)
	at, _ := slices.BinarySearchFunc(e.prefills, p, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.sequence, b.sequence))
	})
	e.prefills = slices.Insert(e.prefills, at, p)
}

// cached returns the tokens of the request's prefix that are cached.
func (e *engine) cached(c *call) int64 {
	if c.prefix == 0 || !e.cache.use(c.prefix) {
		return 0
	}
	return min(c.kind.Prefix, c.tokens-1)
}

// plan starts a step and returns its span in milliseconds; 0 when there is no
// work.
func (e *engine) plan() float64 {
	e.chunks = e.chunks[:0]
	budget := int64(engineStep - len(e.decodes))
	for _, p := range e.prefills {
		tokens := min(budget, p.left)
		if tokens <= 0 {
			break
		}
		e.chunks = append(e.chunks, chunk{p, tokens})
		budget -= tokens
	}
	if len(e.chunks) == 0 && len(e.decodes) == 0 {
		return 0
	}
	work := 0.0
	for _, c := range e.chunks {
		work += float64(c.tokens) / engineRate
	}
	return (stepOverhead + work + decodeCost*float64(len(e.decodes))) / e.speed
}

// finish ends a step. It returns the parts that have got their first token
// and those that have generated everything.
func (e *engine) finish() (first, ended []*part) {
	for _, p := range e.decodes {
		p.generated++
		if p.generated >= p.call.output {
			ended = append(ended, p)
		}
	}
	for _, c := range e.chunks {
		c.part.left -= c.tokens
		e.done += c.tokens
		if c.part.left == 0 && !c.part.gone {
			c.part.prefilled = true
			first = append(first, c.part)
			e.cache.add(c.part.call.prefix, c.part.call.kind.Prefix)
		}
	}
	e.chunks = e.chunks[:0]
	for _, p := range first {
		e.prefills = without(e.prefills, p)
		if p.lead {
			e.decodes = append(e.decodes, p)
		}
	}
	e.cache.trim(engineMemory - e.used)
	return first, ended
}

// remove ends a part and frees its memory.
func (e *engine) remove(p *part) {
	if p.gone {
		return
	}
	p.gone = true
	e.used -= p.memory()
	e.prefills = without(e.prefills, p)
	e.decodes = without(e.decodes, p)
}

func without(parts []*part, p *part) []*part {
	return slices.DeleteFunc(parts, func(x *part) bool { return x == p })
}

// remaining returns the prefill work in the engine, in tokens.
func (e *engine) remaining() int64 {
	total := int64(0)
	for _, p := range e.prefills {
		total += p.left
	}
	return total
}

// prefixCache keeps the most recently used prefixes.
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

func (c *prefixCache) use(prefix uint64) bool {
	i := c.find(prefix)
	if i < 0 {
		return false
	}
	x := c.prefixes[i]
	c.prefixes = append(slices.Delete(c.prefixes, i, i+1), x)
	return true
}

func (c *prefixCache) add(prefix uint64, tokens int64) {
	if prefix == 0 || c.use(prefix) {
		return
	}
	c.prefixes = append(c.prefixes, cachedPrefix{prefix, tokens})
	c.tokens += tokens
}

// trim evicts prefixes until they fit into the given memory.
func (c *prefixCache) trim(room int64) {
	for len(c.prefixes) > 0 && c.tokens > room {
		c.tokens -= c.prefixes[0].tokens
		c.prefixes = c.prefixes[1:]
	}
}

// milliseconds rounds a span up, so that time always advances.
func milliseconds(span float64) oleanderspool.Millis {
	return max(1, oleanderspool.Millis(span+0.5))
}
