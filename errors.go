package oleanderspool

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("oleanderspool")

// The error types that callers of the interfaces tell apart.
var (
	// ErrUncertain marks an action whose effect is unknown.
	ErrUncertain = errorNamespace.NewType("uncertain")
	// ErrTooLarge marks an uncertain call whose response exceeds its limit.
	ErrTooLarge = ErrUncertain.NewSubtype("too_large")
	// ErrUnavailable marks an action that had no effect because the peer could
	// not be reached or refused it for now.
	ErrUnavailable = errorNamespace.NewType("unavailable")
	// ErrNotSent marks a call that the peer did not receive.
	ErrNotSent = errorNamespace.NewType("not_sent")
	// ErrFenced marks an order with a fencing number that is too low.
	ErrFenced = errorNamespace.NewType("fenced")
	// ErrInvalid marks bad input.
	ErrInvalid = errorNamespace.NewType("invalid")
)
