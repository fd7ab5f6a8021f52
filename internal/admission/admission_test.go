package admission_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/admission"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// forecastOf returns the forecast for servers of 10 tokens per millisecond with
// the given queued work in tokens. A fiftieth of the work is in short prompts, the
// rest in prompts of the longest reported class.
func forecastOf(queuedTokens ...int64) admission.Forecast {
	servers := make([]oleanderspool.BackendServer, len(queuedTokens))
	for i, q := range queuedTokens {
		servers[i].Models = []oleanderspool.ModelID{"m"}
		servers[i].Load = oleanderspool.Load{QueuedTokens: q, TokensAhead: oleanderspool.TokensAhead{q / 50, q / 50, q}, PrefillRate: 10}
	}
	return admission.NewForecast(servers)
}

func request(account string, tokens int) oleanderspool.Request {
	return oleanderspool.Request{
		Account: oleanderspool.ClientAccountID(account), Model: "m", PromptTokens: tokens, Deadline: 600_000,
	}
}

func accounts(n int) []configuration.ClientAccount {
	list := make([]configuration.ClientAccount, n)
	for i := range list {
		list[i] = configuration.ClientAccount{ID: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", i)), RequestsPerSec: 1e6, BurstRequests: 1e6, ShareOfCapacity: 0.5}
	}
	return list
}

var _ = Describe("Controller", func() {
	// Guards against a rate limit that ignores the number of entries, and against
	// a RetryAfter that is too short.
	It("gives each entry its part of an account's rate limit", func() {
		c := admission.New()
		c.SetEntries(4)
		c.ApplyAccounts(1, []configuration.ClientAccount{{ID: "a", RequestsPerSec: 8, BurstRequests: 8}}, 0)
		for range 2 {
			_, refusal := c.Admit(request("a", 10), 0)
			Expect(refusal).To(BeNil())
		}
		_, refusal := c.Admit(request("a", 10), 0)
		Expect(refusal.Reason).To(Equal(oleanderspool.RefusalAccountRateLimit))
		Expect(refusal.Execution).To(Equal(oleanderspool.NotRun))
		Expect(refusal.RetryAfter).To(Equal(oleanderspool.Millis(500)))
		_, refusal = c.Admit(request("a", 10), 499)
		Expect(refusal).NotTo(BeNil())
		_, refusal = c.Admit(request("a", 10), 500)
		Expect(refusal).To(BeNil())
	})

	// Guards against a change of the configuration that refills a bucket, and
	// against an old configuration that replaces a newer one.
	It("keeps the state of an account across configuration changes", func() {
		c := admission.New()
		list := []configuration.ClientAccount{{ID: "a", RequestsPerSec: 1, BurstRequests: 1}}
		c.ApplyAccounts(2, list, 0)
		_, _ = c.Admit(request("a", 10), 0)
		c.ApplyAccounts(3, list, 1)
		_, refusal := c.Admit(request("a", 10), 1)
		Expect(refusal.Reason).To(Equal(oleanderspool.RefusalAccountRateLimit))
		c.ApplyAccounts(1, nil, 2)
		_, refusal = c.Admit(request("b", 10), 2)
		Expect(refusal.Reason).To(Equal(oleanderspool.RefusalUnknownAccount))
		_, refusal = c.Admit(request("a", 10), 1000)
		Expect(refusal).To(BeNil())
	})

	deadlines := []struct {
		name       string
		tokens     int
		limit      oleanderspool.Millis
		refused    bool
		retryAfter oleanderspool.Millis
	}{
		{"admits a long prompt whose wait and prefill fit its time limit", 100_000, 20_000, false, 0},
		{"refuses a long prompt that would wait too long, and asks for a retry", 100_000, 15_000, true, 5000},
		{"refuses without a retry time a long prompt whose prefill alone takes too long", 100_000, 9_000, true, 0},
		{"admits a short prompt that overtakes long ones", 1000, 1100, false, 0},
		{"refuses a short prompt that would wait too long behind short ones, and asks for a retry", 1000, 250, true, 50},
		{"refuses without a retry time a request that has no time left", 1000, 0, true, 0},
	}
	for _, d := range deadlines {
		// Guards against admitting work that cannot finish in time, and against
		// a wrong RetryAfter.
		It(d.name, func() {
			c := admission.New()
			c.ApplyAccounts(1, []configuration.ClientAccount{{ID: "a"}}, 0)
			c.SetForecast(forecastOf(100_000, 400_000))
			_, refusal := c.Admit(request("a", d.tokens).WithDeadline(d.limit), 0)
			Expect(refusal != nil).To(Equal(d.refused))
			if d.refused {
				Expect(refusal.Reason).To(Equal(oleanderspool.RefusalDeadlineTooShort))
				Expect(refusal.RetryAfter).To(Equal(d.retryAfter))
			}
		})
	}

	for _, share := range []float64{0, 0.3, 1} {
		// Guards against a flooding account that takes the capacity of others.
		It(fmt.Sprintf("refuses only the flooding account when all shares are %v", share), func() {
			c := admission.New()
			c.ApplyAccounts(1, []configuration.ClientAccount{
				{ID: "flood", ShareOfCapacity: share}, {ID: "calm", ShareOfCapacity: share},
			}, 0)
			c.SetForecast(forecastOf(0, 0)) // a contention threshold of 40,000 tokens
			refused := 0
			for i := range 1000 {
				if _, refusal := c.Admit(request("flood", 1000), 0); refusal != nil {
					refused++
					Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
					Expect(refusal.Reason).To(BeElementOf(oleanderspool.RefusalAccountShare, oleanderspool.RefusalOverloaded))
				}
				if i%50 == 0 {
					t, refusal := c.Admit(request("calm", 3000), 0)
					Expect(refusal).To(BeNil())
					defer c.Finish(t)
					_, refusal = c.Admit(request("calm", 100), 0)
					Expect(refusal).To(BeNil())
					c.Finish(t)
				}
			}
			Expect(refused).To(BeNumerically(">=", 840))
		})
	}

	// Guards against short requests that are refused because of long prompts in
	// progress, although the short ones are served first.
	It("checks a short request only against the short work in progress", func() {
		c := admission.New()
		c.ApplyAccounts(1, []configuration.ClientAccount{{ID: "a"}, {ID: "b"}}, 0)
		c.SetForecast(forecastOf(0, 0)) // a contention threshold of 40,000 tokens
		for _, account := range []string{"a", "b", "b"} {
			_, refusal := c.Admit(request(account, 200_000), 0)
			Expect(refusal).To(BeNil())
		}
		_, refusal := c.Admit(request("b", 4_000_000), 0)
		Expect(refusal.Reason).To(Equal(oleanderspool.RefusalAccountShare))
		for range 30 {
			_, refusal := c.Admit(request("b", 1000), 0)
			Expect(refusal).To(BeNil())
		}
	})

	// Guards against one account whose many small requests use up the maximum
	// number of requests in progress.
	It("leaves part of the maximum number of requests to other accounts", func() {
		c := admission.New(admission.WithMaxRequests(100))
		c.ApplyAccounts(1, []configuration.ClientAccount{{ID: "flood"}, {ID: "calm"}}, 0)
		var last *oleanderspool.Refusal
		for range 200 {
			_, last = c.Admit(request("flood", 1), 0)
		}
		Expect(last.Reason).To(Equal(oleanderspool.RefusalAccountShare))
		_, refusal := c.Admit(request("calm", 1), 0)
		Expect(refusal).To(BeNil())
	})

	// Guards against shares, rates and removed accounts that differ when only the
	// changes of a configuration are applied. The shares are multiples of 1/4, so
	// that their sums are exact.
	It("reaches the same state by UpdateAccounts as by ApplyAccounts", func() {
		applied, updated := admission.New(), admission.New()
		applied.SetForecast(forecastOf(0, 0))
		updated.SetForecast(forecastOf(0, 0))
		random := rand.New(rand.NewPCG(20261204, 1))
		list := make(map[oleanderspool.ClientAccountID]configuration.ClientAccount)
		var tickets [][2]*admission.Ticket
		reasons := make(map[oleanderspool.RefusalReason]int)
		for step := range 5000 {
			now, revision := oleanderspool.Millis(step), oleanderspool.Revision(step)
			id := oleanderspool.ClientAccountID(fmt.Sprint("a", random.IntN(6)))
			switch kind := random.IntN(20); {
			case kind == 0:
				delete(list, id)
				applied.ApplyAccounts(revision, slices.Collect(maps.Values(list)), now)
				updated.UpdateAccounts(revision, nil, []oleanderspool.ClientAccountID{id}, now)
			case kind < 3:
				list[id] = configuration.ClientAccount{ID: id, RequestsPerSec: 500, BurstRequests: 50, ShareOfCapacity: float64(1+random.IntN(4)) / 4}
				applied.ApplyAccounts(revision, slices.Collect(maps.Values(list)), now)
				updated.UpdateAccounts(revision, []configuration.ClientAccount{list[id]}, nil, now)
			case kind < 10 && len(tickets) > 0:
				i := random.IntN(len(tickets))
				applied.Finish(tickets[i][0])
				updated.Finish(tickets[i][1])
				tickets = slices.Delete(tickets, i, i+1)
			default:
				a, refusal := applied.Admit(request(string(id), 2000), now)
				b, other := updated.Admit(request(string(id), 2000), now)
				Expect(other).To(Equal(refusal))
				if refusal != nil {
					reasons[refusal.Reason]++
					continue
				}
				tickets = append(tickets, [2]*admission.Ticket{a, b})
			}
		}
		Expect(reasons[oleanderspool.RefusalAccountShare]).To(BeNumerically(">", 20))
	})

	// Guards against counters that drift when an account is removed or changed
	// while its requests are in progress.
	It("counts no requests or tokens in progress after all requests have ended", func() {
		c := admission.New()
		c.ApplyAccounts(1, accounts(10), 0)
		var tickets []*admission.Ticket
		for i := range 100 {
			t, refusal := c.Admit(request(fmt.Sprintf("account-%05d", i%10), 100), 0)
			Expect(refusal).To(BeNil())
			tickets = append(tickets, t)
		}
		c.ApplyAccounts(2, accounts(5), 0)
		for _, t := range tickets {
			c.FirstToken(t)
			c.Finish(t)
			c.Finish(t)
		}
		requests, tokens := c.InProgress()
		Expect(requests).To(BeZero())
		Expect(tokens).To(BeZero())
	})
})

var accountCounts = []int{10, 200, 2000, 20000}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			c := admission.New()
			c.ApplyAccounts(1, accounts(n), 0)
			c.SetForecast(forecastOf(make([]int64, 200)...))
			requests := make([]oleanderspool.Request, n)
			for i := range requests {
				requests[i] = request(fmt.Sprintf("account-%05d", i), 1000)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				t, refusal := c.Admit(requests[i*7919%n], 0)
				if refusal != nil {
					b.Fatal(refusal)
				}
				c.Finish(t)
				i++
			}
		})
	}
}

func BenchmarkAccountMemory(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			list := accounts(n)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := admission.New()
				c.ApplyAccounts(1, list, 0)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/account")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkApplyAccounts measures the cost of applying all accounts of a
// configuration again.
func BenchmarkApplyAccounts(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			c := admission.New()
			list := accounts(n)
			b.ReportAllocs()
			revision := oleanderspool.Revision(0)
			for b.Loop() {
				revision++
				c.ApplyAccounts(revision, list, 0)
			}
		})
	}
}
