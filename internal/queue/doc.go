// Package queue orders the work that waits in front of one engine.
//
// Each waiting item has a due instant that never changes: its arrival plus a
// delay in proportion to its prefill work and to the work that its account
// already has waiting, less a head start for its priority, and no later than
// its time limit demands. Items are served by due instant, so short work goes
// first, and an item is never overtaken by work that arrives after its due
// instant, which is the bound of its ageing.
//
// Items are grouped into classes by prefill work. The class gives the priority
// on the engine, so an engine that prefills a long prompt in chunks serves a
// shorter one between two chunks. Work that overtakes a longer item whose due
// instant is earlier may use only a part of the prefill capacity; the rest is
// the share of long work. Without shorter work the longer item has all of it.
//
// The queue is a state machine without I/O. Instants and spans are in
// milliseconds on the caller's clock, work is in tokens, rates are in tokens
// per millisecond.
package queue
