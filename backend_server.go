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

// Load is an agent's account of its backend server.
type Load struct {
	QueuedTokens  int64   // prefill work waiting, in tokens
	RunningTokens int64   // prefill work accepted by the engine and not done, in tokens
	Queued        int     // requests waiting
	Running       int     // requests in the engine
	FreeTokens    int64   // free engine memory, in tokens
	SizeTokens    int64   // engine memory, in tokens
	PrefillRate   float64 // observed prefill speed, in tokens per millisecond
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
	ReportedAt  Millis // local instant of the last report
	Instant     Millis // the agent's own clock in the last report; part of attempt ids
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
