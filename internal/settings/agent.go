package settings

import (
	"net/netip"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/handover"
)

// Agent holds the settings of an agent.
type Agent struct {
	Identity
	Role              oleanderspool.ServerRole
	PeerListen        netip.AddrPort          // drpc for entries
	AdminListen       netip.AddrPort          // HTTP for operators
	Platform          netip.AddrPort          // HTTP of the platform
	Entries           []netip.AddrPort        // drpc of entries to contact before the platform's list is known
	Engine            netip.AddrPort          // HTTP of the engine; invalid for role service
	Service           netip.AddrPort          // HTTP of the plain service; invalid for role model
	Routes            []oleanderspool.RouteID // routes that the plain service serves; empty for role model
	Log               Log
	Queue             Queue
	HeartbeatInterval oleanderspool.Millis // interval between heartbeats on a stream
	ReaderTimeout     oleanderspool.Millis // time that an attempt is kept without a reader
	KeyLifetime       oleanderspool.Millis // time that an attempt with an idempotency key is kept after its end
	MaxTransferBytes  int64                // largest KV cache that is transferred, in bytes; 0 disables transfers
}

// Queue bounds the agent's queue.
type Queue struct {
	Requests int   // most requests that wait
	Tokens   int64 // most prompt work that waits, in tokens
	// ShortRequestWeight is the weight of the slowdown of short requests
	// relative to the time to first token of requests of all lengths, from 0
	// to 1.
	ShortRequestWeight float64
	// LongPromptShare is the share of the prefill capacity for long prompts
	// that are due while short ones wait; 0 leaves it to ShortRequestWeight.
	LongPromptShare float64
}

// ParseAgent parses the settings of an agent. It returns an error of type
// [oleanderspool.ErrInvalid] with all findings.
func ParseAgent(file string, data []byte) (Agent, error) {
	return parseAs[Agent](RoleAgent, file, data)
}

// Values of the key "role" of an agent.
const (
	agentRoleModel   = "model"
	agentRoleService = "service"
)

func readAgent(r *reader) Agent {
	a := Agent{Identity: readIdentity(r)}
	role := r.choice("role", "", agentRoleModel, agentRoleService)
	a.PeerListen = r.listen("peer_listen")
	a.AdminListen = r.listen("admin_listen")
	a.Platform = r.address("platform")
	a.Entries = r.addresses("entries")
	readAgentTarget(r, role, &a)
	a.HeartbeatInterval = r.millis("heartbeat_ms", oleanderspool.Second, 100, attempt.StreamTimeout/3)
	a.ReaderTimeout = r.millis("reattach_ms", 10*oleanderspool.Second, attempt.MinReaderTimeout, 5*oleanderspool.Minute)
	a.KeyLifetime = r.millis("key_lifetime_ms", attempt.DefaultLimits.KeyLifetime, oleanderspool.Minute, 15*day)
	a.MaxTransferBytes = r.integer("transfer_bytes", "bytes", handover.DefaultLimits.MaxBytes, 0, handover.DefaultLimits.MaxBytes)
	a.Log = readLog(r)
	a.Queue = Queue{
		Requests: int(r.integer("queue.requests", "requests", 1000, 1, 1_000_000)),
		Tokens:   r.integer("queue.work_tokens", "tokens", 4_000_000, 1000, 1_000_000_000),

		ShortRequestWeight: r.number("queue.short_request_weight", "", 0.5, 0, 1),
		LongPromptShare:    r.optionalNumber("queue.long_share", "by queue.short_request_weight", 0.01, 1),
	}
	checkListeners(r, "peer_listen", "admin_listen")
	return a
}

// readAgentTarget reads the keys of the backend server, which depend on the role.
func readAgentTarget(r *reader, role string, a *Agent) {
	needed := map[string]bool{
		"engine":  role == agentRoleModel,
		"service": role == agentRoleService,
		"routes":  role == agentRoleService,
	}
	a.Engine = r.addressIf("engine", agentRoleModel, needed["engine"])
	a.Service = r.addressIf("service", agentRoleService, needed["service"])
	if role == agentRoleService {
		a.Role = oleanderspool.RoleService
	}
	for _, id := range r.idsIf("routes", agentRoleService, needed["routes"]) {
		a.Routes = append(a.Routes, oleanderspool.RouteID(id))
	}
	if role == "" {
		return
	}
	for _, name := range []string{"engine", "service", "routes"} {
		if v, given := r.values[name]; given && !needed[name] {
			r.add(v.line, name, "is not used by role "+role)
		}
	}
}

// addressIf reads an address that only one role of an agent uses, and requires
// if needed is set.
func (r *reader) addressIf(name, role string, needed bool) netip.AddrPort {
	key := Key{Name: name, Type: "string", Default: "only for role " + role, Range: addressRange}
	if needed {
		key.Default = ""
	}
	return r.readAddress(key)
}

// idsIf reads a list of ids that only one role of an agent uses, and requires if
// needed is set.
func (r *reader) idsIf(name, role string, needed bool) []string {
	ids := r.ids(name, needed)
	if !needed {
		r.keys[len(r.keys)-1].Default = "only for role " + role
	}
	return ids
}
