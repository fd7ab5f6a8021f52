// Package attempt keeps the two ends of an answer: the agent's [Table] of
// attempts with their pieces, and the entry's [Assembler], which puts one
// answer together.
//
// Both are state machines without I/O, goroutines or wall clock, and neither is
// safe for concurrent use.
package attempt

// State is what an agent knows of an attempt.
type State int

// The states of an attempt.
const (
	// StateForgotten says that the attempt may have run; the agent no longer
	// knows. It is the zero value because it promises least.
	StateForgotten State = iota
	// StateUnknown says that the attempt has not started and still could.
	StateUnknown
	// StateBarred says that the attempt did not run and never will.
	StateBarred
	// StateRunning says that the attempt was accepted, begun or not, and has not
	// ended.
	StateRunning
	// StateFinished says that the whole answer is available.
	StateFinished
	// StateFailed says that the attempt ended without a whole answer.
	StateFailed
	// StateEvicted says that the attempt ran and its answer is gone.
	StateEvicted
	// StateOtherIncarnation says that another run of the agent was asked.
	StateOtherIncarnation
)

var stateNames = [...]string{
	StateForgotten:        "forgotten",
	StateUnknown:          "unknown",
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

// ParseState returns the state with the given wire name. An unknown name is
// StateForgotten.
func ParseState(name string) State {
	for i, known := range stateNames {
		if known == name {
			return State(i)
		}
	}
	return StateForgotten
}
