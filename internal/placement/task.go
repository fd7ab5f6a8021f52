package placement

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// Tasks returns the tasks of a decision: that of the request's server first, then
// those of its helpers. The caller sets the IDs and the entry.
func Tasks(d Decision, e *directory.Engine, r Request, now oleanderspool.Millis) []Task {
	if e == nil {
		// OutputTokens is more than 0, so that the task counts as a request and not as a
		// helper's shard.
		return []Task{{Server: d.Server.Instance, OutputTokens: 1, Value: r.Value(), TTFTGoal: r.TTFTGoal, PlacedAt: now}}
	}
	shards := int64(1 + len(d.Helpers))
	prefill := prefillMillis(e, r.PromptTokens) / float64(shards)
	maxPass := maxPassPrefillMillis(e, r.PromptTokens/shards, prefill)
	memoryTokens := r.PromptTokens + r.OutputTokens
	for _, h := range d.Helpers {
		memoryTokens -= h.ReservedTokens
	}
	own := Task{
		Server: d.Server.Instance, ContextTokens: stepContextTokens(d, e, r), MemoryTokens: max(0, memoryTokens), OutputTokens: max(1, r.OutputTokens),
		PrefillMillis: prefill, MaxPassPrefillMillis: maxPass, Value: r.Value(), TTFTGoal: r.TTFTGoal, InterTokenGoal: r.InterTokenGoal, PlacedAt: now,
		Sharded: shards > 1,
	}
	tasks := []Task{own}
	for _, h := range d.Helpers {
		tasks = append(tasks, Task{
			Server: h.Server.Instance, ContextTokens: h.ReservedTokens, MemoryTokens: h.ReservedTokens, PrefillMillis: prefill, MaxPassPrefillMillis: maxPass, PlacedAt: now,
			Value: r.Value(), TTFTGoal: r.TTFTGoal, InterTokenGoal: r.InterTokenGoal, Sharded: true,
		})
	}
	return tasks
}

// stepContextTokens returns the context tokens that determine the cost of a decode
// step of the request. If several servers hold the prompt, it is the largest shard
// plus the equivalent of the network hop between them.
func stepContextTokens(d Decision, e *directory.Engine, r Request) int64 {
	reserved, largestReserved := int64(0), int64(0)
	for _, h := range d.Helpers {
		reserved += h.ReservedTokens
		largestReserved = max(largestReserved, h.ReservedTokens)
	}
	if reserved == 0 {
		return r.PromptTokens
	}
	hopTokens := int64(0)
	if e.ContextCost > 0 {
		hopTokens = int64(e.ShardStepMillis / e.ContextCost * 1000)
	}
	return max(largestReserved, r.PromptTokens-reserved) + hopTokens
}
