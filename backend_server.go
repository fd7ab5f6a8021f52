package oleanderspool

import "slices"

// ServerRole is the kind of workload that a backend server runs.
type ServerRole int

// The roles of a backend server.
const (
	// RoleModel is a model runner with an engine.
	RoleModel ServerRole = iota
	// RoleService is an application runner with plain services.
	RoleService
)

// LengthClassBounds are the longest prompts, in tokens, of the length classes for
// which an agent reports the prefill work ahead of a new prompt. Longer prompts
// form one more class, which waits for all outstanding work.
var LengthClassBounds = [...]int64{4096, 32_000, 100_000}

// TokensAhead is the prefill work, in tokens, that runs before a new prompt of
// each class of [LengthClassBounds]. A value includes the work of the class
// itself, so the values increase with the class.
type TokensAhead [len(LengthClassBounds)]int64

// LengthClass returns the length class of a prompt: an index of
// [LengthClassBounds], or len(LengthClassBounds) for a prompt above all bounds.
func LengthClass(promptTokens int64) int {
	for i, bound := range LengthClassBounds {
		if promptTokens <= bound {
			return i
		}
	}
	return len(LengthClassBounds)
}

// Load is the load of a backend server as its agent reports it.
type Load struct {
	// TokensAhead is the part of QueuedTokens and RunningTokens that runs before
	// a new prompt, by length class.
	TokensAhead    TokensAhead
	QueuedTokens   int64   // queued prefill work, in tokens
	RunningTokens  int64   // prefill work that the engine accepted and has not finished, in tokens
	Queued         int     // requests in the queue
	Running        int     // requests in the engine
	FreeTokens     int64   // free engine memory that no queued request needs, in tokens
	CapacityTokens int64   // total engine memory, in tokens
	PrefillRate    float64 // observed prefill speed, in tokens per millisecond
}

// OutstandingTokens returns all queued and running prefill work, in tokens.
func (l Load) OutstandingTokens() int64 {
	return l.QueuedTokens + l.RunningTokens
}

// TokensAheadOf returns the prefill work, in tokens, that runs before a new
// prompt of the given length, and the work of longer prompts that runs after it.
func (l Load) TokensAheadOf(promptTokens int64) (ahead, behind int64) {
	class := LengthClass(promptTokens)
	if class == len(LengthClassBounds) {
		return l.OutstandingTokens(), 0
	}
	return l.TokensAhead[class], max(0, l.OutstandingTokens()-l.TokensAhead[class])
}

// BackendServer is an entry's view of a backend server, as the server's agent
// reports it. It is an immutable value.
type BackendServer struct {
	Instance    InstanceID
	DataCentre  DataCentreID
	Address     string // IP number and port of the agent
	Incarnation Incarnation
	Role        ServerRole
	Sets        []ServerSetID // not to be modified
	Models      []ModelID     // loaded models; not to be modified
	Routes      []RouteID     // routes of the plain services that the agent serves; not to be modified
	Leaving     bool
	Revision    Revision
	Load        Load
	ReportedAt  Millis // local instant at which the last report arrived
	ReportAge   Millis // upper bound of the time from the creation of the last report to its arrival
	AgentClock  Millis // reading of the agent's clock in the last report; part of attempt ids
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
