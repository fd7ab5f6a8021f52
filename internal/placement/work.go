package placement

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// Tasks returns the work that a decision brings to its servers: the request's
// own first, then its helpers'. The caller sets the IDs and the entry.
func Tasks(d Decision, e *directory.Engine, r Request, now oleanderspool.Millis) []Task {
	if e == nil {
		return []Task{{Server: d.Server.Instance, OutputTokens: 1, Value: r.Value(), TTFTGoal: r.TTFTGoal, PlacedAt: now}}
	}
	parts := int64(1 + len(d.Helpers))
	read := readMillis(e, r.PromptTokens) / float64(parts)
	largest := readPerPass(e, r.PromptTokens/parts, read)
	memory := r.PromptTokens + r.OutputTokens
	for _, h := range d.Helpers {
		memory -= h.ReservedTokens
	}
	own := Task{
		Server: d.Server.Instance, ContextTokens: contextTokens(d, e, r), MemoryTokens: max(0, memory), OutputTokens: max(1, r.OutputTokens),
		PrefillMillis: read, MaxPassPrefillMillis: largest, Value: r.Value(), TTFTGoal: r.TTFTGoal, InterTokenGoal: r.InterTokenGoal, PlacedAt: now,
		Sharded: parts > 1,
	}
	works := []Task{own}
	for _, h := range d.Helpers {
		works = append(works, Task{
			Server: h.Server.Instance, ContextTokens: h.ReservedTokens, MemoryTokens: h.ReservedTokens, PrefillMillis: read, MaxPassPrefillMillis: largest, PlacedAt: now,
			Value: r.Value(), TTFTGoal: r.TTFTGoal, InterTokenGoal: r.InterTokenGoal, Sharded: true,
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
		reserved += h.ReservedTokens
		largest = max(largest, h.ReservedTokens)
	}
	if reserved == 0 {
		return r.PromptTokens
	}
	hop := int64(0)
	if e.ContextCost > 0 {
		hop = int64(e.ShardStepMillis / e.ContextCost * 1000)
	}
	return max(largest, r.PromptTokens-reserved) + hop
}
