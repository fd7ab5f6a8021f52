package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// silenceMin is the shortest span without an event after which a stream is
	// moved. It ends before callers of the most impatient streams give up (2 s).
	silenceMin = 900 * oleanderspool.Millis(1)
	// silencePauses is the number of pause goals without an event after which a
	// stream is moved.
	silencePauses = 4
	// silenceFirsts is the number of times the predicted span to the first event
	// after which a stream is moved.
	silenceFirsts = 2
)

// silence watches the events of an attempt. When none comes for too long it ends
// the attempt, so that the stream goes on at another server: a server that was
// cut off or hangs does not break its connections.
type silence struct {
	t      *ticket
	cancel context.CancelFunc
	timer  *time.Timer
	pause  oleanderspool.Millis
	fired  atomic.Bool
}

// watch begins to watch an attempt whose first event is predicted. It returns
// nil for a stream that cannot go on elsewhere.
func (t *ticket) watch(first oleanderspool.Millis, cancel context.CancelFunc) *silence {
	if !t.route.Repeatable() || t.sends+1 >= t.route.Attempts {
		return nil
	}
	s := &silence{t: t, cancel: cancel, pause: max(silenceMin, silencePauses*t.route.PauseGoal)}
	s.timer = time.AfterFunc(max(silenceMin, silenceFirsts*first).Duration(), s.fire)
	return s
}

func (s *silence) fire() {
	if !s.t.g.shared.takeRetry(s.t.service.Name) {
		return
	}
	s.fired.Store(true)
	s.cancel()
}

// event notes that an event came.
func (s *silence) event() {
	if s != nil && s.timer.Stop() {
		s.timer.Reset(s.pause.Duration())
	}
}

// stop ends the watch and reports whether it ended the attempt.
func (s *silence) stop() bool {
	if s == nil {
		return false
	}
	s.timer.Stop()
	return s.fired.Load()
}
