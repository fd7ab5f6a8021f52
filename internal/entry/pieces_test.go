package entry_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// script sends the events of a run of an agent, in any order.
type script func(call peer.RunCall, send func(peer.Event))

// scriptedAgent is an agent that follows a script.
type scriptedAgent struct {
	peerpb.DRPCAgentUnimplementedServer
	peerpb.DRPCPeerUnimplementedServer
	instance oleanderspool.InstanceID
	run      script
}

// Watch reports an idle engine whose configuration is never behind.
func (s *scriptedAgent) Watch(_ *peerpb.WatchRequest, stream peerpb.DRPCAgent_WatchStream) error {
	for now := oleanderspool.Millis(0); ; now += 200 {
		err := stream.Send(peer.EncodeState(oleanderspool.BackendServer{
			Instance: s.instance, DataCentre: "dc-a", Incarnation: "only", Models: []oleanderspool.ModelID{model},
			Revision: 1 << 30, AgentClock: now, Load: oleanderspool.Load{FreeTokens: 100_000, CapacityTokens: 100_000},
		}))
		if err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Run follows the script.
func (s *scriptedAgent) Run(m *peerpb.RunRequest, stream peerpb.DRPCAgent_RunStream) error {
	s.run(peer.DecodeRun(m, 0), func(e peer.Event) { _ = stream.Send(peer.EncodeEvent(e, 0)) })
	return nil
}

// startScript starts an agent that follows a script.
func (h *harness) startScript(run script) {
	l := listen()
	id := oleanderspool.InstanceID(fmt.Sprintf("runner-%d", len(h.runners)+1))
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	server := &scriptedAgent{instance: id, run: run}
	go func() { _ = peer.Serve(ctx, l, server, server) }()
	h.runners = append(h.runners, &runner{id: id})
	h.list = append(h.list, oleanderspool.InstanceState{Instance: id, DataCentre: "dc-a", Address: l.Addr().String(), Role: "model"})
}

// Guards against pieces that arrive late, twice, out of order or for another
// request becoming part of an answer or being dropped without being counted (P3).
var _ = Describe("Pieces of an answer", func() {
	It("are delivered once and in order, and counted when they are dropped", func() {
		var first oleanderspool.AttemptID
		run := func(call peer.RunCall, send func(peer.Event)) {
			piece := func(request oleanderspool.RequestID, id oleanderspool.AttemptID, sequence int64, text string) {
				send(peer.Event{Piece: &oleanderspool.Piece{
					Request: request, Attempt: id, Sequence: sequence, Text: text, Tokens: 1,
					Final: text == "end", Finish: map[bool]string{true: "stop"}[text == "end"],
				}})
			}
			r, id := call.Request.ID, call.Attempt
			if call.Request.GeneratedText == "" {
				first = id
				piece(r, id, 1, "one ")
				piece(r, id, 1, "one ")
				refusal := oleanderspool.Refuse(oleanderspool.RefusalBackendServerFailed, "").
					WithExecution(oleanderspool.MayHaveRun).WithRetry(oleanderspool.RetryEngineDied)
				send(peer.Event{Failure: &peer.Failure{Attempt: id, State: "failed", Refusal: *refusal}})
				return
			}
			piece(r, first, 2, "late ")
			piece("r-other", id, 1, "misdirected ")
			piece(r, id, 2, "three ")
			piece(r, id, 1, "two ")
			piece(r, id, 1, "two ")
			piece(r, id, 2, "three ")
			piece(r, id, 3, "end")
		}
		h := newHarness(harnessConfig{scripts: []script{run, run}})
		Eventually(h.entry.Ready, eventualTimeout, pollInterval).Should(BeTrue())
		a := h.send(h.modelRequest(prompt, 10))
		Expect(a.refusal).To(BeNil())
		Expect(a.text).To(Equal("one two three end"))
		for cause, pieces := range map[string]int{"duplicate": 3, "late": 1, "misdirected": 1} {
			Expect(metricSum(h.metrics, "pieces_dropped_total", cause)).To(BeEquivalentTo(pieces), cause)
		}
	})
})

// Guards against the refusal of a request whose caller is still waiting, when the
// entry was paused or disconnected for so long that the only agent ended the
// attempt (P1, P3).
var _ = Describe("An attempt that its agent ended because it had no reader", func() {
	It("is continued by another attempt", func() {
		table := attempt.NewTable("only", attempt.DefaultLimits)
		id := attempt.NewID(attempt.ClassUnkeyed, 0, "unread")
		table.Start(attempt.Start{Attempt: id, Incarnation: "only", Idempotent: true, Remaining: oleanderspool.Minute}, 0)
		table.Begin(id, 0)
		table.Detach(id, 0)
		Expect(table.Tick(attempt.DefaultLimits.ReaderTimeout)).To(ContainElement(id))
		refusal := table.Attach(id, "only", 1, attempt.DefaultLimits.ReaderTimeout).Refusal
		run := func(call peer.RunCall, send func(peer.Event)) {
			piece := oleanderspool.Piece{Request: call.Request.ID, Attempt: call.Attempt, Sequence: 1, Text: "one ", Tokens: 1}
			if call.Request.GeneratedText != "" {
				piece.Text, piece.Finish, piece.Final = "two", "stop", true
			}
			send(peer.Event{Piece: &piece})
			if !piece.Final {
				send(peer.Event{Failure: &peer.Failure{Attempt: call.Attempt, State: "failed", Refusal: *refusal}})
			}
		}
		h := newHarness(harnessConfig{scripts: []script{run}})
		Eventually(h.entry.Ready, eventualTimeout, pollInterval).Should(BeTrue())
		a := h.send(h.modelRequest(prompt, 10))
		Expect(a.refusal).To(BeNil())
		Expect(a.text).To(Equal("one two"))
	})
})
