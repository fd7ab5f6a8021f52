package observe_test

import (
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

type manualClock struct{ now oleanderspool.Millis }

func (c *manualClock) Now() oleanderspool.Millis { return c.now }

// TestLineLimit guards against a crowd that floods the log, and against messages that
// stay suppressed after it or because of another message.
func TestLineLimit(t *testing.T) {
	g := NewWithT(t)
	clock := &manualClock{now: 1000}
	limit := observe.NewLineLimit(clock, observe.NewTally(clock, slog.New(slog.DiscardHandler), observe.NewMetrics(), ""))
	written := func() (n int) {
		for range 10000 {
			if limit.Allow("refused") {
				n++
			}
		}
		return n
	}
	g.Expect(written()).To(Equal(200))
	g.Expect(limit.Allow("other")).To(BeTrue())
	clock.now += 999
	g.Expect(written()).To(Equal(0))
	clock.now++
	g.Expect(written()).To(Equal(200))
}
