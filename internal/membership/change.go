package membership

import "github.com/oleanderspool/oleanderspool"

// ChangeKind tells what happened to an agent.
type ChangeKind int

// The kinds of change.
const (
	// Appeared says that the instance is new in the list.
	Appeared ChangeKind = iota
	// Gone says that the instance left the list. An incarnation that was known
	// has ended.
	Gone
	// Started says that an incarnation reported for the first time.
	Started
	// Ended says that an incarnation was replaced and runs nothing any more.
	Ended
	// Leaving says that the agent or the list announced that it leaves.
	Leaving
	// Suspected says that the agent was silent for longer than its bound.
	Suspected
	// Recovered says that a suspected incarnation reported again.
	Recovered
)

var changeNames = [...]string{
	Appeared: "appeared", Gone: "gone", Started: "started", Ended: "ended",
	Leaving: "leaving", Suspected: "suspected", Recovered: "recovered",
}

// String returns the name used in logs.
func (k ChangeKind) String() string {
	if k < 0 || int(k) >= len(changeNames) {
		return "unknown"
	}
	return changeNames[k]
}

// Change is one change of an agent's state.
type Change struct {
	Kind        ChangeKind
	Instance    oleanderspool.InstanceID
	Incarnation oleanderspool.Incarnation // empty when none was known
}
