package memory

import "github.com/oleanderspool/oleanderspool"

// Defaults of the ledger's options, in milliseconds.
const (
	// DefaultListLag bounds by how much the content of the engine's list may be
	// older than the request for it.
	DefaultListLag = 2 * oleanderspool.Second
	// DefaultMissingTimeout is how long a reservation may be absent from the
	// engine's list. It covers a reservation that the engine has received but
	// not yet carried out.
	DefaultMissingTimeout = 10 * oleanderspool.Second
	// DefaultCancelInterval is the time between two cancels of the same memory.
	DefaultCancelInterval = oleanderspool.Second
	// DefaultHoldBackTimeout is how long freed memory is held back for a
	// waiting group that does not try again. It must exceed twice the groups'
	// retry delay (the delay plus its jitter), or a group that is still active
	// loses the memory that it waits for.
	DefaultHoldBackTimeout = 3 * oleanderspool.Second
)

// Option configures a [Ledger].
type Option func(*Ledger)

// WithListLag bounds by how much the content of the engine's list may be older
// than the request for it.
func WithListLag(lag oleanderspool.Millis) Option {
	return func(l *Ledger) { l.listLag = lag }
}

// WithMissingTimeout sets how long a reservation may be absent from the
// engine's list.
func WithMissingTimeout(timeout oleanderspool.Millis) Option {
	return func(l *Ledger) { l.missingTimeout = timeout }
}

// WithCancelInterval sets the time between two cancels of the same memory.
func WithCancelInterval(interval oleanderspool.Millis) Option {
	return func(l *Ledger) { l.cancelInterval = interval }
}

// WithHoldBackTimeout sets how long freed memory is held back for a waiting
// group that does not try again.
func WithHoldBackTimeout(timeout oleanderspool.Millis) Option {
	return func(l *Ledger) { l.groups.holdBackTimeout = timeout }
}
