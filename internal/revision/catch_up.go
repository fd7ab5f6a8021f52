package revision

import (
	"github.com/oleanderspool/oleanderspool"
)

// CatchUp is what a process sends to a peer that lags behind: records, or a
// snapshot and the records after it.
type CatchUp struct {
	Revision oleanderspool.Revision // revision of the sender
	Snapshot []byte                 // nil if the records suffice; must not be modified
	Records  []oleanderspool.Record // in order, without a gap
}

// CatchUp returns what a peer at the given position is missing. The records
// have at most limit bytes, but there is always at least one; the peer asks
// again until it has the revision of the sender. A peer passes its position
// rather than its revision, because after many rejected records a limited
// response that starts at the revision could hold only records that the peer
// already has.
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
	if _, usable := s.tail.after(s.cachedSnapshot.Position, s.position, limit); !usable || s.cachedSnapshot.Data == nil {
		s.cachedSnapshot = s.Snapshot()
	}
	result.Snapshot = s.cachedSnapshot.Data
	result.Records, _ = s.tail.after(s.cachedSnapshot.Position, s.position, limit)
	return result
}

// ApplyCatchUp applies what a peer sent and returns the decisions about new
// records. Records and snapshots that are already covered are ignored. An error
// is a [*GapError] or of type [oleanderspool.ErrInvalid]; the snapshot
// and the records before the one that failed have then been applied.
func (s *State) ApplyCatchUp(c CatchUp) ([]Decision, error) {
	if c.Snapshot != nil {
		if _, err := s.Restore(Snapshot{Data: c.Snapshot}); err != nil {
			return nil, err
		}
	}
	var applied []Decision
	for _, r := range c.Records {
		d, err := s.Apply(r)
		if err != nil {
			return applied, err
		}
		if d.Verdict != Ignored {
			applied = append(applied, d)
		}
	}
	return applied, nil
}
