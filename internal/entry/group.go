package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/broadcast"
	"github.com/oleanderspool/oleanderspool/internal/memory"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

const (
	groupTickInterval = 100 * oleanderspool.Millis(1)
	// releaseTimeout bounds how long a finished group repeats its releases.
	// Members also release expired reservations by their own clocks.
	releaseTimeout = 15 * oleanderspool.Second
)

// groupReservation reserves memory on the group of engines that serve one prompt
// in shards. It exchanges the messages that the state machine requires.
type groupReservation struct {
	entry   *Entry
	id      string
	servers map[oleanderspool.InstanceID]oleanderspool.BackendServer
	changed chan struct{} // receives after each reply

	mu    sync.Mutex
	group *memory.Group
}

// newGroupReservation returns a reservation for a request on the given members.
func newGroupReservation(e *Entry, r oleanderspool.Request, members []oleanderspool.BackendServer, firstTry oleanderspool.Millis) *groupReservation {
	v := &groupReservation{
		entry:   e,
		id:      "g-" + uniqueID(),
		servers: make(map[oleanderspool.InstanceID]oleanderspool.BackendServer, len(members)),
		changed: make(chan struct{}, 1),
	}
	size := int64(len(members))
	part := (routing.RequiredMemory(r) + size - 1) / size
	parts := make([]memory.GroupMember, len(members))
	for i, b := range members {
		v.servers[b.Instance] = b
		parts[i] = memory.GroupMember{Instance: b.Instance, Tokens: part}
	}
	v.group = memory.NewGroup(v.id, parts, r.Deadline, e.clock.Now(), memory.WithFirstRound(firstTry))
	return v
}

// waitReserved drives the group until its memory is reserved or it has ended. It
// ends when a member may no longer be chosen, since other engines may be free.
func (v *groupReservation) waitReserved(ctx context.Context) memory.GroupState {
	for {
		v.removeLostMembers(ctx, v.isUnusable)
		if state := v.tick(ctx); state == memory.GroupReserved || state == memory.GroupEnded {
			return state
		}
		if ctx.Err() != nil {
			return memory.GroupEnded
		}
		v.wait(ctx)
	}
}

// keepAlive renews the reservation until ctx ends, and calls lost when a member is
// lost.
func (v *groupReservation) keepAlive(ctx context.Context, lost func()) {
	for ctx.Err() == nil {
		v.removeLostMembers(ctx, v.isReplaced)
		if v.tick(ctx) == memory.GroupEnded {
			lost()
			return
		}
		v.wait(ctx)
	}
}

// release releases all memory and repeats the releases until they are confirmed.
func (v *groupReservation) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	messages := v.group.End(v.entry.clock.Now())
	v.mu.Unlock()
	v.sendAll(ctx, messages)
	for ctx.Err() == nil {
		v.mu.Lock()
		settled := v.group.Settled()
		v.mu.Unlock()
		if settled {
			return
		}
		v.wait(ctx)
		v.tick(ctx)
	}
}

// tick sends the messages that are due and returns the state.
func (v *groupReservation) tick(ctx context.Context) memory.GroupState {
	v.mu.Lock()
	messages := v.group.Tick(v.entry.clock.Now())
	state := v.group.State()
	v.mu.Unlock()
	v.sendAll(ctx, messages)
	return state
}

func (v *groupReservation) wait(ctx context.Context) {
	t := time.NewTimer(groupTickInterval.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-v.changed:
	case <-t.C:
	}
}

// removeLostMembers reports the members that are lost to the group's state machine.
func (v *groupReservation) removeLostMembers(ctx context.Context, lost func(oleanderspool.BackendServer) bool) {
	for id, b := range v.servers {
		if !lost(b) {
			continue
		}
		v.mu.Lock()
		messages := v.group.MemberLost(id, v.entry.clock.Now())
		v.mu.Unlock()
		v.sendAll(ctx, messages)
	}
}

// isReplaced reports whether a member has restarted or is gone, and so no longer
// holds the memory that it granted.
func (v *groupReservation) isReplaced(b oleanderspool.BackendServer) bool {
	known, listed := v.entry.members.find(b.Instance)
	return !listed || (known.Incarnation != "" && known.Incarnation != b.Incarnation)
}

