package placement

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// Works returns the work that a decision brings to its servers: the request's
// own first, then its helpers'. The caller sets the IDs and the entry.
func Works(d Decision, e *directory.Engine, r Request, now oleanderspool.Millis) []Work {
	if e == nil {
		return []Work{{Server: d.Server.Instance, Answer: 1, Value: r.Value(), Goal: r.Goal, PlacedAt: now}}
	}
	parts := int64(1 + len(d.Helpers))
	read := readMillis(e, r.Prompt) / float64(parts)
	largest := readPerPass(e, r.Prompt/parts, read)
	memory := r.Prompt + r.Answer
	for _, h := range d.Helpers {
		memory -= h.Reserve
	}
	own := Work{
		Server: d.Server.Instance, Tokens: contextTokens(d, e, r), Memory: max(0, memory), Answer: max(1, r.Answer),
		Read: read, Largest: largest, Value: r.Value(), Goal: r.Goal, PauseGoal: r.PauseGoal, PlacedAt: now,
		Part: parts > 1,
	}
	works := []Work{own}
	for _, h := range d.Helpers {
		works = append(works, Work{
			Server: h.Server.Instance, Tokens: h.Reserve, Memory: h.Reserve, Read: read, Largest: largest, PlacedAt: now,
			Value: r.Value(), Goal: r.Goal, PauseGoal: r.PauseGoal, Part: true,
		})
	}
	return works
}

// contextTokens returns the tokens whose context a step of the request costs. A
// prompt that several servers hold costs its largest part, and the way between
// them in addition.
func contextTokens(d Decision, e *directory.Engine, r Request) int64 {
	reserved, largest := int64(0), int64(0)
	for _, h := range d.Helpers {
		reserved += h.Reserve
		largest = max(largest, h.Reserve)
	}
	if reserved == 0 {
		return r.Prompt
	}
	hop := int64(0)
	if e.ContextCost > 0 {
		hop = int64(e.ShardStepMillis / e.ContextCost * 1000)
	}
	return max(largest, r.Prompt-reserved) + hop
}
