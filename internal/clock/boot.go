package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderspool/oleanderspool"
)

// Boot is a clock that also counts the time during which the machine was
// suspended, which the monotonic clock of the process leaves out.
type Boot struct {
	origin time.Duration
}

// NewBoot returns a clock that starts one second after its origin, so that Now
// never returns 0.
func NewBoot() *Boot {
	return &Boot{origin: bootTime() - time.Second}
}

// Now returns the milliseconds since the clock's origin.
func (b *Boot) Now() oleanderspool.Millis {
	return oleanderspool.Millis((bootTime() - b.origin) / time.Millisecond)
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(t.Nano())
}
