package queue

import (
	"math/bits"

	"github.com/oleanderspool/oleanderspool"
)

// Item is a request attempt that waits for the engine.
type Item struct {
	Attempt       oleanderspool.AttemptID
	Account       oleanderspool.ClientAccountID
	AccountWeight float64 // weight relative to other accounts; 0 means 1
	Priority      int     // higher is served earlier
	// PromptTokens is the prefill work, in tokens, without the part that the
	// engine's prefix cache holds.
	PromptTokens int64
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int64
	// MemoryTokens is the engine memory that the attempt needs.
	MemoryTokens int64
	// Deadline is the time by which the answer must be complete; 0 means that
	// there is none.
	Deadline oleanderspool.Millis
	// Age is how long the request has already waited elsewhere, so that a retry
	// does not lose its place.
	Age oleanderspool.Millis
	// Exclusive asks for an engine without other work. It is for a request that
	// is suspected of crashing its backend server.
	Exclusive bool
}

// Dispatch is an item that the agent must now submit to the engine.
type Dispatch struct {
	Item
	// EnginePriority is the priority on the engine; higher is served first.
	EnginePriority int
	// Waited is how long the item has waited, its Age included.
	Waited oleanderspool.Millis
}

// Refused is an item that was removed from the queue without being dispatched.
type Refused struct {
	Item
	Refusal *oleanderspool.Refusal
}

// smallestClassTokens is the upper bound of the smallest class, in tokens. The
// bound of each further class is twice as large.
const smallestClassTokens = 1024

// classCount covers prompts of up to a million tokens; longer ones share the
// last class.
const classCount = 12

// classOf returns the class for an amount of prefill work, counted from 0.
func classOf(tokens int64) int {
	if tokens <= smallestClassTokens {
		return 0
	}
	return min(classCount-1, bits.Len64(uint64(tokens-1)/smallestClassTokens))
}

// enginePriority returns the engine priority of a class: the smaller the class,
// the higher the priority.
func enginePriority(class int) int {
	return classCount - 1 - class
}
