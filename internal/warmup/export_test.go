package warmup

// Len returns the number of servers with remembered sends.
func (l *Limiter) Len() int {
	return len(l.sends)
}
