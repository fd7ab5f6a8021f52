package peer

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// EncodeListUpdate maps an entry's update of the instance list to its message.
func EncodeListUpdate(u membership.ListUpdate, revision oleanderspool.Revision) *peerpb.InstanceUpdate {
	m := &peerpb.InstanceUpdate{
		Revision: int64(revision),
		Poller:   u.Poller,
		Epoch:    u.Epoch,
		PolledMs: int64(u.PolledAt),
		Digest:   u.Digest,
	}
	for _, c := range u.Changes {
		m.Changes = append(m.Changes, &peerpb.InstanceChange{
			Instance:   string(c.State.Instance),
			Gone:       c.Removed,
			DataCentre: string(c.State.DataCentre),
			Address:    c.State.Address,
			Role:       c.State.Role,
			Leaving:    c.State.Leaving,
			BeforeMs:   int64(c.BeforePoll),
		})
	}
	return m
}

// DecodeListUpdate is the inverse of [EncodeListUpdate].
func DecodeListUpdate(m *peerpb.InstanceUpdate) membership.ListUpdate {
	u := membership.ListUpdate{
		Poller:   m.GetPoller(),
		Epoch:    m.GetEpoch(),
		PolledAt: oleanderspool.Millis(m.GetPolledMs()),
		Digest:   m.GetDigest(),
	}
	for _, c := range m.GetChanges() {
		u.Changes = append(u.Changes, membership.ObservedChange{
			ListChange: membership.ListChange{Removed: c.GetGone(), State: oleanderspool.InstanceState{
				Instance:   oleanderspool.InstanceID(c.GetInstance()),
				DataCentre: oleanderspool.DataCentreID(c.GetDataCentre()),
				Address:    c.GetAddress(),
				Role:       c.GetRole(),
				Leaving:    c.GetLeaving(),
			}},
			BeforePoll: oleanderspool.Millis(c.GetBeforeMs()),
		})
	}
	return u
}

// EncodeListReply maps the reply to an update to its message.
func EncodeListReply(r membership.ListReply, revision oleanderspool.Revision) *peerpb.InstanceReply {
	return &peerpb.InstanceReply{
		Revision:  int64(revision),
		Epoch:     r.Epoch,
		InstantMs: int64(r.Instant),
		Behind:    r.Behind,
		AgeMs:     int64(r.Age),
	}
}

// DecodeListReply is the inverse of [EncodeListReply].
func DecodeListReply(m *peerpb.InstanceReply) membership.ListReply {
	return membership.ListReply{
		Epoch:   m.GetEpoch(),
		Instant: oleanderspool.Millis(m.GetInstantMs()),
		Behind:  m.GetBehind(),
		Age:     oleanderspool.Millis(m.GetAgeMs()),
	}
}
