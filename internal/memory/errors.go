package memory

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("memory")

// The error types of this package.
var (
	// ErrNoMemory marks a reservation that does not fit into the memory that is
	// available now.
	ErrNoMemory = errorNamespace.NewType("no_memory")
	// ErrTooLarge marks a reservation that exceeds the engine's total memory.
	ErrTooLarge = errorNamespace.NewType("too_large")
	// ErrNameInUse marks a reservation under a name that is still held.
	ErrNameInUse = errorNamespace.NewType("name_in_use")
	// ErrUnknown marks an operation on a name that is not held, or whose memory
	// is being cancelled.
	ErrUnknown = errorNamespace.NewType("unknown")
	// ErrInvalid marks a reservation without tokens, without a name or for an
	// invalid purpose.
	ErrInvalid = errorNamespace.NewType("invalid")
	// ErrUnbalanced marks a ledger in which free and reserved memory do not add
	// up to the size.
	ErrUnbalanced = errorNamespace.NewType("unbalanced")
)
