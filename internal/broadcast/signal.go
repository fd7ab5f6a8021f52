// Package broadcast notifies goroutines of a change of state.
package broadcast

// Wake wakes the reader of c, a channel with a buffer of one, without blocking.
// It drops the signal if one is already buffered, since that one wakes the
// reader too.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Signal notifies all waiters of a change at once. The zero value is ready for
// use. It is not safe for concurrent use: the lock of the state whose changes it
// signals must be held.
type Signal struct {
	channel chan struct{} // nil until someone waits
}

// Channel returns a channel that is closed by the next call of Notify. To miss
// no change, obtain the channel before reading the state.
func (s *Signal) Channel() <-chan struct{} {
	if s.channel == nil {
		s.channel = make(chan struct{})
	}
	return s.channel
}

// Notify wakes all waiters by closing their channel.
func (s *Signal) Notify() {
	if s.channel == nil {
		return
	}
	close(s.channel)
	s.channel = nil
}
