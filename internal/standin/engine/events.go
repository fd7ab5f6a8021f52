package engine

import (
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// maxEvents is the maximum number of cache events kept for readers.
const maxEvents = 100000

// eventLog holds cache events. Events become readable after a delay, and some can
// be dropped, to simulate an unreliable event stream.
type eventLog struct {
	delay     time.Duration
	dropEvery int64 // drops each event whose sequence number is divisible by this; 0 drops none
	sequence  int64
	events    []timedEvent
}

type timedEvent struct {
	readableAt time.Time
	event      oleanderspool.CacheEvent
}

func (l *eventLog) add(prefix uint64, tokens int64, evicted bool) {
	l.sequence++
	if l.dropEvery > 0 && l.sequence%l.dropEvery == 0 {
		return
	}
	l.events = append(l.events, timedEvent{
		readableAt: time.Now().Add(l.delay),
		event: oleanderspool.CacheEvent{
			Sequence: l.sequence, Prefix: oleanderspool.Fingerprint(prefix), Tokens: tokens, Evicted: evicted,
		},
	})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// after returns the readable events with a higher sequence number.
func (l *eventLog) after(sequence int64) []oleanderspool.CacheEvent {
	now := time.Now()
	var events []oleanderspool.CacheEvent
	for _, e := range l.events {
		if e.event.Sequence > sequence && !e.readableAt.After(now) {
			events = append(events, e.event)
		}
	}
	return events
}
