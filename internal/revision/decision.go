package revision

import (
	"fmt"

	"github.com/oleanderspool/oleanderspool"
)

// Verdict says what became of a record.
type Verdict int

// The verdicts.
const (
	// Ignored marks a record at or before the position of the state.
	Ignored Verdict = iota
	// Accepted marks a change that is in force.
	Accepted
	// Rejected marks a record that changed nothing.
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

// Decision is what every reader decides about a record.
type Decision struct {
	Change  string // id of the change set; empty for a malformed record
	Digest  uint64 // hash of the record, tells changes with the same id apart
	Verdict Verdict
	// Offset is the offset of the first record of the change, which determines
	// its verdict. For an accepted change it is the revision at which the
	// change came into force.
	Offset   oleanderspool.Offset
	Repeated bool                    // the record repeats an earlier one
	Findings []oleanderspool.Finding // why the record was rejected; kept only by the caller
}

// remembered returns the decision as the state keeps it: without findings, so
// that rejected input holds no memory.
func (d Decision) remembered() Decision {
	d.Findings = nil
	d.Repeated = false
	return d
}

// repeat returns the decision about a later record with the same id.
func (d Decision) repeat(digest uint64) Decision {
	if digest != d.Digest {
		return Decision{
			Change: d.Change, Digest: digest, Verdict: Rejected, Offset: d.Offset, Repeated: true,
			Findings: []oleanderspool.Finding{{
				Key: "id", Message: fmt.Sprintf("the id was used at offset %d for another change", d.Offset),
			}},
		}
	}
	d.Repeated = true
	if d.Verdict == Rejected {
		d.Findings = []oleanderspool.Finding{{
			Key: "id", Message: fmt.Sprintf("the change was rejected at offset %d", d.Offset),
		}}
	}
	return d
}

// decisions remembers recent decisions by change id. What is remembered
// depends only on the position, so that all readers remember the same.
type decisions struct {
	byChange map[string]Decision
	inOrder  []Decision // in ascending order of offset
}

func (d *decisions) add(decision Decision) {
	if d.byChange == nil {
		d.byChange = map[string]Decision{}
	}
	d.byChange[decision.Change] = decision
	d.inOrder = append(d.inOrder, decision)
}

// forget drops the decisions about records before the given offset.
func (d *decisions) forget(before oleanderspool.Offset) {
	n := 0
	for n < len(d.inOrder) && d.inOrder[n].Offset < before {
		delete(d.byChange, d.inOrder[n].Change)
		n++
	}
	clear(d.inOrder[:n])
	d.inOrder = d.inOrder[n:]
}
