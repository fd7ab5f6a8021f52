package memory

import "github.com/oleanderspool/oleanderspool"

// Owner tells what a reservation is for.
type Owner int

// The owners of memory.
const (
	// OwnerAttempt holds memory of an attempt that is handed to the engine.
	OwnerAttempt Owner = iota
	// OwnerExport holds memory of an attempt whose KV cache is being exported.
	OwnerExport
	// OwnerImport holds memory for a KV cache that is being imported.
	OwnerImport
	// OwnerGroup holds memory for a prompt that is served by several engines.
	OwnerGroup
	// OwnerReclaim holds memory that is being cancelled, until the engine
	// confirms that it is free.
	OwnerReclaim

	ownerCount
)

var ownerNames = [ownerCount]string{"attempt", "export", "import", "group", "reclaim"}

// String returns the name of the owner in snake case.
func (o Owner) String() string {
	if o < 0 || o >= ownerCount {
		return "unknown"
	}
	return ownerNames[o]
}

// Reservation is memory that is held under a name on the engine. Names are
// unique for each reservation, so that a delayed cancel of an old reservation
// never ends a newer one.
type Reservation struct {
	Name   string // name of the memory on the engine
	Owner  Owner
	Tokens int64
	Expiry oleanderspool.Millis // instant at which it lapses; 0 means never
}

// Cancel asks the agent to cancel memory on the engine. It is passed to
// [Ledger.Confirm] once the engine has confirmed.
type Cancel struct {
	Name   string
	serial int64
}

// List is the engine's own list of the memory that it holds.
type List struct {
	Entries []oleanderspool.EngineEntry
	// RequestedAt is the instant at which the agent asked for the list.
	RequestedAt oleanderspool.Millis
	// RunID identifies the run of the engine process that gave the list.
	RunID string
}
