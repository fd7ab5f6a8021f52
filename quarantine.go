package oleanderspool

import "context"

// QuarantinedPart is a part of prompts that crashes backend servers, so that requests
// with it are refused.
type QuarantinedPart struct {
	Fingerprint Fingerprint
	Age         Millis // time since the quarantine began
	Idle        Millis // time since the last request with the part
}

// QuarantineStore keeps the fingerprints of quarantined parts while no entry runs.
type QuarantineStore interface {
	// Load returns the fingerprints of the parts that are quarantined.
	Load(ctx context.Context) ([]Fingerprint, error)
	// Save records that a part is quarantined from now on, or no longer.
	Save(ctx context.Context, part Fingerprint, quarantined bool) error
}
