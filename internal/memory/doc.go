// Package memory accounts for the memory of one engine and reserves memory of
// several engines for one prompt.
//
// [Ledger] is the agent's account of its engine's memory. [Group] is the
// entry's side of a reservation that spans several engines; the agents' side
// is part of the ledger. Both are state machines without I/O: the caller
// carries out the cancels and sends the messages that they return. Sizes are
// in tokens, times and durations in milliseconds on the caller's own clock.
package memory
