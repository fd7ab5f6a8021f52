// Package queue orders the requests that wait in front of one engine.
//
// Each waiting item has a due time that never changes: its arrival time plus
// a delay in proportion to its prefill work and to the work that its account
// already has waiting, minus a bonus for its priority, and no later than its
// deadline requires. Items are served in order of due time, so short work goes
// first. Work without a priority, an age or a deadline that arrives after an
// item's due time is ordered behind it, which bounds how long the item can be
// passed over (ageing). Shorter work may still overtake it on the engine, within
// the limits described below.
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
