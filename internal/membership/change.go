package membership

import "github.com/oleanderspool/oleanderspool"

// ChangeKind is the kind of a [Change].
type ChangeKind int

// The kinds of change.
const (
	// Appeared means that the instance is new in the list.
	Appeared ChangeKind = iota
	// Removed means that the instance was removed from the list. Its last known
	// incarnation has ended.
	Removed
	// Started means that an incarnation reported for the first time.
	Started
	// Ended means that an incarnation was replaced and executes nothing any more.
	Ended
	// Leaving means that the agent or the list announced that the agent leaves.
	Leaving
	// Suspected means that no report of the agent arrived within the timeout.
	Suspected
	// Recovered means that a suspected incarnation reported again.
	Recovered
)

var changeNames = [...]string{
	Appeared: "appeared", Removed: "gone", Started: "started", Ended: "ended",
	Leaving: "leaving", Suspected: "suspected", Recovered: "recovered",
}

// String returns the name that is used in logs.
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
