package agent

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// Guards against a queue that exceeds the limit on prompt tokens, and against an
// idle agent that refuses a long prompt.
var _ = Describe("The limit on queued prompt tokens", func() {
	cases := []struct {
		name    string
		limit   int64
		waiting int64 // prompt tokens in the queue; 0 for an empty queue
		prompt  int
		refused bool
	}{
		{"accepts any prompt in an empty queue", 1000, 0, 5000, false},
		{"accepts any prompt if the limit is 0", 0, 900, 5000, false},
		{"accepts a prompt that just fits", 1000, 900, 100, false},
		{"refuses a prompt that exceeds it by one token", 1000, 900, 101, true},
	}
	for _, c := range cases {
		It(c.name, func() {
			a := New("i-1", "dc-a", WithMaxQueuedPromptTokens(c.limit))
			if c.waiting > 0 {
				Expect(a.queue.Push(queue.Item{Attempt: "waiting", Account: "a", PromptTokens: c.waiting}, 0)).To(Succeed())
			}
			refusal := a.refuseExcessWork(peer.RunCall{Request: oleanderspool.Request{PromptTokens: c.prompt}}, 0)
			if !c.refused {
				Expect(refusal).To(BeNil())
				return
			}
			Expect(refusal.Retry).To(Equal(oleanderspool.RetryQueueFull))
			Expect(refusal.Execution).To(Equal(oleanderspool.NotRun))
			Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		})
	}
})

// Guards against a second run of a prompt whose running attempt has no reader, and
// against an answer that has a reader already or another maximum length.
var _ = Describe("The search for a running attempt without a reader", func() {
	call := func(id oleanderspool.AttemptID, change func(*peer.RunCall)) peer.RunCall {
		c := peer.RunCall{Attempt: id, Request: oleanderspool.Request{
			ID: "r-1", Kind: oleanderspool.KindModel, Idempotent: true, MaxTokens: 10, Fingerprint: 7,
		}}
		change(&c)
		return c
	}
	cases := []struct {
		name   string
		change func(*peer.RunCall)
		read   bool // the running attempt has a reader
		found  bool
	}{
		{"finds an attempt of the same prompt", func(*peer.RunCall) {}, false, true},
		{"ignores an attempt that has a reader", func(*peer.RunCall) {}, true, false},
		{"ignores an attempt of another prompt", func(c *peer.RunCall) { c.Request.Fingerprint = 8 }, false, false},
		{"ignores an attempt with another token limit", func(c *peer.RunCall) { c.Request.MaxTokens = 11 }, false, false},
		{"finds nothing for a continued answer", func(c *peer.RunCall) { c.Request.GeneratedText = "so far" }, false, false},
		{"finds nothing for a trial run", func(c *peer.RunCall) { c.Trial = true }, false, false},
		{"finds nothing for a request that is not idempotent", func(c *peer.RunCall) { c.Request.Idempotent = false }, false, false},
	}
	for _, c := range cases {
		It(c.name, func() {
			a := New("i-1", "dc-a")
			a.calls["first"] = call("first", func(*peer.RunCall) {})
			a.byFingerprint[7] = "first"
			if c.read {
				a.subscribe("first")
			}
			id, found := a.unreadAttempt(call("second", c.change))
			Expect(found).To(Equal(c.found))
			if found {
				Expect(id).To(BeEquivalentTo("first"))
			}
		})
	}
})

// Guards against a stopping agent that loses an answer whose reader has yet to return
// from another server, and against one that waits for a reader who got the final piece
// before the attempt ended.
var _ = Describe("A stopping agent with an exported answer", func() {
	for name, read := range map[string]bool{"waits for its reader": false, "does not wait once it was read": true} {
		It(name, func() {
			a := New("i-1", "dc-a")
			now := a.clock.Now()
			id := attempt.NewID(attempt.ClassUnkeyed, now, "a")
			a.offerTestStream(id)
			a.running++
			_, ok := a.attempts.Start(attempt.Start{Attempt: id, Incarnation: a.incarnation, Idempotent: true, Remaining: oleanderspool.Hour}, now)
			Expect(ok && a.attempts.Begin(id, now) && a.source.BeginExport(id, now) && a.source.Exported(id, 1, now)).To(BeTrue())
			a.appendPiece(id, oleanderspool.Piece{Final: true})
			if read {
				a.markRead(id)
			}
			a.mu.Lock()
			a.endAttempt(id)
			a.mu.Unlock()
			Expect(a.busy()).To(Equal(!read))
		})
	}
})
