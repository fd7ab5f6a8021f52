// Package attempt holds both ends of the transfer of an answer: the agent's
// [Table] of attempts with their pieces, and the entry's [Assembler], which
// assembles one answer from pieces.
//
// Both are state machines without I/O, goroutines or wall clock, and neither is
// safe for concurrent use.
package attempt

// State is what an agent knows about an attempt.
type State int

// The states of an attempt.
const (
	// StateForgotten says that the agent no longer knows whether the attempt
	// ran. It is the zero value because it guarantees the least.
	StateForgotten State = iota
	// StateNotStarted says that the attempt has not started but still may.
	StateNotStarted
	// StateBarred says that the attempt did not run and never will.
	StateBarred
	// StateRunning says that the attempt was accepted and has not ended; its work
	// may not have begun yet.
	StateRunning
	// StateFinished says that the complete answer is available.
	StateFinished
	// StateFailed says that the attempt ended without a complete answer.
	StateFailed
	// StateEvicted says that the attempt ran and its answer was evicted.
	StateEvicted
	// StateOtherIncarnation says that the agent has another incarnation than the
	// call names.
	StateOtherIncarnation
)

var stateNames = [...]string{
	StateForgotten:        "forgotten",
	StateNotStarted:       "unknown",
	StateBarred:           "barred",
	StateRunning:          "running",
	StateFinished:         "finished",
	StateFailed:           "failed",
	StateEvicted:          "evicted",
	StateOtherIncarnation: "other_incarnation",
}

// String returns the name used on the wire.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return stateNames[StateForgotten]
	}
	return stateNames[s]
}

// ParseState returns the state with the given wire name, or StateForgotten for
// an unknown name.
func ParseState(name string) State {
	for i, known := range stateNames {
		if known == name {
			return State(i)
		}
	}
	return StateForgotten
}