// isUnusable reports whether a member is stopping, unreachable or was replaced.
func (v *groupReservation) isUnusable(b oleanderspool.BackendServer) bool {
	usable := v.entry.members.table.Snapshot()
	i, found := slices.BinarySearchFunc(usable, b.Instance, func(s oleanderspool.BackendServer, id oleanderspool.InstanceID) int {
		return cmp.Compare(s.Instance, id)
	})
	return !found || usable[i].Incarnation != b.Incarnation
}

// lostMember reports whether the group ended because a member was lost.
func (v *groupReservation) lostMember() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.group.EndReason() == memory.EndMemberLost
}

// sendAll sends messages concurrently and handles the replies.
func (v *groupReservation) sendAll(ctx context.Context, messages []memory.GroupMessage) {
	for _, m := range messages {
		go v.send(ctx, m)
	}
}

// send sends one message. The group's state machine detects a missing reply.
func (v *groupReservation) send(ctx context.Context, m memory.GroupMessage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shortCallTimeout.Duration())
	defer cancel()
	server := v.servers[m.Instance]
	agent := v.entry.peers.Agent(server.Address)
	revision := int64(v.entry.configuration.Revision())
	if m.Release {
		_, err := agent.Release(ctx, &peerpb.ReleaseRequest{Revision: revision, Group: m.Group, Try: m.Round, Wait: m.WillRetry})
		if err == nil {
			v.mu.Lock()
			v.group.Released(m)
			v.mu.Unlock()
		}
		return
	}
	reply, err := agent.Reserve(ctx, &peerpb.ReserveRequest{
		Revision:    revision,
		Incarnation: string(server.Incarnation),
		Group:       m.Group,
		Try:         m.Round,
		Tokens:      m.Tokens,
		ExpiryMs:    int64(m.Lease),
		AgeMs:       int64(m.Age),
	})
	if err != nil {
		return
	}
	v.mu.Lock()
	now := v.entry.clock.Now()
	handle := v.group.Refused
	if reply.GetGranted() {
		handle = v.group.Granted
	}
	messages := handle(m, now)
	v.mu.Unlock()
	v.sendAll(ctx, messages)
	broadcast.Wake(v.changed)
}

// memoryName returns the name of the reserved memory on each engine.
func (v *groupReservation) memoryName() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return memory.GroupName(v.id, v.group.Round())
}

// members lists the instances in order.
func (v *groupReservation) members() []oleanderspool.InstanceID {
	return slices.Sorted(maps.Keys(v.servers))
}

// runOnGroup runs a prompt that is too large for a single engine on several. Its
// results are those of runAttempt.
func (x *exchange) runOnGroup(ctx context.Context, members []oleanderspool.BackendServer) (done bool, refusal *oleanderspool.Refusal) {
	v := newGroupReservation(x.entry, x.request, members, x.arrived)
	defer func() { go v.release() }()
	x.hadGroup = true
	if v.waitReserved(ctx) != memory.GroupReserved {
		if v.lostMember() {
			x.entry.metrics.Retried(oleanderspool.RetryAgentDied)
			return false, nil
		}
		return true, x.refuse(oleanderspool.RefusalOverloaded, "the engines that the prompt needs did not become free in time").
			WithRetryAfter(groupRetryAfter)
	}
	leader := members[0]
	id := attempt.NewID(attempt.ClassUnkeyed, leader.AgentClock, uniqueID())
	if err := x.prepareAssembler(id); err != nil {
		return true, x.refuse(oleanderspool.RefusalBackendServerFailed, err.Error())
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	go v.keepAlive(running, stop)
	x.group = v
	defer func() { x.group = nil }()
	done, refusal = x.runAttempt(running, leader, id)
	if done && refusal == nil {
		return true, nil
	}
	if running.Err() != nil && ctx.Err() == nil {
		x.entry.metrics.Retried(oleanderspool.RetryAgentDied) // a member was lost
		return false, nil
	}
	return done, refusal
}

// groupRetryAfter is the time in which a long prompt frees its engines.
const groupRetryAfter = 30 * oleanderspool.Second
