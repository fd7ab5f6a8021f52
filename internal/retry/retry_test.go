package retry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/retry"
)

var _ = Describe("Decide", func() {
	idempotent := oleanderspool.Request{Idempotent: true, Deadline: 60_000}
	notIdempotent := oleanderspool.Request{Deadline: 60_000}
	keyed := oleanderspool.Request{Key: "k", Deadline: 60_000}
	const (
		connectFailed       = oleanderspool.RetryConnectFailed
		leaving             = oleanderspool.RetryLeaving
		barred              = oleanderspool.RetryBarred
		agentDied           = oleanderspool.RetryAgentDied
		engineDied          = oleanderspool.RetryEngineDied
		streamSilent        = oleanderspool.RetryStreamSilent
		queueFull           = oleanderspool.RetryQueueFull
		behindConfiguration = oleanderspool.RetryBehindConfiguration
		notRun              = oleanderspool.NotRun
		mayHaveRun          = oleanderspool.MayHaveRun
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
		{"fail over after a failed connect", notIdempotent, retry.History{}, retry.Failure{Reason: connectFailed}, 1, retry.Failover, connectFailed, "", 0},
		{"refuse a request under a claim after a failed connect", keyed, retry.History{}, retry.Failure{Reason: connectFailed}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, notRun},
		{"fail over a request under a claim after a barred attempt", keyed, retry.History{}, retry.Failure{Reason: barred, AgentReported: true}, 1, retry.Failover, barred, "", 0},
		{"fail over after a rejection by an agent that is leaving", notIdempotent, retry.History{}, retry.Failure{Reason: leaving, AgentReported: true}, 1, retry.Failover, leaving, "", 0},
		{"refuse after a rejection that is not marked as reported by the agent", notIdempotent, retry.History{}, retry.Failure{Reason: leaving}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, mayHaveRun},
		{"attach again to a stream without data", notIdempotent, retry.History{}, retry.Failure{Reason: streamSilent}, 1, retry.Attach, streamSilent, "", 0},
		{"fail over after the last attach to a stream without data", idempotent, retry.History{Attaches: 2}, retry.Failure{Reason: streamSilent}, 1, retry.Failover, streamSilent, "", 0},
		{"refuse a non-idempotent request after the last attach to a stream without data", notIdempotent, retry.History{Attaches: 2}, retry.Failure{Reason: streamSilent}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, mayHaveRun},
		{"fail over after an agent crash", idempotent, retry.History{}, retry.Failure{Reason: agentDied}, 1, retry.Failover, agentDied, "", 0},
		{"refuse a non-idempotent request after an agent crash", notIdempotent, retry.History{}, retry.Failure{Reason: agentDied}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, mayHaveRun},
		{"run a trial after an engine crash", idempotent, retry.History{}, retry.Failure{Reason: engineDied, AgentReported: true, Execution: mayHaveRun, Suspect: true}, 1, retry.Trial, oleanderspool.RetrySuspectTrial, "", 0},
		{"refuse a request under a claim after an engine crash", keyed, retry.History{}, retry.Failure{Reason: engineDied, AgentReported: true, Execution: mayHaveRun, Suspect: true}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, mayHaveRun},
		{"fail over after a crash of an engine that had not started the request", notIdempotent, retry.History{}, retry.Failure{Reason: engineDied, AgentReported: true}, 1, retry.Failover, engineDied, "", 0},
		{"fail over after a full queue", notIdempotent, retry.History{}, retry.Failure{Reason: queueFull, AgentReported: true}, 1, retry.Failover, queueFull, "", 0},
		{"refuse after full queues on all servers", notIdempotent, retry.History{}, retry.Failure{Reason: queueFull, AgentReported: true}, 0, retry.Refuse, "", oleanderspool.RefusalOverloaded, notRun},
		{"refuse after full queues on all servers and an earlier attempt that may have run", idempotent, retry.History{Execution: mayHaveRun}, retry.Failure{Reason: queueFull, AgentReported: true}, 0, retry.Refuse, "", oleanderspool.RefusalOverloaded, mayHaveRun},
		{"refuse after a rejection and an earlier attempt that may have run", notIdempotent, retry.History{Execution: mayHaveRun}, retry.Failure{Reason: leaving, AgentReported: true}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, mayHaveRun},
		{"fail over after a rejection by an agent with an outdated configuration", notIdempotent, retry.History{}, retry.Failure{Reason: behindConfiguration, AgentReported: true}, 1, retry.Failover, behindConfiguration, "", 0},
		{"fail over after a failed connect to the last untried server", notIdempotent, retry.History{}, retry.Failure{Reason: connectFailed}, 0, retry.Failover, connectFailed, "", 0},
		{"refuse after the last allowed retry, without an untried server", idempotent, retry.History{Retries: 4}, retry.Failure{Reason: agentDied}, 0, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, mayHaveRun},
		{"refuse after a failure too late to wait for a tried server", idempotent.WithDeadline(500), retry.History{}, retry.Failure{Reason: agentDied}, 0, retry.Refuse, "", oleanderspool.RefusalTimeLimit, mayHaveRun},
		{"refuse after the last allowed retry", idempotent, retry.History{Retries: 4}, retry.Failure{Reason: leaving, AgentReported: true}, 1, retry.Refuse, "", oleanderspool.RefusalBackendServerFailed, notRun},
		{"refuse after a failure with no time left", idempotent.WithDeadline(100), retry.History{}, retry.Failure{Reason: agentDied}, 1, retry.Refuse, "", oleanderspool.RefusalTimeLimit, mayHaveRun},
	}
	for _, c := range cases {
		It("decides to "+c.name, func() {
			f := c.failure
			f.Instance = "s"
			d := retry.New().Decide(retry.Input{Request: c.request, History: c.history, Untried: c.untried, MinDuration: 100}, f, 0)
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

	// Guards against a retry-after time whose resend would run a request twice.
	It("gives no retry-after time when a request without a key may have run", func() {
		failure := retry.Failure{Reason: agentDied, Instance: "s"}
		d := retry.New().Decide(retry.Input{Request: notIdempotent, Untried: 1}, failure, 0)
		Expect(d.Refusal.RetryAfter).To(BeZero())
		d = retry.New().Decide(retry.Input{Request: keyed, Untried: 1}, failure, 0)
		Expect(d.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against retries that multiply the load on failing servers.
	It("limits retries to the budget of the last ten seconds", func() {
		p := retry.New(retry.WithBudget(retry.NewBudget(0.1, 2)))
		for range 30 {
			p.RecordAdmission(0)
		}
		input := retry.Input{Request: idempotent, Untried: 1}
		failure := retry.Failure{Reason: leaving, AgentReported: true, Instance: "s"}
		count := func(at oleanderspool.Millis) int {
			n := 0
			for p.Decide(input, failure, at).Action == retry.Failover {
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
		{"grants a retry after the crash of one of three servers", 3, []oleanderspool.InstanceID{"s"}, 0, retry.History{}, retry.Trial},
		{"grants a retry after two crashes of one of three servers", 3, []oleanderspool.InstanceID{"s", "s"}, 0, retry.History{}, retry.Trial},
		{"grants a retry after the crash of a tenth of the servers", 20, []oleanderspool.InstanceID{"s", "t"}, 0, retry.History{}, retry.Trial},
		{"refuses a retry after the crash of more than a tenth of the servers", 20, []oleanderspool.InstanceID{"s", "t", "u"}, 0, retry.History{}, retry.Refuse},
		{"grants a retry more than a minute after the crash of more than a tenth of the servers", 20, []oleanderspool.InstanceID{"s", "t", "u"}, 60_001, retry.History{}, retry.Trial},
		{"refuses a retry after the crash of one server if the free retry was used", 20, []oleanderspool.InstanceID{"s"}, 0, retry.History{FreeRetryUsed: true}, retry.Refuse},
	}
	for _, c := range crashes {
		// Guards against lost requests after a single crash, and against unlimited
		// retries when many servers crash.
		It("with an empty budget, "+c.name, func() {
			p := retry.New(retry.WithBudget(retry.NewBudget(0, 0)))
			p.SetKnownServers(c.known)
			for _, id := range c.crashed {
				p.RecordCrash(id, 0)
			}
			request := idempotent.WithDeadline(c.at + 60_000)
			d := p.Decide(retry.Input{Request: request, History: c.history, Untried: 1},
				retry.Failure{Reason: engineDied, Suspect: true, AgentReported: true, Execution: mayHaveRun, Instance: "s"}, c.at)
			Expect(d.Action).To(Equal(c.action))
			if c.action == retry.Refuse {
				Expect(d.Refusal.Reason).To(Equal(oleanderspool.RefusalRetryBudget))
			}
		})
	}

	// Guards against synchronized retries, and against delays that differ from run to
	// run with the same seed.
	It("delays retries on busy servers with seeded jitter", func() {
		delays := func(seed uint64) []oleanderspool.Millis {
			p := retry.New(retry.WithSeed(seed))
			h := retry.History{}
			var list []oleanderspool.Millis
			for range 4 {
				d := p.Decide(retry.Input{Request: idempotent, History: h, Untried: 1}, retry.Failure{Reason: queueFull, AgentReported: true}, 0)
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
