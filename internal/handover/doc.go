// Package handover decides which running streams of a leaving agent move to
// another backend server with their KV cache.
//
// [Source] is the leaving agent's side, [Target] the side of the agent that
// takes a stream over. Both are state machines without I/O: the caller sends
// the offers, reads and writes the KV caches, and accounts for engine memory.
// Instants and spans are in milliseconds on the caller's own clock, sizes of
// caches in bytes and of texts in tokens.
package handover
