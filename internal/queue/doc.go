// Package queue orders the requests that wait in front of one engine.
//
// Each waiting item has a due time that never changes: its arrival time plus
// a delay in proportion to its prefill work and to the work that its account
// already has waiting, minus a bonus for its priority, and no later than its
// deadline requires. Items are served in order of due time, so short work goes
// first. An item is never overtaken by work that arrives after its due time,
// which bounds how long it can be passed over (ageing).
//
// Items are grouped into classes by prefill work. The class determines the
// priority on the engine, so an engine that prefills a long prompt in chunks
// serves a shorter prompt between two chunks. Work that overtakes a longer item
// with an earlier due time may use only a part of the prefill capacity; the rest
// is the share of long work. When no shorter work waits, the longer item has the
// whole capacity.
//
// The queue is a state machine without I/O. Times and durations are in
// milliseconds on the caller's clock, work is in tokens, rates are in tokens
// per millisecond.
package queue
