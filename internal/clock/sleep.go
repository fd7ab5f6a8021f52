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
