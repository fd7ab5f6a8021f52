package oleanderspool

import "time"

// Millis is an instant or a duration in milliseconds. Instants are counted from
// an origin that belongs to one process, so they are never sent to another
// process; messages carry remaining durations instead.
type Millis int64

// Second, Minute and Hour are durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration returns m as a [time.Duration].
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisOf returns d in milliseconds, rounded up, so that a positive duration
// never becomes zero.
func MillisOf(d time.Duration) Millis {
	m := Millis(d / time.Millisecond)
	if d%time.Millisecond > 0 {
		m++
	}
	return m
}

// Clock returns the current instant. Implementations are monotonic.
type Clock interface {
	// Now returns the current instant in milliseconds since the clock's origin.
	Now() Millis
}
