package agent

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// Guards against a queue that takes more prompt work than its bound, and
// against a long prompt that is refused by an idle agent.
var _ = Describe("The bound of waiting prompt work", func() {
	cases := []struct {
		name    string
		bound   int64
		waiting int64 // prompt work in the queue, in tokens; 0 for none
		prompt  int
		refused bool
	}{
		{"an empty queue takes any prompt", 1000, 0, 5000, false},
		{"no bound", 0, 900, 5000, false},
		{"room for the prompt", 1000, 900, 100, false},
		{"one token too many", 1000, 900, 101, true},
	}
	for _, c := range cases {
		It(c.name, func() {
			a := New("i-1", "dc-a", WithMaxQueuedPromptTokens(c.bound))
			if c.waiting > 0 {
				Expect(a.queue.Push(queue.Item{Attempt: "waiting", Account: "a", PromptTokens: c.waiting}, 0)).To(Succeed())
			}
			refusal := a.refuseWork(peer.RunCall{Request: oleanderspool.Request{PromptTokens: c.prompt}}, 0)
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

// Guards against a second run of a prompt that an agent runs for nobody, and
// against an answer that is shared with a reader or cut to another length.
var _ = Describe("An attempt that nobody reads", func() {
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
		read   bool
		found  bool
	}{
		{"is found by the same prompt", func(*peer.RunCall) {}, false, true},
		{"is not found while it is read", func(*peer.RunCall) {}, true, false},
		{"is not found by another prompt", func(c *peer.RunCall) { c.Request.Fingerprint = 8 }, false, false},
		{"is not found for another length", func(c *peer.RunCall) { c.Request.MaxTokens = 11 }, false, false},
		{"is not found by a continued answer", func(c *peer.RunCall) { c.Request.GeneratedText = "so far" }, false, false},
		{"is not found by a trial", func(c *peer.RunCall) { c.Trial = true }, false, false},
		{"is not found by a call that is not idempotent", func(c *peer.RunCall) { c.Request.Idempotent = false }, false, false},
	}
	for _, c := range cases {
		It(c.name, func() {
			a := New("i-1", "dc-a")
			a.calls["first"] = call("first", func(*peer.RunCall) {})
			a.same[7] = "first"
			if c.read {
				a.subscribe("first")
			}
			id, found := a.unread(call("second", c.change))
			Expect(found).To(Equal(c.found))
			if found {
				Expect(id).To(BeEquivalentTo("first"))
			}
		})
	}
})
