package clock

import (
	"context"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// Sleep returns after delay milliseconds or at the end of ctx, whichever is
// first.
func Sleep(ctx context.Context, delay oleanderspool.Millis) {
	t := time.NewTimer(delay.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls f at each interval, in milliseconds, and for each value received
// from wake, until ctx ends. A nil wake never delivers a value.
func Every(ctx context.Context, interval oleanderspool.Millis, wake <-chan struct{}, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		f()
	}
}
