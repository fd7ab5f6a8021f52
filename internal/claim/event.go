package claim

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
)

// Event is an input of a [Resolver].
type Event interface {
	event()
}

// Arrived is the first event: the request was admitted.
type Arrived struct {
	LogOutage bool // the log is known to be unavailable
}

// ServerChosen answers [ChooseServer]: the attempt is to run on the agent
// incarnation. Each choice needs a new attempt ID.
type ServerChosen struct {
	Attempt     oleanderspool.AttemptID
	Instance    oleanderspool.InstanceID
	Incarnation oleanderspool.Incarnation
}

// NoServerChosen answers [ChooseServer]: no backend server can take the request.
// The resolver replaces the refusal's execution by what it knows.
type NoServerChosen struct {
	Refusal *oleanderspool.Refusal
}

// Appended says that the claim is in the log at an offset.
type Appended struct {
	Offset oleanderspool.Offset
}

// AppendUncertain says that the claim may be in the log or may still reach it.
type AppendUncertain struct{}

// AppendFailed says that the claim is not in the log and never will be,
// because the log is unavailable.
type AppendFailed struct{}

// LogRead says that the resolver's state has applied more of the stream or has
// reached its end.
type LogRead struct{}

// Replied is an agent's answer to a run, an attach or a bar of an attempt.
type Replied struct {
	Attempt oleanderspool.AttemptID
	State   attempt.State
	Refusal *oleanderspool.Refusal // set for attempt.StateFailed
}

// Unreachable says that the agent of the attempt does not respond.
type Unreachable struct {
	Attempt oleanderspool.AttemptID
}

// StreamTimedOut says that the stream of an attempt delivered no event within
// its timeout and that a new connection can be used.
type StreamTimedOut struct {
	Attempt oleanderspool.AttemptID
}

// NotSent says that the attempt was certainly not received by its agent.
type NotSent struct {
	Attempt oleanderspool.AttemptID
}

// IncarnationChanged says that an instance now has the given incarnation.
type IncarnationChanged struct {
	Instance    oleanderspool.InstanceID
	Incarnation oleanderspool.Incarnation
}

// InstanceRemoved says that an instance was removed from the platform's list.
type InstanceRemoved struct {
	Instance oleanderspool.InstanceID
}

// LogOutage says that the log became unavailable or available again.
type LogOutage struct {
	Active bool
}

// DeadlinePassed says that the deadline has passed. Any event at or after the
// deadline has the same effect.
type DeadlinePassed struct{}

func (Arrived) event()            {}
func (ServerChosen) event()       {}
func (NoServerChosen) event()     {}
func (Appended) event()           {}
func (AppendUncertain) event()    {}
func (AppendFailed) event()       {}
func (LogRead) event()            {}
func (Replied) event()            {}
func (Unreachable) event()        {}
func (StreamTimedOut) event()     {}
func (NotSent) event()            {}
func (IncarnationChanged) event() {}
func (InstanceRemoved) event()    {}
func (LogOutage) event()          {}
func (DeadlinePassed) event()     {}
