package oleanderspool

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("oleanderspool")

// The error types that callers of the interfaces distinguish.
var (
	// ErrUncertain marks an action whose outcome is unknown.
	ErrUncertain = errorNamespace.NewType("uncertain")
	// ErrTooLarge marks a call of unknown outcome whose response exceeds the
	// size limit.
	ErrTooLarge = ErrUncertain.NewSubtype("too_large")
	// ErrUnavailable marks an action that had no effect because the peer could
	// not be reached or refused the action temporarily.
	ErrUnavailable = errorNamespace.NewType("unavailable")
	// ErrTimeout marks a call that got no answer in time. Its connection may have gone
	// silent while the peer is reachable.
	ErrTimeout = ErrUnavailable.NewSubtype("timeout")
	// ErrNotSent marks a call that the peer did not receive.
	ErrNotSent = errorNamespace.NewType("not_sent")
	// ErrFenced marks an order that was refused because its fencing token is too
	// low.
	ErrFenced = errorNamespace.NewType("fenced")
	// ErrInvalid marks invalid input.
	ErrInvalid = errorNamespace.NewType("invalid")
)
