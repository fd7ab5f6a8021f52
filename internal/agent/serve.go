package agent

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/handover"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/suspect"
)

// eventStream is the server side of the streams of Run and Attach.
type eventStream interface {
	drpc.Stream
	Send(*peerpb.Event) error
}

// handler serves the protocol between the system's own processes. It is a
// separate type because the protocol's Run would hide [Agent.Run].
type handler struct {
	peerpb.DRPCAgentUnimplementedServer
	peerpb.DRPCPeerUnimplementedServer
	*Agent
}

// Run starts an attempt and streams its pieces.
func (h *handler) Run(m *peerpb.RunRequest, s peerpb.DRPCAgent_RunStream) error {
	a := h.Agent
	call := peer.DecodeRun(m, a.clock.Now())
	if failure := a.accept(call); failure != nil {
		return a.send(s, peer.Event{Failure: failure})
	}
	// The first heartbeat confirms at once that the attempt arrived, so that the
	// caller detects an unresponsive connection before the first token is due.
	if err := a.send(s, peer.Event{}); err != nil {
		a.detach(call.Attempt)
		return err
	}
	return a.stream(s, call.Attempt, 1)
}

// Attach streams the pieces of an attempt from a sequence number on.
func (h *handler) Attach(m *peerpb.AttachRequest, s peerpb.DRPCAgent_AttachStream) error {
	a := h.Agent
	id := oleanderspool.AttemptID(m.GetAttempt())
	a.mu.Lock()
	reply := a.attempts.Attach(id, oleanderspool.Incarnation(m.GetIncarnation()), m.GetFrom(), a.clock.Now())
	a.mu.Unlock()
	if reply.State != attempt.StateRunning && reply.State != attempt.StateFinished {
		return a.send(s, peer.Event{Failure: failureOf(id, reply)})
	}
	if err := a.send(s, peer.Event{}); err != nil {
		a.detach(id)
		return err
	}
	return a.stream(s, id, m.GetFrom())
}

// failureOf returns the failure of an attempt that cannot be streamed.
func failureOf(id oleanderspool.AttemptID, reply attempt.Reply) *peer.Failure {
	f := &peer.Failure{Attempt: id, State: reply.State.String()}
	if reply.Refusal != nil {
		f.Refusal = *reply.Refusal
		return f
	}
	f.Refusal = oleanderspool.Refusal{
		Reason:    oleanderspool.RefusalBackendServerFailed,
		Execution: executionOf(reply.State),
		Message:   "the attempt is " + reply.State.String(),
	}
	if reply.State == attempt.StateBarred {
		f.Refusal.Retry = oleanderspool.RetryBarred
	}
	return f
}

// executionOf returns whether an attempt in the given state has run.
func executionOf(s attempt.State) oleanderspool.Execution {
	switch s {
	case attempt.StateBarred:
		return oleanderspool.NotRun
	case attempt.StateEvicted, attempt.StateFinished:
		return oleanderspool.Ran
	default:
		return oleanderspool.MayHaveRun
	}
}

// stream sends pieces from a sequence number on, and heartbeats in between,
// until the attempt ends, the reader disconnects or its lease expires. Sending
// does not fail on an unresponsive connection, so a reader counts only until its
// lease expires and then has to attach again.
func (a *Agent) stream(s eventStream, id oleanderspool.AttemptID, from int64) error {
	expired, release := a.lease(id)
	defer release()
	a.mu.Lock()
	readers := a.subscribe(id)
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.unsubscribe(id)
		a.mu.Unlock()
	}()
	heartbeat := time.NewTicker(a.heartbeat.Duration())
	defer heartbeat.Stop()
	for {
		a.mu.Lock()
		changed := readers.Channel()
		reply := a.attempts.Pieces(id, from)
		move := a.source.MarkAnnounced(id)
		a.mu.Unlock()
		for i := range reply.Pieces {
			if err := a.send(s, peer.Event{Piece: &reply.Pieces[i]}); err != nil {
				return err
			}
			from = reply.Pieces[i].Sequence + 1
		}
		if reply.State == attempt.StateFinished {
			a.markRead(id)
			return nil
		}
		if reply.State != attempt.StateRunning {
			return a.send(s, peer.Event{Failure: failureOf(id, reply)})
		}
		if move {
			if err := a.send(s, peer.Event{Move: true}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := a.send(s, peer.Event{}); err != nil {
				return err
			}
		case <-expired:
			return a.send(s, peer.Event{Failure: failureOf(id, reply)})
		case <-s.Context().Done():
			return s.Context().Err()
		}
	}
}

// markRead records that an answer was read in full, so that drain does not wait
// for a reader of it. The reader can get the final piece before the attempt ends.
func (a *Agent) markRead(id oleanderspool.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.awaitReaderUntil, id)
	if _, running := a.calls[id]; running {
		a.readBeforeEnd[id] = true
	}
}

