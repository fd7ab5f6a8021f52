// Package revision replays the stream of configuration changes. Every reader
// of the stream decides alike which changes are accepted, so all processes at
// one revision hold equal configurations.
//
// The package has no I/O, goroutines or wall clock. Its types are not safe for
// concurrent use; the configurations that they return are immutable and may be
// read from any goroutine.
package revision

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	// decisionWindow is the number of records for which a repeated change id is
	// recognized: about a day at 8,500 changes a day. A repeat that comes later
	// is in general rejected by its object revisions.
	decisionWindow = 8192

	// maxRecordBytes bounds the work for one record. One change set with 20,000
	// client accounts has about 5 MB.
	maxRecordBytes = 16 << 20
)

// GapError reports that records between the position of the state and a record
// are missing: their retention passed, or a peer did not send them. The state
// needs a snapshot.
type GapError struct {
	Want oleanderspool.Offset // offset of the next record
	Got  oleanderspool.Offset // offset of the record that was found
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("gap in the configuration stream: expected offset %d, found %d", e.Want, e.Got)
}

// State is the replayed state of the configuration stream. The zero value is
// the state before the first record. Its position and its revision never fall.
type State struct {
	current   configuration.Configuration
	position  oleanderspool.Offset
	revision  oleanderspool.Revision
	decisions decisions
	tail      tail
	cached    Snapshot // snapshot for peers that are far behind
	bounds    bounds
}

// bounds limits what a state remembers. The window must be the same for all
// readers. The zero value stands for the default bounds.
type bounds struct {
	window      oleanderspool.Offset // records for which decisions are remembered
	tailRecords int
	tailBytes   int
}

func (b bounds) orDefault() bounds {
	if b == (bounds{}) {
		return bounds{window: decisionWindow, tailRecords: tailRecords, tailBytes: tailBytes}
	}
	return b
}

// Configuration returns the configuration in force.
func (s *State) Configuration() configuration.Configuration {
	return s.current
}

// Revision returns the offset of the last accepted record, 0 before the first.
func (s *State) Revision() oleanderspool.Revision {
	return s.revision
}

// Position returns the offset of the last record that was decided, 0 before
// the first. The next record to read is the one after it.
func (s *State) Position() oleanderspool.Offset {
	return s.position
}

// Decision returns the decision about a recent change.
func (s *State) Decision(change string) (Decision, bool) {
	d, found := s.decisions.byChange[change]
	return d, found
}

// Apply decides about the next record. A record at or before the position is
// ignored. A malformed record is rejected like an invalid change. The error is
// a [*GapError], after which the state is unchanged.
func (s *State) Apply(record oleanderspool.Record) (Decision, error) {
	if record.Offset <= s.position {
		return Decision{Verdict: Ignored, Offset: record.Offset}, nil
	}
	if record.Offset != s.position+1 {
		return Decision{}, &GapError{Want: s.position + 1, Got: record.Offset}
	}
	d := s.decide(record)
	s.position = record.Offset
	limits := s.bounds.orDefault()
	s.decisions.forget(s.position - limits.window)
	s.tail.add(record, d, limits)
	return d, nil
}

func (s *State) decide(record oleanderspool.Record) Decision {
	d := Decision{Verdict: Rejected, Offset: record.Offset, Digest: xxhash.Sum64(record.Data)}
	if len(record.Data) > maxRecordBytes {
		d.Findings = []oleanderspool.Finding{{
			Message: fmt.Sprintf("the record has %d bytes, more than %d", len(record.Data), maxRecordBytes),
		}}
		return d
	}
	change, err := configuration.ParseChangeSet("", record.Data)
	if err != nil {
		d.Findings = configuration.FindingsOf(err)
		return d
	}
	if first, found := s.Decision(change.ID); found {
		return first.repeat(d.Digest)
	}
	next, err := s.current.Apply(change, record.Offset)
	d.Change = change.ID
	if err != nil {
		d.Findings = configuration.FindingsOf(err)
	} else {
		d.Verdict = Accepted
		s.current = next
		s.revision = record.Offset
	}
	s.decisions.add(d.remembered())
	return d
}
