package observe

import (
	"log/slog"
	"sync"

	"github.com/oleanderspool/oleanderspool"
)

// tallyInterval is the shortest time between two lines of the same kind.
const tallyInterval = oleanderspool.Second

// Tally counts events and logs each kind at most once a second with the number of events
// since the last line, so that many clients cannot flood the log. It is safe for
// concurrent use.
type Tally struct {
	clock   oleanderspool.Clock
	logger  *slog.Logger
	metrics *Metrics
	message string

	mu    sync.Mutex
	kinds map[string]*tallied
}

type tallied struct {
	count    int
	loggedAt oleanderspool.Millis
}

// NewTally returns a tally whose lines have the given message.
func NewTally(clock oleanderspool.Clock, logger *slog.Logger, metrics *Metrics, message string) *Tally {
	return &Tally{clock: clock, logger: logger, metrics: metrics, message: message, kinds: make(map[string]*tallied)}
}

// Record counts an event. kind must be from a fixed set.
func (t *Tally) Record(kind string) {
	t.metrics.StateChanged(kind)
	t.mu.Lock()
	defer t.mu.Unlock()
	k, found := t.kinds[kind]
	if !found {
		k = &tallied{loggedAt: t.clock.Now() - tallyInterval}
		t.kinds[kind] = k
	}
	k.count++
	t.log(kind, k)
}

// Flush logs the events of the kinds that are due.
func (t *Tally) Flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for kind, k := range t.kinds {
		t.log(kind, k)
	}
}

func (t *Tally) log(kind string, k *tallied) {
	now := t.clock.Now()
	if k.count == 0 || now-k.loggedAt < tallyInterval {
		return
	}
	t.logger.Warn(t.message, "kind", kind, "count", k.count)
	k.count, k.loggedAt = 0, now
}
