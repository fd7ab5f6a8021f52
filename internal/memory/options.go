package memory

import "github.com/oleanderspool/oleanderspool"

// Defaults of the ledger's options, in milliseconds.
const (
	// DefaultListLag bounds how old the engine's list may be when it arrives.
	DefaultListLag = 2 * oleanderspool.Second
	// DefaultMissingTimeout is how long an owner may be absent from the engine's
	// list. It covers a reservation that the engine has received but not yet
	// carried out.
	DefaultMissingTimeout = 10 * oleanderspool.Second
	// DefaultCancelInterval is the span between two cancels of the same memory.
	DefaultCancelInterval = oleanderspool.Second
	// DefaultWaitExpiry is how long freed memory is kept for a waiting group
	// that does not try again. It must exceed the groups' retry span, or a
	// living group loses the memory that it waits for.
	DefaultWaitExpiry = 3 * oleanderspool.Second
)

// Option configures a [Ledger].
type Option func(*Ledger)

// WithListLag sets the bound of the age of the engine's list.
func WithListLag(span oleanderspool.Millis) Option {
	return func(l *Ledger) { l.listLag = span }
}

// WithMissingTimeout sets how long an owner may be absent from the engine's list.
func WithMissingTimeout(span oleanderspool.Millis) Option {
	return func(l *Ledger) { l.missingBound = span }
}

// WithCancelInterval sets the span between two cancels of the same memory.
func WithCancelInterval(span oleanderspool.Millis) Option {
	return func(l *Ledger) { l.cancelInterval = span }
}

// WithWaitExpiry sets how long freed memory is kept for a silent waiting group.
func WithWaitExpiry(span oleanderspool.Millis) Option {
	return func(l *Ledger) { l.waiting.expiry = span }
}
