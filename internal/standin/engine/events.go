package engine

import (
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 100000

// eventLog holds cache events, which become readable late and of which some are
// lost.
type eventLog struct {
	delay    time.Duration
	gapEvery int64 // every event with a sequence divisible by this is lost; 0 loses none
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time // when it becomes readable
	event oleanderspool.CacheEvent
}

func (l *eventLog) add(prefix uint64, tokens int64, evicted bool) {
	l.sequence++
	if l.gapEvery > 0 && l.sequence%l.gapEvery == 0 {
		return
	}
	l.events = append(l.events, timedEvent{
		at: time.Now().Add(l.delay),
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
		if e.event.Sequence > sequence && !e.at.After(now) {
			events = append(events, e.event)
		}
	}
	return events
}
