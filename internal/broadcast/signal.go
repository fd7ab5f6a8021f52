// Package broadcast wakes those who wait for a change.
package broadcast

// Wake wakes the reader of a channel that has room for one signal. It does not
// block: a signal that waits already wakes the reader as well.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Signal wakes all waiters at once. The zero value is ready for use. It is not
// safe for concurrent use: the lock that guards the changed state guards it.
type Signal struct {
	waiting chan struct{}
}

// Channel returns a channel that is closed by the next call of Notify. To miss
// no change, obtain the channel before reading the state.
func (s *Signal) Channel() <-chan struct{} {
	if s.waiting == nil {
		s.waiting = make(chan struct{})
	}
	return s.waiting
}

// Notify wakes all waiters.
func (s *Signal) Notify() {
	if s.waiting == nil {
		return
	}
	close(s.waiting)
	s.waiting = nil
}
