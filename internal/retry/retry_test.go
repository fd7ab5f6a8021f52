package retry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

var _ = Describe("Decide", func() {
	idempotent := oleanderspool.Request{Idempotent: true, Deadline: 60_000}
	plain := oleanderspool.Request{Deadline: 60_000}
	keyed := oleanderspool.Request{Key: "k", Deadline: 60_000}
	const (
		connect = oleanderspool.RetryConnectFailed
		leaving = oleanderspool.RetryLeaving
		barred  = oleanderspool.RetryBarred
		agent   = oleanderspool.RetryAgentDied
		engine  = oleanderspool.RetryEngineDied
		silent  = oleanderspool.RetryStreamSilent
		full    = oleanderspool.RetryQueueFull
		behind  = oleanderspool.RetryBehindConfiguration
		notRun  = oleanderspool.NotRun
		maybe   = oleanderspool.MayHaveRun
	)
	cases := []struct {
		name      string
		request   oleanderspool.Request
		history   retry.History
		failure   retry.Failure
		untried   int
		action    retry.Action
		reason    oleanderspool.RetryReason
		refusal   oleanderspool.RefusalReason
		execution oleanderspool.Execution
	}{
		{"a connection that was never made", plain, retry.History{}, retry.Failure{Reason: connect}, 1, retry.Failover, connect, "", 0},
		{"a claimed attempt that was not sent", keyed, retry.History{}, retry.Failure{Reason: connect}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, notRun},
		{"a claimed attempt that was barred", keyed, retry.History{}, retry.Failure{Reason: barred, AgentReported: true}, 1, retry.Failover, barred, "", 0},
		{"an agent that leaves", plain, retry.History{}, retry.Failure{Reason: leaving, AgentReported: true}, 1, retry.Failover, leaving, "", 0},
		{"an answer that the caller did not mark", plain, retry.History{}, retry.Failure{Reason: leaving}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, maybe},
		{"a silent stream", plain, retry.History{}, retry.Failure{Reason: silent}, 1, retry.Attach, silent, "", 0},
		{"a stream that stays silent", idempotent, retry.History{Attaches: 2}, retry.Failure{Reason: silent}, 1, retry.Failover, silent, "", 0},
		{"a stream that stays silent, not idempotent", plain, retry.History{Attaches: 2}, retry.Failure{Reason: silent}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, maybe},
		{"a dead agent", idempotent, retry.History{}, retry.Failure{Reason: agent}, 1, retry.Failover, agent, "", 0},
		{"a dead agent, not idempotent", plain, retry.History{}, retry.Failure{Reason: agent}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, maybe},
		{"a dead engine", idempotent, retry.History{}, retry.Failure{Reason: engine, AgentReported: true, Execution: maybe, Suspect: true}, 1, retry.Trial, oleanderspool.RetrySuspectTrial, "", 0},
		{"a dead engine, under a claim", keyed, retry.History{}, retry.Failure{Reason: engine, AgentReported: true, Execution: maybe, Suspect: true}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, maybe},
		{"a dead engine that had not started the request", plain, retry.History{}, retry.Failure{Reason: engine, AgentReported: true}, 1, retry.Failover, engine, "", 0},
		{"a full queue", plain, retry.History{}, retry.Failure{Reason: full, AgentReported: true}, 1, retry.Failover, full, "", 0},
		{"full queues everywhere", plain, retry.History{}, retry.Failure{Reason: full, AgentReported: true}, 0, retry.Refuse, "", oleanderspool.RefusalOverloaded, notRun},
		{"full queues after an attempt that may have run", idempotent, retry.History{Execution: maybe}, retry.Failure{Reason: full, AgentReported: true}, 0, retry.Refuse, "", oleanderspool.RefusalOverloaded, maybe},
		{"an earlier attempt that may have run", plain, retry.History{Execution: maybe}, retry.Failure{Reason: leaving, AgentReported: true}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, maybe},
		{"an old configuration", plain, retry.History{}, retry.Failure{Reason: behind, AgentReported: true}, 1, retry.Failover, behind, "", 0},
		{"no server that was not tried", plain, retry.History{}, retry.Failure{Reason: connect}, 0, retry.Failover, connect, "", 0},
		{"too many retries without another server", idempotent, retry.History{Retries: 4}, retry.Failure{Reason: agent}, 0, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, maybe},
		{"no time to wait for a server", idempotent.WithDeadline(500), retry.History{}, retry.Failure{Reason: agent}, 0, retry.Refuse, "", oleanderspool.RefusalTimeLimit, maybe},
		{"too many retries", idempotent, retry.History{Retries: 4}, retry.Failure{Reason: leaving, AgentReported: true}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, notRun},
		{"no time left", idempotent.WithDeadline(100), retry.History{}, retry.Failure{Reason: agent}, 1, retry.Refuse, "", oleanderspool.RefusalTimeLimit, maybe},
	}
	for _, c := range cases {
		It("handles "+c.name, func() {
			f := c.failure
			f.Instance = "s"
			d := retry.New().Decide(retry.Situation{Request: c.request, History: c.history, Untried: c.untried, MinDuration: 100}, f, 0)
			Expect(d.Action).To(Equal(c.action))
			Expect(d.Reason).To(Equal(c.reason))
			if c.action == retry.Refuse {
				Expect(d.Refusal.Reason).To(Equal(c.refusal))
				Expect(d.Refusal.Execution).To(Equal(c.execution))
				return
			}
			switch {
			case c.action == retry.Attach:
			case c.untried == 0:
				Expect(d.History.Tried).To(BeEmpty())
				Expect(d.Delay).To(BeNumerically(">=", oleanderspool.Second/2))
			default:
				Expect(d.History.Tried).To(ContainElement(oleanderspool.InstanceID("s")))
			}
		})
	}

	// Guards against an invitation to resend that would run a request twice.
	It("gives no retry time for a request without a key that may have run", func() {
		failure := retry.Failure{Reason: agent, Instance: "s"}
		d := retry.New().Decide(retry.Situation{Request: plain, Untried: 1}, failure, 0)
		Expect(d.Refusal.RetryAfter).To(BeZero())
		d = retry.New().Decide(retry.Situation{Request: keyed, Untried: 1}, failure, 0)
		Expect(d.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against retries that multiply the load of a failing fleet.
	It("keeps retries within the budget of the last ten seconds", func() {
		p := retry.New(retry.WithBudget(retry.NewBudget(0.1, 2)))
		for range 30 {
			p.RecordAdmission(0)
		}
		situation := retry.Situation{Request: idempotent, Untried: 1}
		failure := retry.Failure{Reason: leaving, AgentReported: true, Instance: "s"}
		count := func(at oleanderspool.Millis) int {
			n := 0
			for p.Decide(situation, failure, at).Action == retry.Failover {
				n++
			}
			return n
		}
		Expect(count(0)).To(Equal(5))
		Expect(count(9_000)).To(BeZero())
		Expect(count(10_000)).To(Equal(2))
	})

	crashes := []struct {
		name    string
		known   int
		crashed []oleanderspool.InstanceID
		at      oleanderspool.Millis
		history retry.History
		action  retry.Action
	}{
		{"one of three servers", 3, []oleanderspool.InstanceID{"s"}, 0, retry.History{}, retry.Trial},
		{"one of three servers, twice", 3, []oleanderspool.InstanceID{"s", "s"}, 0, retry.History{}, retry.Trial},
		{"a tenth of the servers", 20, []oleanderspool.InstanceID{"s", "t"}, 0, retry.History{}, retry.Trial},
		{"more than a tenth", 20, []oleanderspool.InstanceID{"s", "t", "u"}, 0, retry.History{}, retry.Refuse},
		{"more than a tenth, a minute ago", 20, []oleanderspool.InstanceID{"s", "t", "u"}, 60_001, retry.History{}, retry.Trial},
		{"one server, but the free retry was used", 20, []oleanderspool.InstanceID{"s"}, 0, retry.History{FreeRetryUsed: true}, retry.Refuse},
	}
	for _, c := range crashes {
		// Guards against lost requests after a single crash, and against free
		// retries when the fleet itself fails.
		It("gives a free retry by the crashes: "+c.name, func() {
			p := retry.New(retry.WithBudget(retry.NewBudget(0, 0)))
			p.SetKnownServers(c.known)
			for _, id := range c.crashed {
				p.RecordCrash(id, 0)
			}
			request := idempotent.WithDeadline(c.at + 60_000)
			d := p.Decide(retry.Situation{Request: request, History: c.history, Untried: 1},
				retry.Failure{Reason: engine, Suspect: true, AgentReported: true, Execution: maybe, Instance: "s"}, c.at)
			Expect(d.Action).To(Equal(c.action))
			if c.action == retry.Refuse {
				Expect(d.Refusal.Reason).To(Equal(oleanderspool.RefusalRetryBudget))
			}
		})
	}

	// Guards against retries in step and against delays that differ from run
	// to run with the same seed.
	It("delays retries of a busy fleet with seeded jitter", func() {
		delays := func(seed uint64) []oleanderspool.Millis {
			p := retry.New(retry.WithSeed(seed))
			h := retry.History{}
			var list []oleanderspool.Millis
			for range 4 {
				d := p.Decide(retry.Situation{Request: idempotent, History: h, Untried: 1}, retry.Failure{Reason: full, AgentReported: true}, 0)
				list = append(list, d.Delay)
				h = d.History
			}
			return list
		}
		Expect(delays(1)).To(Equal(delays(1)))
		Expect(delays(1)).NotTo(Equal(delays(2)))
		for i, d := range delays(3) {
			mean := oleanderspool.Millis(20 << i)
			Expect(d).To(And(BeNumerically(">=", mean/2), BeNumerically("<=", mean/2+mean)))
		}
	})
})
