package revision

import (
	"github.com/oleanderspool/oleanderspool"
)

// CatchUp is what a process sends to a peer that is behind: records, or a
// snapshot and the records after it.
type CatchUp struct {
	Revision oleanderspool.Revision // revision of the sender
	Snapshot []byte                 // nil when the records suffice; not to be modified
	Records  []oleanderspool.Record // in order, without a gap
}

// CatchUp returns what a peer at the given position lacks. Records are limited
// to a number of bytes, but there is at least one; the peer asks again until
// it has the revision of the sender. The peer gives its position and not its
// revision: after many rejected records a limited answer that starts at the
// revision could hold only records that the peer already has.
func (s *State) CatchUp(after oleanderspool.Offset, limit int) CatchUp {
	result := CatchUp{Revision: s.revision}
	if after >= s.position {
		return result
	}
	records, complete := s.tail.after(after, s.position, limit)
	if complete {
		result.Records = records
		return result
	}
	if _, usable := s.tail.after(s.cached.Position, s.position, limit); !usable || s.cached.Data == nil {
		s.cached = s.Snapshot()
	}
	result.Snapshot = s.cached.Data
	result.Records, _ = s.tail.after(s.cached.Position, s.position, limit)
	return result
}

// ApplyCatchUp applies what a peer sent and returns the decisions about new records.
// What is already known is ignored. After an error, a [*GapError] or of type
// [oleanderspool.ErrInvalid], everything before the fault has been applied.
func (s *State) ApplyCatchUp(c CatchUp) ([]Decision, error) {
	if c.Snapshot != nil {
		if _, err := s.Restore(Snapshot{Data: c.Snapshot}); err != nil {
			return nil, err
		}
	}
	var taken []Decision
	for _, r := range c.Records {
		d, err := s.Apply(r)
		if err != nil {
			return taken, err
		}
		if d.Verdict != Ignored {
			taken = append(taken, d)
		}
	}
	return taken, nil
}
