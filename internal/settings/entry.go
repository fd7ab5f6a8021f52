package settings

import (
	"fmt"
	"net/netip"

	"github.com/oleanderspool/oleanderspool"
)

const day = 24 * oleanderspool.Hour

// Entry holds the settings of an entry.
type Entry struct {
	Identity
	Listen       netip.AddrPort   // HTTP for callers
	PeerListen   netip.AddrPort   // drpc for other processes of the system
	AdminListen  netip.AddrPort   // HTTP for operators
	Platform     netip.AddrPort   // HTTP of the platform
	Peers        []netip.AddrPort // drpc of other entries, contacted when the platform is down
	Log          Log
	Limits       Limits
	KeyLifetime  oleanderspool.Millis // validity of idempotency keys
	LogRetention oleanderspool.Millis // how long the platform's log keeps records
	RetryBudget  RetryBudget
}

// Limits bounds the requests of callers and the agents that the entry watches.
type Limits struct {
	BodyBytes   int64                // largest body of a request
	HeaderBytes int64                // largest header of a request
	ReadTimeout oleanderspool.Millis // timeout for reading a request from a caller
	WatchLimit  int                  // most agents that the entry watches
}

// RetryBudget bounds retries, so that they do not overload a fleet that is
// already failing.
type RetryBudget struct {
	Fraction float64 // retries for each admitted request
	Reserve  int     // additional retries, independent of admitted requests
}

// ParseEntry parses the settings of an entry. It returns an error of type
// [oleanderspool.ErrInvalid] with all findings.
func ParseEntry(file string, data []byte) (Entry, error) {
	return parseAs[Entry](RoleEntry, file, data)
}

func readEntry(r *reader) Entry {
	e := Entry{
		Identity:    readIdentity(r),
		Listen:      r.listen("listen"),
		PeerListen:  r.listen("peer_listen"),
		AdminListen: r.listen("admin_listen"),
		Platform:    r.address("platform"),
		Peers:       r.addresses("peers"),
	}
	e.KeyLifetime = r.millis("key_lifetime_ms", 6*oleanderspool.Hour, oleanderspool.Minute, 15*day)
	e.LogRetention = r.millis("log_retention_ms", day, 2*oleanderspool.Minute, 30*day)
	e.Log = readLog(r)
	e.Limits = Limits{
		BodyBytes:   r.integer("limits.body_bytes", "bytes", 16<<20, 1<<10, 256<<20),
		HeaderBytes: r.integer("limits.header_bytes", "bytes", 32<<10, 1<<10, 1<<20),
		ReadTimeout: r.millis("limits.read_timeout_ms", 30*oleanderspool.Second, 100, 10*oleanderspool.Minute),
		WatchLimit:  int(r.integer("limits.watch_limit", "agents", 40, 1, 100_000)),
	}
	e.RetryBudget = RetryBudget{
		Fraction: r.number("retry_budget.fraction", "retries per admitted request", 0.1, 0, 1),
		Reserve:  int(r.integer("retry_budget.reserve_requests", "requests", 10, 0, 10_000)),
	}
	checkListeners(r, "listen", "peer_listen", "admin_listen")
	checkKeyLifetime(r, e)
	return e
}

// checkKeyLifetime reports a key lifetime of more than half of the log retention.
// The limit keeps a claim in the log for as long as its key is valid, even if the
// claim is read late.
func checkKeyLifetime(r *reader, e Entry) {
	if 2*e.KeyLifetime <= e.LogRetention {
		return
	}
	line := 0
	for _, name := range []string{"log_retention_ms", "key_lifetime_ms"} {
		if v, found := r.values[name]; found {
			line = v.line
		}
	}
	r.add(line, "key_lifetime_ms", fmt.Sprintf("%d is more than half of log_retention_ms, %d", e.KeyLifetime, e.LogRetention))
}
