package clock

import (
	"context"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// Sleep waits for span milliseconds or the end of ctx.
func Sleep(ctx context.Context, span oleanderspool.Millis) {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls f after each span of milliseconds and whenever wake receives, until
// ctx ends. A nil wake never receives.
func Every(ctx context.Context, span oleanderspool.Millis, wake <-chan struct{}, f func()) {
	ticker := time.NewTicker(span.Duration())
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
