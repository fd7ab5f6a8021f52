package settings

import (
	"net/netip"

	"github.com/oleanderspool/oleanderspool"
)

// Platform holds the settings of the stand-in for the platform.
type Platform struct {
	Listen        netip.AddrPort
	Log           Log
	Retention     oleanderspool.Millis // how long the log keeps records
	AppendsPerSec float64              // largest rate of appends to the log
	ListLag       oleanderspool.Millis // delay until a change shows in the instance list
	LoadsPerSec   float64              // largest rate of loads from the weight store
}

// Engine holds the settings of the stand-in for an engine.
type Engine struct {
	Listen                netip.AddrPort
	Log                   Log
	MemoryTokens          int64                // memory, in tokens
	PrefillTokensPerMilli float64              // prefill speed, in tokens per millisecond
	StepDuration          oleanderspool.Millis // duration of one generation step
	BatchSize             int                  // most requests in one generation step
	LoadDuration          oleanderspool.Millis // duration of an engine order, such as loading a model
	ReportLag             oleanderspool.Millis // age of a load report
	Fencing               bool                 // whether orders with a stale fencing number are rejected
}

// Service holds the settings of the stand-in for a plain service.
type Service struct {
	Listen  netip.AddrPort
	Log     Log
	Latency oleanderspool.Millis // duration of a call
}

// ParsePlatform parses the settings of the stand-in for the platform. It
// returns an error of type [oleanderspool.ErrInvalid] with all findings.
func ParsePlatform(file string, data []byte) (Platform, error) {
	return parseAs[Platform](RolePlatform, file, data)
}

// ParseEngine parses the settings of the stand-in for an engine. It returns an
// error of type [oleanderspool.ErrInvalid] with all findings.
func ParseEngine(file string, data []byte) (Engine, error) {
	return parseAs[Engine](RoleEngine, file, data)
}

// ParseService parses the settings of the stand-in for a plain service. It
// returns an error of type [oleanderspool.ErrInvalid] with all findings.
func ParseService(file string, data []byte) (Service, error) {
	return parseAs[Service](RoleService, file, data)
}

func readPlatform(r *reader) Platform {
	return Platform{
		Listen:        r.listen("listen"),
		Retention:     r.millis("retention_ms", day, oleanderspool.Second, 30*day),
		AppendsPerSec: r.number("appends_per_sec", "appends per second", 500, 1, 10_000),
		ListLag:       r.millis("list_lag_ms", 2*oleanderspool.Second, 0, 5*oleanderspool.Minute),
		LoadsPerSec:   r.number("loads_per_sec", "loads per second", 1, 0.001, 1000),
		Log:           readLog(r),
	}
}

func readEngine(r *reader) Engine {
	return Engine{
		Listen:                r.listen("listen"),
		MemoryTokens:          r.integer("memory_tokens", "tokens", 400_000, 1000, 1_000_000_000),
		PrefillTokensPerMilli: r.number("prefill_per_milli", "tokens per millisecond", 10, 0.001, 100_000),
		StepDuration:          r.millis("step_ms", 30, 1, 10*oleanderspool.Second),
		BatchSize:             int(r.integer("batch_requests", "requests", 32, 1, 10_000)),
		LoadDuration:          r.millis("load_ms", 2*oleanderspool.Second, 0, 10*oleanderspool.Minute),
		ReportLag:             r.millis("report_lag_ms", 200, 0, oleanderspool.Minute),
		Fencing:               r.choice("fencing", "reject", "reject", "ignore") == "reject",
		Log:                   readLog(r),
	}
}

func readService(r *reader) Service {
	return Service{
		Listen:  r.listen("listen"),
		Latency: r.millis("latency_ms", 5, 0, oleanderspool.Minute),
		Log:     readLog(r),
	}
}
