package oleanderspool

import "slices"

// ServerRole tells what a backend server runs.
type ServerRole int

// The roles of a backend server.
const (
	// RoleModel is a model runner with an engine.
	RoleModel ServerRole = iota
	// RoleService is an application runner with plain services.
	RoleService
)

// LengthClassBounds are the longest prompts, in tokens, of the classes of lengths
// by which an agent reports the work ahead of a prompt. Longer prompts form one
// more class, which waits for all work.
var LengthClassBounds = [...]int64{4096, 32_000, 100_000}

// TokensAhead is prefill work in tokens that goes before a new prompt of each
// class of [LengthClassBounds]. It includes the work of the class itself, so the
// values rise.
type TokensAhead [len(LengthClassBounds)]int64

// LengthClass returns the class of lengths of a prompt: an index of
// [LengthClassBounds], or its length for a prompt above all bounds.
func LengthClass(promptTokens int64) int {
	for i, bound := range LengthClassBounds {
		if promptTokens <= bound {
			return i
		}
	}
	return len(LengthClassBounds)
}

// Load is an agent's account of its backend server.
type Load struct {
	// TokensAhead is the part of QueuedTokens and RunningTokens that goes before a
	// new prompt, by class of lengths.
	TokensAhead    TokensAhead
	QueuedTokens   int64   // prefill work waiting, in tokens
	RunningTokens  int64   // prefill work accepted by the engine and not done, in tokens
	Queued         int     // requests waiting
	Running        int     // requests in the engine
	FreeTokens     int64   // free engine memory that no waiting request needs, in tokens
	CapacityTokens int64   // engine memory, in tokens
	PrefillRate    float64 // observed prefill speed, in tokens per millisecond
}

// OutstandingTokens returns all prefill work that waits or runs, in tokens.
func (l Load) OutstandingTokens() int64 {
	return l.QueuedTokens + l.RunningTokens
}

// TokensAheadOf returns the prefill work, in tokens, that goes before a new prompt of
// the given length, and the longer work that waits for the prompt.
func (l Load) TokensAheadOf(promptTokens int64) (ahead, longer int64) {
	class := LengthClass(promptTokens)
	if class == len(LengthClassBounds) {
		return l.OutstandingTokens(), 0
	}
	return l.TokensAhead[class], max(0, l.OutstandingTokens()-l.TokensAhead[class])
}

// BackendServer is what an entry knows of a backend server, from the agent
// beside it. It is an immutable value.
type BackendServer struct {
	Instance    InstanceID
	DataCentre  DataCentreID
	Address     string // IP number and port of the agent
	Incarnation Incarnation
	Role        ServerRole
	Sets        []ServerSetID // not to be modified
	Models      []ModelID     // loaded models; not to be modified
	Routes      []RouteID     // plain services beside the agent; not to be modified
	Leaving     bool
	Revision    Revision
	Load        Load
	ReportedAt  Millis // local instant at which the last report arrived
	ReportAge   Millis // upper bound of the span from the taking of the last report to its arrival
	AgentClock  Millis // the agent's own clock in the last report; part of attempt ids
}

// Serves reports whether the backend server can run r.
func (b BackendServer) Serves(r Request) bool {
	if r.Kind == KindService {
		return b.Role == RoleService && slices.Contains(b.Routes, r.Route)
	}
	return b.Role == RoleModel && slices.Contains(b.Models, r.Model)
}

// WithLoad returns a copy with the given load, reported at the given instant.
func (b BackendServer) WithLoad(load Load, at Millis) BackendServer {
	b.Load = load
	b.ReportedAt = at
	return b
}

// WithLeaving returns a copy that is marked as leaving.
func (b BackendServer) WithLeaving() BackendServer {
	b.Leaving = true
	return b
}
