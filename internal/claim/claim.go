// Package claim decides which attempt may run a request that must run at most
// once. Claims are appended to the platform's log in batches. The order in the
// log alone decides which claim of a key wins.
//
// [State] replays the claim stream, [Resolver] takes one keyed request from its
// arrival to the attempt that serves it or to a refusal, and [Batcher] collects
// claims into few appends. All of them are state machines without I/O,
// goroutines or wall clock, and none is safe for concurrent use.
package claim

import (
	"unicode/utf8"

	"github.com/oleanderspool/oleanderspool"
)

// Key identifies what must run at most once: an idempotency key within a
// client account.
type Key struct {
	Account oleanderspool.ClientAccountID
	Key     oleanderspool.IdempotencyKey
}

// Claim asks for the right to run a key as one attempt on one agent
// incarnation. Only the process that created the claim ever sends the attempt.
type Claim struct {
	Key         Key
	Fingerprint oleanderspool.Fingerprint // of the request; reveals a key that is reused for another one
	Request     oleanderspool.RequestID   // request ID in the attempt's pieces
	Attempt     oleanderspool.AttemptID
	Instance    oleanderspool.InstanceID
	Incarnation oleanderspool.Incarnation
	Supersedes  oleanderspool.AttemptID // current attempt that the claim replaces; empty for none
	// BasedOn is the position of the [State] from which the claim was made. A
	// reader that has missed a record after this position cannot decide whether
	// the claim is valid.
	BasedOn oleanderspool.Offset
}

// Record is a record of the claim stream: a batch of claims in order.
type Record struct {
	// ExpiredBefore says that every claim at a lower offset is older than the
	// key lifetime. It is part of the log so that all readers drop a claim at
	// the same position of the stream: readers that expire claims by their own
	// clocks can disagree on the current claim of a key and let it run twice.
	ExpiredBefore oleanderspool.Offset
	Claims        []Claim
}

// Validate returns nil for a claim that can be appended, otherwise an error of
// type [oleanderspool.ErrInvalid] that lists its faults.
func (c Claim) Validate() error {
	var findings oleanderspool.Findings
	c.validate(&findings, "claim")
	return findings.Err()
}

// validate adds a finding for each fault of c.
func (c Claim) validate(findings *oleanderspool.Findings, place string) {
	required := []struct {
		name, value string
	}{
		{"account", string(c.Key.Account)},
		{"key", string(c.Key.Key)},
		{"request", string(c.Request)},
		{"attempt", string(c.Attempt)},
		{"instance", string(c.Instance)},
		{"incarnation", string(c.Incarnation)},
	}
	for _, r := range required {
		if r.value == "" {
			findings.Addf(place+"."+r.name, "is empty")
		}
		if !utf8.ValidString(r.value) {
			// JSON encoding replaces invalid bytes, which would make different keys equal.
			findings.Addf(place+"."+r.name, "is not UTF-8")
		}
	}
	if c.BasedOn < 0 {
		findings.Addf(place+".based_on", "is negative")
	}
	if c.Supersedes != "" && c.Supersedes == c.Attempt {
		findings.Addf(place+".supersedes", "names the claim's own attempt")
	}
	if c.textLength() > maxClaimText {
		findings.Addf(place, "has %d bytes of text, more than %d", c.textLength(), maxClaimText)
	}
}

// textLength returns the length of the strings that the replayed state keeps
// for the claim, in bytes.
func (c Claim) textLength() int {
	return len(c.Key.Account) + len(c.Key.Key) + len(c.Attempt) + len(c.Request)
}

// maxClaimText bounds the total length of the strings of one claim, in bytes.
// The replayed state stores their lengths in 16 bits.
const maxClaimText = 1 << 14
