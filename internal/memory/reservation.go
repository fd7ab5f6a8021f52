package memory

import "github.com/oleanderspool/oleanderspool"

// Purpose is the kind of work that a reservation is for.
type Purpose int

// The purposes of reservations.
const (
	// PurposeAttempt holds memory of an attempt that is dispatched to the
	// engine.
	PurposeAttempt Purpose = iota
	// PurposeExport holds memory of an attempt whose KV cache is being
	// exported.
	PurposeExport
	// PurposeImport holds memory for a KV cache that is being imported.
	PurposeImport
	// PurposeGroup holds memory for a prompt that is served by several engines.
	PurposeGroup
	// PurposeReclaim holds memory whose reservation is cancelled, until the
	// engine confirms that it is free.
	PurposeReclaim

	purposeCount
)

var purposeNames = [purposeCount]string{"attempt", "export", "import", "group", "reclaim"}

// String returns the name of the purpose in snake case.
func (p Purpose) String() string {
	if p < 0 || p >= purposeCount {
		return "unknown"
	}
	return purposeNames[p]
}

// Reservation is memory that is held under a name on the engine. Each
// reservation has a unique name, so that a delayed cancel of an old reservation
// never releases the memory of a newer one.
type Reservation struct {
	Name    string // name of the memory on the engine
	Purpose Purpose
	Tokens  int64
	Expiry  oleanderspool.Millis // time at which it expires; 0 means never
}

// Cancel is a request to the agent to release the memory of a cancelled
// reservation on the engine. The agent passes it to [Ledger.Confirm] once the
// engine has confirmed the cancel.
type Cancel struct {
	Name   string
	serial int64
}

// List is the engine's own list of the memory that it holds.
type List struct {
	Allocations []oleanderspool.MemoryAllocation
	// RequestedAt is the time at which the agent requested the list.
	RequestedAt oleanderspool.Millis
	// RunID identifies the run of the engine process that returned the list.
	RunID string
}
