package revision

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool"
)

// Verdict is the outcome of a record.
type Verdict int

// The verdicts.
const (
	// Ignored marks a record at or before the position of the state.
	Ignored Verdict = iota
	// Accepted marks a change that is part of the configuration.
	Accepted
	// Rejected marks a record that did not change the configuration.
	Rejected
)

var verdictNames = [...]string{Ignored: "ignored", Accepted: "accepted", Rejected: "rejected"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Decision is the outcome of a record. It is the same for every reader.
type Decision struct {
	Change  string // ID of the change set; empty for a malformed record
	Digest  uint64 // hash of the record; distinguishes different changes with the same ID
	Verdict Verdict
	// Offset is the offset of the first record of the change, which determines
	// the verdict. For an accepted change it is the revision that the change
	// created.
	Offset    oleanderspool.Offset
	Duplicate bool                    // the ID of the change was already used by an earlier record
	Findings  []oleanderspool.Finding // why the record was rejected; not kept by the state
}

// withoutFindings returns the decision as the state keeps it. Findings are
// dropped so that rejected input does not occupy memory.
func (d Decision) withoutFindings() Decision {
	d.Findings = nil
	d.Duplicate = false
	return d
}

// forDuplicate returns the decision about a later record with the same change ID.
func (d Decision) forDuplicate(digest uint64) Decision {
	if digest != d.Digest {
		return Decision{
			Change: d.Change, Digest: digest, Verdict: Rejected, Offset: d.Offset, Duplicate: true,
			Findings: []oleanderspool.Finding{{
				Key: "id", Message: fmt.Sprintf("the id was used at offset %d for another change", d.Offset),
			}},
		}
	}
	d.Duplicate = true
	if d.Verdict == Rejected {
		d.Findings = []oleanderspool.Finding{{
			Key: "id", Message: fmt.Sprintf("the change was rejected at offset %d", d.Offset),
		}}
	}
	return d
}

// decisions holds recent decisions by change ID. Which ones it holds depends
// only on the position, so that all readers hold the same.
type decisions struct {
	byChange map[string]Decision
	byOffset []Decision // in ascending order of offset
}

func (d *decisions) add(decision Decision) {
	if d.byChange == nil {
		d.byChange = map[string]Decision{}
	}
	d.byChange[decision.Change] = decision
	d.byOffset = append(d.byOffset, decision)
}

// removeBefore removes the decisions about records before the given offset.
func (d *decisions) removeBefore(before oleanderspool.Offset) {
	n := 0
	for n < len(d.byOffset) && d.byOffset[n].Offset < before {
		delete(d.byChange, d.byOffset[n].Change)
		n++
	}
	clear(d.byOffset[:n])
	d.byOffset = d.byOffset[n:]
}
