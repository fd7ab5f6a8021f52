// Package revision replays the stream of configuration changes. Every reader
// of the stream makes the same decision about each change, so all processes at
// the same revision hold equal configurations.
//
// The package does no I/O, starts no goroutines and reads no clock. Its types
// are not safe for concurrent use; the configurations that they return are
// immutable and may be read from any goroutine.
package revision

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	// decisionWindow is the number of records within which a repeated change ID
	// is recognized: about a day at 8,500 changes a day. A later repeat is usually
	// rejected because its object revisions are out of date.
	decisionWindow = 8192

	// maxRecordBytes limits the work for one record. A change set with 20,000
	// client accounts has about 5 MB.
	maxRecordBytes = 16 << 20
)

// GapError reports that the records between the position of the state and a
// record are missing, because they expired or a peer did not send them. The
// state needs a snapshot to continue.
type GapError struct {
	Expected oleanderspool.Offset // offset of the next record
	Found    oleanderspool.Offset // offset of the record that was found
}

// Error returns a message with both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("gap in the configuration stream: expected offset %d, found %d", e.Expected, e.Found)
}

// State is the replayed state of the configuration stream. The zero value is
// the state before the first record. Its position and its revision never
// decrease.
type State struct {
	current        configuration.Configuration
	position       oleanderspool.Offset
	revision       oleanderspool.Revision
	decisions      decisions
	tail           tail
	cachedSnapshot Snapshot // for peers that lag too far behind for the tail
	limits         memoryLimits
}

// memoryLimits limits what a state keeps in memory. The decision window must be
// the same for all readers, because it affects decisions. The zero value stands
// for the default limits.
type memoryLimits struct {
	decisionWindow oleanderspool.Offset // number of records whose decisions are kept
	tailRecords    int
	tailBytes      int
}

func (l memoryLimits) orDefault() memoryLimits {
	if l == (memoryLimits{}) {
		return memoryLimits{decisionWindow: decisionWindow, tailRecords: tailRecords, tailBytes: tailBytes}
	}
	return l
}

// Configuration returns the configuration in force.
func (s *State) Configuration() configuration.Configuration {
	return s.current
}

// Revision returns the offset of the last accepted record, or 0 before the first.
func (s *State) Revision() oleanderspool.Revision {
	return s.revision
}

// Position returns the offset of the last record that was applied, whether
// accepted or rejected, or 0 before the first. The next record to read is the
// one after it.
func (s *State) Position() oleanderspool.Offset {
	return s.position
}

// Decision returns the decision about a change within the decision window.
func (s *State) Decision(change string) (Decision, bool) {
	d, found := s.decisions.byChange[change]
	return d, found
}

// Apply accepts or rejects the next record. A record at or before the position
// is ignored. A malformed record is rejected like an invalid change. The only
// error is a [*GapError], after which the state is unchanged.
func (s *State) Apply(record oleanderspool.Record) (Decision, error) {
	if record.Offset <= s.position {
		return Decision{Verdict: Ignored, Offset: record.Offset}, nil
	}
	if record.Offset != s.position+1 {
		return Decision{}, &GapError{Expected: s.position + 1, Found: record.Offset}
	}
	d := s.decide(record)
	s.position = record.Offset
	limits := s.limits.orDefault()
	s.decisions.removeBefore(s.position - limits.decisionWindow)
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
		return first.forDuplicate(d.Digest)
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
	s.decisions.add(d.withoutFindings())
	return d
}
