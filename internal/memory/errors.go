package memory

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("memory")

// The errors of a reservation.
var (
	// ErrNoMemory marks a reservation that does not fit at present.
	ErrNoMemory = errorNamespace.NewType("no_memory")
	// ErrTooLarge marks a reservation that exceeds the engine's memory.
	ErrTooLarge = errorNamespace.NewType("too_large")
	// ErrNameInUse marks a reservation under a name that is still held.
	ErrNameInUse = errorNamespace.NewType("name_in_use")
	// ErrUnknown marks an action on a name that is not held, or whose memory
	// is being cancelled.
	ErrUnknown = errorNamespace.NewType("unknown")
	// ErrInvalid marks a reservation of no tokens or without a name.
	ErrInvalid = errorNamespace.NewType("invalid")
	// ErrUnbalanced marks an account in which free and owned memory do not add
	// up to the size.
	ErrUnbalanced = errorNamespace.NewType("unbalanced")
)
