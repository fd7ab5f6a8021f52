// Package handover decides which running streams of a leaving agent move to
// another backend server together with their KV cache.
//
// [Source] is used by the leaving agent, [Target] by the agent that takes a stream
// over. Both are state machines without I/O: the caller sends the offers, reads
// and writes the KV caches, and accounts for engine memory. Instants and durations
// are in milliseconds on the caller's own clock. Sizes of caches are in bytes, and
// lengths of prompts and answers in tokens.
package handover
