package queue_test

import (
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

const ampleMemory = int64(10_000_000) // more than all items together need

func item(attempt string, tokens int64) queue.Item {
	return queue.Item{Attempt: oleanderspool.AttemptID(attempt), Account: "a", PromptTokens: tokens, MemoryTokens: tokens}
}

func dispatched(d queue.Decision) []string {
	names := make([]string, 0, len(d.Dispatches))
	for _, s := range d.Dispatches {
		names = append(names, string(s.Attempt))
	}
	return names
}

// serveAll serves all items one after the other at 10 tokens/ms and returns
// their order.
func serveAll(q *queue.Queue, now oleanderspool.Millis) []string {
	var order []string
	for {
		d := q.Next(ampleMemory, now)
		if len(d.Dispatches) == 0 {
			return order
		}
		for _, s := range d.Dispatches {
			order = append(order, string(s.Attempt))
			now += oleanderspool.Millis(s.PromptTokens / 10)
			q.FirstToken(s.Attempt, now)
			q.Finished(s.Attempt, now)
		}
	}
}

// Guards against an order in which long work delays short work, or in which
// short work, a flooding account or priorities starve other work.
var _ = Describe("Order of the queue", func() {
	at := func(i queue.Item, account string, priority int, deadline oleanderspool.Millis) queue.Item {
		i.Account = oleanderspool.ClientAccountID(account)
		i.Priority = priority
		i.Deadline = deadline
		return i
	}
	type arrival struct {
		item queue.Item
		at   oleanderspool.Millis
	}
	cases := []struct {
		name     string
		arrivals []arrival
		want     []string
	}{
		{"short work before longer work", []arrival{{item("long", 90_000), 0}, {item("short", 2000), 1}}, []string{"short", "long"}},
		{"long work before short work that arrives after its due time", []arrival{{item("long", 10_000), 0}, {item("short", 2000), 20_000}}, []string{"long", "short"}},
		{"equally long work in order of arrival", []arrival{{item("1", 2000), 0}, {item("2", 2000), 1}}, []string{"1", "2"}},
		{"high priority before low priority", []arrival{{item("low", 2000), 0}, {at(item("high", 2000), "a", 1, 0), 1}}, []string{"high", "low"}},
		{
			"an item with a close deadline before a shorter item without one",
			[]arrival{{item("easy", 2000), 0}, {at(item("tight", 9000), "a", 0, 5000), 1}},
			[]string{"tight", "easy"},
		},
		{
			"another account before the backlog of a flooding account",
			[]arrival{
				{at(item("f1", 2000), "f", 0, 0), 0},
				{at(item("f2", 2000), "f", 0, 0), 0},
				{at(item("f3", 2000), "f", 0, 0), 0},
				{at(item("other", 2000), "o", 0, 0), 100},
			},
			[]string{"f1", "other", "f2", "f3"},
		},
	}
	for _, c := range cases {
		It("serves "+c.name, func() {
			q := queue.New(queue.WithWindowSteps(1), queue.WithPrefillDelayFactor(8.5))
			now := oleanderspool.Millis(0)
			for _, x := range c.arrivals {
				now = x.at
				Expect(q.Push(x.item, now)).To(Succeed())
			}
			Expect(serveAll(q, now)).To(Equal(c.want))
		})
	}
})

// Guards against an account that floods at the expense of others' long work.
var _ = Describe("Allowance of an account", func() {
	It("treats the items of an account beyond its allowance as longer work until the account has been idle", func() {
		q := queue.New(queue.WithPrefillRate(10), queue.WithReferenceRate(10), queue.WithAllowance(1))
		serve := func(attempt, account string, now oleanderspool.Millis) int {
			i := item(attempt, 2000)
			i.Account = oleanderspool.ClientAccountID(account)
			Expect(q.Push(i, now)).To(Succeed())
			d := q.Next(ampleMemory, now)
			Expect(d.Dispatches).To(HaveLen(1))
			q.FirstToken(i.Attempt, now+200)
			q.Finished(i.Attempt, now+200)
			return d.Dispatches[0].EnginePriority
		}
		usual := serve("other", "o", 0)
		for n := range 140 {
			serve(fmt.Sprint(n), "f", oleanderspool.Millis(n*200+200))
		}
		Expect(serve("flood", "f", 29_000)).To(BeNumerically("<", usual))
		Expect(serve("other again", "o", 29_200)).To(Equal(usual))
		Expect(serve("flood later", "f", 120_000)).To(Equal(usual))
	})
})

// Guards against an engine that idles, or that is given so much work that the
// order of the queue no longer matters.
var _ = Describe("Dispatch window", func() {
	It("dispatches two steps of short work and then waits for a first token", func() {
		q := queue.New()
		for i := range 5 {
			Expect(q.Push(item(fmt.Sprint(i), 2000), 0)).To(Succeed())
		}
		Expect(dispatched(q.Next(ampleMemory, 0))).To(Equal([]string{"0", "1", "2"}))
		Expect(q.Next(ampleMemory, 10).Dispatches).To(BeEmpty())
		q.FirstToken("0", 200)
		Expect(dispatched(q.Next(ampleMemory, 200))).To(Equal([]string{"3"}))
	})

	It("dispatches a short item with a higher engine priority while a long one is in prefill", func() {
		q := queue.New()
		Expect(q.Push(item("long", 900_000), 0)).To(Succeed())
		long := q.Next(ampleMemory, 0).Dispatches[0]
		Expect(q.Push(item("short", 2000), 1000)).To(Succeed())
		short := q.Next(ampleMemory, 1000).Dispatches[0]
		Expect(short.EnginePriority).To(BeNumerically(">", long.EnginePriority))
		Expect(q.Push(item("long2", 900_000), 1000)).To(Succeed())
		Expect(q.Next(ampleMemory, 1000).Dispatches).To(BeEmpty())
	})

	It("lets smaller items overtake one that does not fit into memory only until the bypass timeout", func() {
		q := queue.New(queue.WithBypassTimeout(1000), queue.WithPrefillDelayFactor(8.5))
		Expect(q.Push(item("large", 20_000), 0)).To(Succeed())
		Expect(q.Next(10_000, 50_000).Dispatches).To(BeEmpty())
		medium := item("medium", 900)
		medium.MemoryTokens = 11_000
		trial := item("trial", 4000)
		trial.Exclusive = true
		Expect(q.Push(medium, 50_000)).To(Succeed())
		Expect(q.Push(trial, 50_000)).To(Succeed())
		Expect(q.Next(10_000, 50_000).Dispatches).To(BeEmpty(), "medium does not fit, trial is exclusive")
		Expect(q.Cancel("medium") && q.Cancel("trial")).To(BeTrue())
		Expect(q.Push(item("small", 1000), 50_000)).To(Succeed())
		Expect(dispatched(q.Next(10_000, 50_500))).To(Equal([]string{"small"}))
		Expect(q.Push(item("late", 1000), 51_000)).To(Succeed())
		Expect(q.Next(10_000, 51_000).Dispatches).To(BeEmpty())
		Expect(dispatched(q.Next(30_000, 51_100))).To(Equal([]string{"large", "late"}))
	})
})

// Guards against short work that waits until long work has freed memory.
var _ = Describe("Queue.Next with a memory reserve", func() {
	It("leaves the reserve free of items larger than it unless the engine is empty", func() {
		q := queue.New(queue.WithMemory(100_000), queue.WithMemoryReserve(0.1))
		Expect(q.Push(item("first", 95_000), 0)).To(Succeed())
		Expect(dispatched(q.Next(100_000, 0))).To(Equal([]string{"first"}))
		q.FirstToken("first", 9000)
		Expect(q.Push(item("small", 1000), 9000)).To(Succeed())
		Expect(q.Push(item("large", 15_000), 9000)).To(Succeed())
		Expect(dispatched(q.Next(20_000, 9000))).To(Equal([]string{"small"}))
		q.FirstToken("small", 9100)
		Expect(q.Next(20_000, 9100).Dispatches).To(BeEmpty())
		Expect(dispatched(q.Next(25_000, 9100))).To(Equal([]string{"large"}))
	})

	It("does not fill the reserve with items slightly smaller than it", func() {
		q := queue.New(queue.WithMemory(100_000), queue.WithMemoryReserve(0.1))
		Expect(q.Push(item("first", 80_000), 0)).To(Succeed())
		Expect(dispatched(q.Next(100_000, 0))).To(Equal([]string{"first"}))
		q.FirstToken("first", 9000)
		Expect(q.Push(item("medium", 9000), 9000)).To(Succeed())
		Expect(q.Push(item("small", 1000), 9000)).To(Succeed())
		Expect(dispatched(q.Next(10_000, 9000))).To(Equal([]string{"small"}))
		Expect(q.Next(17_999, 9100).Dispatches).To(BeEmpty())
		Expect(dispatched(q.Next(18_000, 9100))).To(Equal([]string{"medium"}))
	})
})

// Guards against short work that starves long work with an earlier due time.
var _ = Describe("Queue.Next with a share of long work", func() {
	It("holds back shorter work that has used its credit until the long item has progressed", func() {
		q := queue.New(queue.WithMaxCredit(100), queue.WithLongShare(0.5))
		Expect(q.Push(item("long", 90_000), 0)).To(Succeed())
		Expect(q.Next(ampleMemory, 0).Dispatches).To(HaveLen(1))
		for i := range 4 {
			Expect(q.Push(item(fmt.Sprint(i), 2000), 500_000)).To(Succeed())
		}
		Expect(dispatched(q.Next(ampleMemory, 500_000))).To(Equal([]string{"0", "1", "2"}))
		for i := range 3 {
			q.FirstToken(oleanderspool.AttemptID(fmt.Sprint(i)), 500_300)
		}
		Expect(q.Next(ampleMemory, 500_400).Dispatches).To(BeEmpty(), "300 ms of credit used, 100 and 200 earned")
		Expect(dispatched(q.Next(ampleMemory, 500_402))).To(Equal([]string{"3"}))
	})
})

// Guards against items that wait although their deadline cannot be met, and
// against a RetryAfter that is not derived from the queued work.
var _ = Describe("Refusals of the queue", func() {
	with := func(i queue.Item, deadline oleanderspool.Millis) queue.Item {
		i.Deadline = deadline
		return i
	}
	refusal := func(err error) *oleanderspool.Refusal {
		var r *oleanderspool.Refusal
		Expect(errors.As(err, &r)).To(BeTrue(), "%v", err)
		Expect(r.Execution).To(Equal(oleanderspool.NotRun))
		return r
	}

	It("refuses a deadline that even an idle server cannot meet", func() {
		r := refusal(queue.New().Push(with(item("a", 10_000), 999), 0))
		Expect(r.Reason).To(Equal(oleanderspool.RefusalDeadlineTooShort))
		Expect(r.RetryAfter).To(BeZero())
	})

	It("asks for a retry at a time when the queue allows the deadline to be met", func() {
		q := queue.New(queue.WithShortRequestWeight(0))
		Expect(q.Push(item("ahead", 10_000), 0)).To(Succeed())
		r := refusal(q.Push(with(item("b", 10_000), 1500), 0))
		Expect(r.Reason).To(Equal(oleanderspool.RefusalOverloaded))
		Expect(r.RetryAfter).To(BeNumerically(">=", 500))
		Expect(r.RetryAfter).To(BeNumerically("<=", 1100))
	})

	It("refuses a waiting item as soon as its deadline cannot be met", func() {
		q := queue.New()
		Expect(q.Push(with(item("a", 1000), 500), 0)).To(Succeed())
		Expect(q.Next(0, 400).Refused).To(BeEmpty())
		d := q.Next(0, 401)
		Expect(d.Refused).To(HaveLen(1))
		Expect(q.Load(401).Queued).To(BeZero())
	})

	It("bounds the queue and leaves slots to other accounts", func() {
		q := queue.New(queue.WithCapacity(10))
		var full *queue.FullError
		accepted := 0
		for i := range 10 {
			if err := q.Push(item(fmt.Sprint(i), 1000), 0); err == nil {
				accepted++
			} else {
				Expect(errors.As(err, &full)).To(BeTrue())
				Expect(full.Reason()).To(Equal(oleanderspool.RetryQueueFull))
				Expect(full.RetryAfter).To(Equal(oleanderspool.Millis(100)))
			}
		}
		Expect(accepted).To(Equal(6))
		other := item("other", 1000)
		other.Account = "b"
		Expect(q.Push(other, 0)).To(Succeed())
	})

	It("refuses items that exceed the engine's memory, and attempts that already wait", func() {
		q := queue.New(queue.WithMemory(5000))
		Expect(refusal(q.Push(item("a", 5001), 0)).Reason).To(Equal(oleanderspool.RefusalPromptTooLong))
		Expect(q.Push(item("b", 1000), 0)).To(Succeed())
		Expect(q.Push(item("b", 1000), 0)).To(MatchError(ContainSubstring("known")))
	})

	It("does not dispatch a cancelled item", func() {
		q := queue.New()
		Expect(q.Push(item("a", 1000), 0)).To(Succeed())
		Expect(q.Cancel("a")).To(BeTrue())
		Expect(q.Cancel("a")).To(BeFalse())
		Expect(q.Next(ampleMemory, 0).Dispatches).To(BeEmpty())
	})
})

// Guards against an exclusive item that shares its engine, or that blocks the
// queue for longer than needed.
var _ = Describe("An exclusive item", func() {
	It("waits for the engine to drain, lets short work overtake it meanwhile, and then runs alone", func() {
		q := queue.New()
		running := item("running", 1000)
		running.OutputTokens = 100
		Expect(q.Push(running, 0)).To(Succeed())
		Expect(q.Next(ampleMemory, 0).Dispatches).To(HaveLen(1))
		q.FirstToken("running", 100)
		trial := item("trial", 1000)
		trial.Exclusive = true
		Expect(q.Push(trial, 100)).To(Succeed())
		Expect(q.Push(item("fits", 2000), 100)).To(Succeed())
		Expect(q.Push(item("late", 90_000), 100)).To(Succeed())
		Expect(dispatched(q.Next(ampleMemory, 100))).To(Equal([]string{"fits"}))
		q.FirstToken("fits", 300)
		q.Finished("fits", 300)
		q.Finished("running", 3000)
		Expect(dispatched(q.Next(ampleMemory, 3000))).To(Equal([]string{"trial"}))
		q.FirstToken("trial", 3100)
		Expect(q.Next(ampleMemory, 3100).Dispatches).To(BeEmpty())
		q.Finished("trial", 3200)
		Expect(dispatched(q.Next(ampleMemory, 3200))).To(Equal([]string{"late"}))
	})
})

var _ = Describe("Observed rate and progress of the engine", func() {
	// Guards against predictions that are based on a wrong prefill rate.
	It("lets the queue estimate the prefill rate and report a slow engine", func() {
		q := queue.New(queue.WithPrefillRate(10))
		now := oleanderspool.Millis(0)
		serve := func(n int, rate int64) {
			for range n {
				Expect(q.Push(item("x", 10_000), now)).To(Succeed())
				Expect(q.Next(ampleMemory, now).Dispatches).To(HaveLen(1))
				now += oleanderspool.Millis(10_000 / rate)
				q.FirstToken("x", now)
				q.Finished("x", now)
			}
		}
		serve(100, 20)
		Expect(q.PrefillRate()).To(BeNumerically("~", 20, 0.2))
		Expect(q.Slow(now)).To(BeFalse())
		serve(30, 5)
		Expect(q.PrefillRate()).To(BeNumerically("~", 5, 1))
		Expect(q.Slow(now)).To(BeTrue())
	})

	// Guards against routers that count long work as delay for short requests.
	It("lets the queue return the prefill work that a prompt of a given length would wait for", func() {
		q := queue.New(queue.WithStepTokens(1000))
		Expect(q.Push(item("long", 200_000), 0)).To(Succeed())
		q.Next(ampleMemory, 0)
		Expect(q.Push(item("short", 500), 0)).To(Succeed())
		Expect(q.WorkAhead(1000, 0)).To(Equal(int64(500)))
		Expect(q.WorkAhead(300_000, 0)).To(Equal(int64(200_500)))
		Expect(q.WorkAhead(300_000, 5000)).To(Equal(int64(150_500)), "progress at 10 tokens/ms")
	})

	It("lets the queue report an engine without progress as slow", func() {
		q := queue.New()
		Expect(q.Push(item("x", 10_000), 0)).To(Succeed())
		q.Next(ampleMemory, 0)
		Expect(q.Slow(6000)).To(BeFalse())
		Expect(q.Slow(6001)).To(BeTrue())
		q.EngineLost(6002)
		Expect(q.Slow(20_000)).To(BeFalse())
	})
})

// Guards against reports that count memory of items that have left the queue.
var _ = Describe("Queue.Load", func() {
	It("reports the work ahead by class of prompt lengths and the memory that waiting items need", func() {
		q := queue.New(queue.WithPrefillRate(10))
		for i, tokens := range []int64{1000, 20_000, 90_000, 200_000} {
			attempt := oleanderspool.AttemptID(fmt.Sprint(i))
			Expect(q.Push(queue.Item{Attempt: attempt, PromptTokens: tokens, MemoryTokens: tokens + 100}, 0)).To(Succeed())
		}
		Expect(q.Load(0).TokensAhead).To(Equal(oleanderspool.TokensAhead{1000, 21_000, 111_000}))
		Expect(q.WaitingMemory()).To(Equal(int64(311_400)))
		for i := range 4 {
			Expect(q.Cancel(oleanderspool.AttemptID(fmt.Sprint(i)))).To(BeTrue())
		}
		Expect(q.WaitingMemory()).To(BeZero())
	})
})

// Guards against a queue that does not know the memory of its engine, so that a
// prompt which can never fit blocks the queue.
var _ = Describe("Queue.SetMemory", func() {
	It("lets the queue refuse items that exceed the engine's memory", func() {
		q := queue.New(queue.WithPrefillRate(10))
		q.SetMemory(1000)
		err := q.Push(queue.Item{Attempt: "a", PromptTokens: 1000, MemoryTokens: 1001}, 0)
		var refusal *oleanderspool.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(oleanderspool.RefusalPromptTooLong))
	})
})
