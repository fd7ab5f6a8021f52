package queue

import (
	"math/bits"

	"github.com/oleanderspool/oleanderspool"
)

// Item is an attempt that waits for the engine.
type Item struct {
	Attempt       oleanderspool.AttemptID
	Account       oleanderspool.ClientAccountID
	AccountWeight float64 // weight of the account against others; 0 means 1
	Priority      int     // higher is served earlier
	// PromptTokens is the prefill work, in tokens, without what the engine's
	// prefix cache holds.
	PromptTokens int64
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int64
	// MemoryTokens is the engine memory that the attempt needs.
	MemoryTokens int64
	// Deadline is the instant by which the answer must be complete; 0 means
	// that there is none.
	Deadline oleanderspool.Millis
	// Age is the span that the request has waited elsewhere, so that a retry
	// does not lose its place.
	Age oleanderspool.Millis
	// Exclusive asks for an engine without other work, for a request that is
	// suspected of crashing its server.
	Exclusive bool
}

// Dispatch asks the agent to hand an item to the engine.
type Dispatch struct {
	Item
	// EnginePriority is the priority on the engine; higher is served first.
	EnginePriority int
	// Waited is the span that the item waited in the queue.
	Waited oleanderspool.Millis
}

// Refused is an item that left the queue without being handed to the engine.
type Refused struct {
	Item
	Refusal *oleanderspool.Refusal
}

// classUnit is the upper bound of the smallest class, in tokens. Each further
// class is twice as large.
const classUnit = 1024

// classCount covers prompts of up to a million tokens; longer ones share the
// last class.
const classCount = 12

// classOf returns the class of an item by its prefill work, from 0.
func classOf(tokens int64) int {
	if tokens <= classUnit {
		return 0
	}
	return min(classCount-1, bits.Len64(uint64(tokens-1)/classUnit))
}

// enginePriority returns the priority on the engine of a class.
func enginePriority(class int) int {
	return classCount - 1 - class
}
