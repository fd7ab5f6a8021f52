// Package clock implements the system clock and a manual clock for tests.
package clock

import (
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// System is a clock that counts from its creation. It reads the monotonic clock
// of the process, so that steps of the wall clock have no effect.
type System struct {
	origin time.Time
}

// NewSystem returns a system clock.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the milliseconds since the clock was created.
func (s *System) Now() oleanderspool.Millis {
	return oleanderspool.Millis(time.Since(s.origin) / time.Millisecond)
}

// Manual is a clock for tests that moves only when Advance is called. It is
// safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock at the given instant.
func NewManual(now oleanderspool.Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(now))
	return m
}

// Now returns the current instant in milliseconds.
func (m *Manual) Now() oleanderspool.Millis {
	return oleanderspool.Millis(m.now.Load())
}

// Advance moves the clock forward by interval milliseconds.
func (m *Manual) Advance(interval oleanderspool.Millis) {
	m.now.Add(int64(interval))
}