// lease counts the reader of a new stream for half of the reader timeout. The
// other half is left for its next attach, so that the work ends within the
// timeout after the last sign of the reader. The channel expired is closed when
// the lease expires; release ends the lease early.
func (a *Agent) lease(id oleanderspool.AttemptID) (expired <-chan struct{}, release func()) {
	leaseStart := a.clock.Now()
	ended := make(chan struct{})
	timer := time.AfterFunc((a.attemptLimits.ReaderTimeout / 2).Duration(), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.attempts.Detach(id, leaseStart)
		close(ended)
	})
	return ended, func() {
		if timer.Stop() {
			a.detach(id)
		}
	}
}

// detach records that a reader has left an attempt.
func (a *Agent) detach(id oleanderspool.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts.Detach(id, a.clock.Now())
}

func (a *Agent) send(s eventStream, e peer.Event) error {
	return s.Send(peer.EncodeEvent(e, a.configuration.Revision()))
}

// Bar prevents an attempt that has not started from starting later.
func (h *handler) Bar(_ context.Context, m *peerpb.BarRequest) (*peerpb.BarReply, error) {
	a := h.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	id := oleanderspool.AttemptID(m.GetAttempt())
	state := a.attempts.Bar(id, oleanderspool.Incarnation(m.GetIncarnation()), a.clock.Now())
	return &peerpb.BarReply{
		Revision:    int64(a.configuration.Revision()),
		Incarnation: string(a.incarnation),
		State:       state.String(),
	}, nil
}

// Cancel ends an attempt.
func (h *handler) Cancel(_ context.Context, m *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	a := h.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	id := oleanderspool.AttemptID(m.GetAttempt())
	now := a.clock.Now()
	if a.target.Drop(id) {
		a.endImport(id, handover.ReasonEnded, now)
	}
	delete(a.awaitReaderUntil, id)
	_, stop := a.attempts.Cancel(id, oleanderspool.Incarnation(m.GetIncarnation()), now)
	if stop {
		a.stopWork(id)
		a.endAttempt(id)
	}
	return &peerpb.CancelReply{Revision: int64(a.configuration.Revision())}, nil
}

// Watch sends the state of the agent at once, then at each interval and at each
// change.
func (h *handler) Watch(m *peerpb.WatchRequest, s peerpb.DRPCAgent_WatchStream) error {
	a := h.Agent
	interval := max(oleanderspool.Millis(m.GetIntervalMs()), minWatchInterval)
	defer a.addWatcher()()
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	lastCrash := "" // ID of the last crash that this stream has sent
	for {
		a.mu.Lock()
		changed := a.changed.Channel()
		state := a.state()
		var crashes []suspect.Crash
		if a.crashes.lastID != lastCrash {
			crashes = a.crashes.history.Crashes()
			lastCrash = a.crashes.lastID
		}
		a.mu.Unlock()
		message := peer.EncodeState(state)
		message.Crashes = encodeCrashes(crashes)
		message.Position = int64(a.configuration.Position())
		if err := s.Send(message); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-s.Context().Done():
			return s.Context().Err()
		}
	}
}

// minWatchInterval is the shortest interval that a watcher can ask for.
const minWatchInterval = 20 * oleanderspool.Millis(1)

// state returns the reported state of the agent's backend server.
func (a *Agent) state() oleanderspool.BackendServer {
	now := a.clock.Now()
	b := a.identity
	b.Leaving = a.leaving
	b.Revision = a.configuration.Revision()
	b.AgentClock = now
	if a.engine == nil {
		b.Load = oleanderspool.Load{Running: a.serviceCalls}
		return b
	}
	if a.engineUp {
		b.Models = a.planner.ServedModels()
	}
	b.Load = a.queue.Load(now)
	// Memory that queued requests need is not free for others. A negative value
	// would take ten bytes as a varint, and no reader distinguishes such values.
	b.Load.FreeTokens = max(0, a.ledger.Available(now)-a.queue.WaitingMemory())
	b.Load.CapacityTokens = a.ledger.Size()
	return b
}

// Status returns the identity, role and version of the process.
func (h *handler) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	a := h.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	role := peer.RoleNameModel
	if a.identity.Role == oleanderspool.RoleService {
		role = peer.RoleNameService
	}
	return &peerpb.StatusReply{
		Revision:   int64(a.configuration.Revision()),
		Instance:   string(a.identity.Instance),
		DataCentre: string(a.identity.DataCentre),
		Role:       role,
		Leaving:    a.leaving,
		Version:    a.version,
	}, nil
}

func encodeCrashes(list []suspect.Crash) []*peerpb.Crash {
	messages := make([]*peerpb.Crash, len(list))
	for i, c := range list {
		messages[i] = peer.EncodeCrash(peer.Crash{
			ID:           string(c.ID),
			Fingerprints: c.Fingerprints,
			Trial:        c.Trial,
		})
	}
	return messages
}
