package observe

import (
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// maxLines is the number of lines of a message within lineWindow. It is several
	// times the requests that an entry gets in ordinary operation.
	maxLines   = 200
	lineWindow = oleanderspool.Second
	// kindLogLines counts the lines that were not written.
	kindLogLines = "client_log_lines"
)

// LineLimit bounds the lines that the requests of clients cause. The requests are still
// counted by their own counters. It is safe for concurrent use.
type LineLimit struct {
	clock oleanderspool.Clock
	tally *Tally

	mu      sync.Mutex
	windows map[string]*lineCount
}

type lineCount struct {
	startedAt oleanderspool.Millis
	lines     int
}

// NewLineLimit returns a limit that records the lines beyond it in a tally.
func NewLineLimit(clock oleanderspool.Clock, tally *Tally) *LineLimit {
	return &LineLimit{clock: clock, tally: tally, windows: make(map[string]*lineCount)}
}

// Allow reports whether a line of a message may be written, and records it otherwise.
// message must be from a fixed set.
func (l *LineLimit) Allow(message string) bool {
	l.mu.Lock()
	now := l.clock.Now()
	w, found := l.windows[message]
	if !found || now-w.startedAt >= lineWindow {
		w = &lineCount{startedAt: now}
		l.windows[message] = w
	}
	w.lines++
	allowed := w.lines <= maxLines
	l.mu.Unlock()
	if !allowed {
		l.tally.Record(kindLogLines)
	}
	return allowed
}
