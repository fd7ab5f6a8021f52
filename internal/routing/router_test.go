package routing_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/routing"
)

// runner returns a model runner in set "set" that serves model "m", prefills 10 tokens
// per millisecond and reported at 1000 ms.
func runner(id string, change func(b *oleanderspool.BackendServer)) oleanderspool.BackendServer {
	b := oleanderspool.BackendServer{
		Instance: oleanderspool.InstanceID(id), DataCentre: "near", Revision: 7, ReportedAt: 1000,
		Sets: []oleanderspool.ServerSetID{"set"}, Models: []oleanderspool.ModelID{"m"},
		Load: oleanderspool.Load{CapacityTokens: 100_000, FreeTokens: 100_000, PrefillRate: 10},
	}
	if change != nil {
		change(&b)
	}
	return b
}

// queued returns a change that queues prompts of the shortest class.
func queued(tokens int64) func(*oleanderspool.BackendServer) {
	return func(b *oleanderspool.BackendServer) {
		b.Load.QueuedTokens, b.Load.TokensAhead = tokens, oleanderspool.TokensAhead{tokens, tokens, tokens}
	}
}

// queuedLong returns a change that queues prompts above all class bounds.
func queuedLong(tokens int64) func(*oleanderspool.BackendServer) {
	return func(b *oleanderspool.BackendServer) { b.Load.QueuedTokens = tokens }
}

func runners(n int) []oleanderspool.BackendServer {
	list := make([]oleanderspool.BackendServer, n)
	for i := range list {
		list[i] = runner(fmt.Sprintf("runner-%05d", i), queued(int64(i%7)*100))
	}
	return list
}

func prompt(text string) oleanderspool.Request {
	return oleanderspool.Request{
		Account: "account", Model: "m", Prompt: text, PromptTokens: 2000, MaxTokens: 100,
		Fingerprint: oleanderspool.Fingerprint(routing.Hash(text)),
	}
}

func newRouter(options ...routing.Option) *routing.Router {
	return routing.NewRouter(append([]routing.Option{
		routing.WithSets(func(oleanderspool.Request) (oleanderspool.ServerSetID, bool) { return "set", true }),
		routing.WithRequiredRevision(func(oleanderspool.Request) oleanderspool.Revision { return 7 }),
		routing.WithLatencies(map[oleanderspool.DataCentreID]float64{"near": 0, "far": 2}),
	}, options...)...)
}

const now oleanderspool.Millis = 1100

var _ = Describe("Router", func() {
	excludedCases := []struct {
		name   string // the server that must not be chosen
		change func(b *oleanderspool.BackendServer)
	}{
		{"a server without the model", func(b *oleanderspool.BackendServer) { b.Models = nil }},
		{"a server outside the set", func(b *oleanderspool.BackendServer) { b.Sets = nil }},
		{"a leaving server", func(b *oleanderspool.BackendServer) { b.Leaving = true }},
		{"a server whose last report is too old", func(b *oleanderspool.BackendServer) { b.ReportedAt = now - 2501 }},
		{"a server with an outdated configuration", func(b *oleanderspool.BackendServer) { b.Revision = 6 }},
		{"a server whose memory is too small", func(b *oleanderspool.BackendServer) { b.Load.CapacityTokens = 2099 }},
		{"a server of another role", func(b *oleanderspool.BackendServer) { b.Role = oleanderspool.RoleService }},
	}
	for _, c := range excludedCases {
		It("does not choose "+c.name, func() {
			_, found := newRouter().Route(prompt("p"), []oleanderspool.BackendServer{runner("s", c.change)}, now)
			Expect(found).To(BeFalse())
		})
	}

	// Guards against a retry on a server that failed.
	It("does not choose a tried server", func() {
		list := []oleanderspool.BackendServer{runner("s", nil), runner("t", queued(90_000))}
		b, found := newRouter().RouteExcept(prompt("p"), list, []oleanderspool.InstanceID{"s"}, now)
		Expect(found).To(BeTrue())
		Expect(b.Instance).To(Equal(oleanderspool.InstanceID("t")))
	})

	// Guards against retries without a server left, and wrong expected delays.
	It("counts the untried servers that may run a request, and expects the delay of queue, prefill and round trip", func() {
		list := []oleanderspool.BackendServer{runner("s", nil), runner("t", queued(5000)), runner("u", nil)}
		list[2].Leaving = true
		Expect(newRouter().CountExcept(prompt("p"), list, []oleanderspool.InstanceID{"s"}, 9, now)).To(Equal(1))
		Expect(newRouter().CountExcept(prompt("p"), list, nil, 1, now)).To(Equal(1))
		list[1].DataCentre = "far"
		Expect(newRouter().ExpectedDelay(prompt("p"), list[1], now)).To(Equal(oleanderspool.Millis(705)))
	})

	scorerCases := []struct {
		name    string // the property that must decide
		other   func(b *oleanderspool.BackendServer)
		prepare func(r *routing.Router)
	}{
		{"queued tokens", queued(60_000), nil},
		{"work of longer length classes", queuedLong(60_000), nil},
		{"the prefill rate", func(b *oleanderspool.BackendServer) { b.Load.PrefillRate = 1 }, nil},
		{"free memory", func(b *oleanderspool.BackendServer) { b.Load.FreeTokens = 0 }, nil},
		{"the network latency", func(b *oleanderspool.BackendServer) { b.DataCentre = "elsewhere" }, nil},
		{"slowness", nil, func(r *routing.Router) {
			for range 8 {
				r.Slowness().Observe("other", 200, 2000, now)
			}
		}},
		{"assignments since the last report", nil, func(r *routing.Router) {
			for i := range 10 {
				r.Assignments().Start(oleanderspool.AttemptID(fmt.Sprint(i)), prompt("else"), "other", now)
			}
		}},
	}
	for _, c := range scorerCases {
		It("chooses the server by "+c.name+" if nothing else differs", func() {
			router := newRouter(routing.WithAffinity(0, 0), routing.WithJitter(0))
			if c.prepare != nil {
				c.prepare(router)
			}
			list := []oleanderspool.BackendServer{runner("other", c.other), runner("s", nil)}
			b, _ := router.Route(prompt("p"), list, now)
			Expect(b.Instance).To(Equal(oleanderspool.InstanceID("s")))
		})
	}

	// Guards against assignments that are counted twice once they are reported.
	It("does not count assignments that a report contains", func() {
		a := routing.NewAssignments(8, 5)
		a.Start("1", prompt("p"), "s", 100)
		b := runner("s", nil)
		Expect(a.Cost(prompt("p"), b.WithLoad(b.Load, 120), 130)).To(BeNumerically(">", 0))
		Expect(a.Cost(prompt("p"), b.WithLoad(b.Load, 200), 210)).To(BeZero())
		a.End("1")
		a.End("1")
		Expect(a.InProgress("s")).To(BeEmpty())
	})

	// Guards against assignments that are not counted because a report arrived late.
	It("counts assignments made since a late report was taken", func() {
		a := routing.NewAssignments(8, 5)
		a.Start("1", prompt("p"), "s", 100)
		b := runner("s", nil)
		b = b.WithLoad(b.Load, 3100)
		Expect(a.Cost(prompt("p"), b, 3100)).To(BeZero())
		b.ReportAge = 3000
		Expect(a.Cost(prompt("p"), b, 3100)).To(Equal(200.0))
	})

	classes := []struct {
		name           string
		tokens         int
		other          func(*oleanderspool.BackendServer)
		assignedTokens int // tokens of an assignment on the other server
		want           oleanderspool.InstanceID
	}{
		{"a short prompt to a server with long work rather than one with short work", 2000, queuedLong(90_000), 0, "other"},
		{"a short prompt to a server with a long assignment rather than one with short work", 2000, nil, 90_000, "other"},
		{"a short prompt to a server where longer requests wait for memory", 2000, func(b *oleanderspool.BackendServer) { b.Load.FreeTokens = 0 }, 0, "other"},
		{"a long prompt to a server with short work rather than one without enough free memory", 50_000, func(b *oleanderspool.BackendServer) { b.Load.FreeTokens = 55_000 }, 0, "s"},
		{"a long prompt to a server with short work rather than one whose memory is taken by an assignment", 20_000, nil, 80_000, "s"},
		{"a long prompt to a server with short work rather than one with long work", 50_000, func(b *oleanderspool.BackendServer) {
			queuedLong(90_000)(b)
			b.Load.TokensAhead = oleanderspool.TokensAhead{0, 0, 90_000}
		}, 0, "s"},
	}
	for _, c := range classes {
		// Guards against prompts that avoid servers because of work that they do not wait
		// for.
		It("sends "+c.name, func() {
			router := newRouter(routing.WithAffinity(0, 0), routing.WithJitter(0))
			if c.assignedTokens > 0 {
				router.Assignments().Start("1", oleanderspool.Request{PromptTokens: c.assignedTokens}, "other", now)
			}
			q := prompt("p")
			q.PromptTokens = c.tokens
			b, _ := router.Route(q, []oleanderspool.BackendServer{runner("s", queued(3000)), runner("other", c.other)}, now)
			Expect(b.Instance).To(Equal(c.want))
		})
	}

	// Guards against a slow server that is never tried again.
	It("lets measured slowness decay", func() {
		s := routing.NewSlowness(8)
		s.Observe("s", 100, 2000, 0)
		Expect(s.Ratio("s", 0)).To(BeNumerically("~", 6.7, 0.01))
		Expect(s.Ratio("s", 30_000)).To(BeNumerically("~", 3.85, 0.01))
		s.Forget("s")
		Expect(s.Ratio("s", 0)).To(Equal(1.0))
	})

	// Guards against a burst of requests after which every server counts as slow,
	// although avoiding them all gains nothing.
	It("finds no server slow when all take longer than expected", func() {
		s := routing.NewSlowness(8)
		for i := range 400 {
			s.Observe(oleanderspool.InstanceID(fmt.Sprint(i%20)), 100, 1000, now)
		}
		Expect(s.Cost(prompt("p"), runner("1", nil), now)).To(BeZero())
		for range 8 {
			s.Observe("1", 100, 1, now)
			s.Observe("slow", 100, 2000, now)
		}
		Expect(s.Cost(prompt("p"), runner("slow", nil), now)).To(BeNumerically(">", 0))
	})

	for _, n := range []int{20, 200, 2000} {
		// Guards against copies of a request that crash several servers at once.
		It(fmt.Sprintf("sends equal requests to the same one of %d servers, through any entry", n), func() {
			list := runners(n)
			for i := range list {
				queued(0)(&list[i])
			}
			for i := range 50 {
				q := prompt(fmt.Sprintf("prompt %d", i))
				first, _ := newRouter(routing.WithSeed(1)).Route(q, list, now)
				second, _ := newRouter(routing.WithSeed(2)).Route(q, list, now)
				Expect(second.Instance).To(Equal(first.Instance))
			}
		})
	}

	// Guards against copies of a request that go to several servers because the first
	// one became busy.
	It("sends a copy to the server that runs the fingerprint, whatever the load", func() {
		router := newRouter()
		list := runners(20)
		first, _ := router.Route(prompt("p"), list, now)
		router.Assignments().Start("1", prompt("p"), first.Instance, now)
		for i := range list {
			if list[i].Instance == first.Instance {
				queued(90_000)(&list[i])
			}
		}
		during, _ := router.Route(prompt("p"), list, now)
		Expect(during.Instance).To(Equal(first.Instance))
		router.Assignments().End("1")
		after, _ := router.Route(prompt("p"), list, now)
		Expect(after.Instance).NotTo(Equal(first.Instance))
	})

	// Guards against affinity that outweighs any queue, and affinity without effect.
	It("prefers a cached prefix to a shorter queue up to the bound of affinity", func() {
		list := runners(20)
		for i := range list {
			queued(0)(&list[i])
		}
		preferred, _ := newRouter(routing.WithAffinity(1024, 500), routing.WithJitter(0)).Route(prompt("p"), list, now)
		cases := []struct {
			queue int64
			stays bool
		}{{400, true}, {2000, false}}
		for _, c := range cases {
			for i := range list {
				if list[i].Instance == preferred.Instance {
					queued(c.queue)(&list[i])
				}
			}
			b, _ := newRouter(routing.WithAffinity(1024, 500), routing.WithJitter(0)).Route(prompt("p"), list, now)
			Expect(b.Instance == preferred.Instance).To(Equal(c.stays), "queue %d", c.queue)
		}
	})

	// Guards against a prefix that is prefilled again although a server other than the
	// preferred ones was recently sent it, and against one that is tracked for
	// longer than engines cache it.
	It("prefers servers that were recently sent the prefix", func() {
		router := newRouter(routing.WithJitter(0))
		list := runners(20)
		for i := range list {
			queued(0)(&list[i])
		}
		preferred, _ := router.Route(prompt("p"), list, now)
		other := list[slices.IndexFunc(list, func(b oleanderspool.BackendServer) bool { return b.Instance != preferred.Instance })]
		router.Assignments().Start("1", prompt("p"), other.Instance, now-500)
		router.Assignments().End("1")
		queued(200)(&list[slices.IndexFunc(list, func(b oleanderspool.BackendServer) bool { return b.Instance == preferred.Instance })])
		b, _ := router.Route(prompt("p"), list, now)
		Expect(b.Instance).To(Equal(other.Instance))
		for i := range list {
			list[i].ReportedAt += oleanderspool.Minute
		}
		b, _ = router.Route(prompt("p"), list, now+oleanderspool.Minute)
		Expect(b.Instance).To(Equal(preferred.Instance))
	})

	// Guards against a table of prefixes that grows without bound.
	It("bounds the memory for recent prefixes", func() {
		var before, after runtime.MemStats
		a := routing.NewAssignments(8, 5)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 100_000 {
			id := oleanderspool.AttemptID(fmt.Sprint(i))
			a.Start(id, prompt(string(id)), "s", oleanderspool.Millis(i))
			a.End(id)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 4<<20))
		runtime.KeepAlive(a)
	})

	// Guards against a sample that contains only servers that may not be chosen.
	It("finds the only allowed one of many candidates", func() {
		list := runners(2000)
		for i := range list {
			list[i].Leaving = i != 1234
		}
		b, found := newRouter(routing.WithAffinity(1024, 500), routing.WithJitter(0)).Route(prompt("p"), list, now)
		Expect(found).To(BeTrue())
		Expect(b.Instance).To(Equal(list[1234].Instance))
	})

	// Guards against all requests between two reports going to one server.
	It("distributes different prompts over servers with a stale report", func() {
		router := newRouter()
		list := runners(20)
		counts := make(map[oleanderspool.InstanceID]int)
		for i := range 200 {
			q := prompt(fmt.Sprintf("prompt %d", i))
			b, _ := router.Route(q, list, now)
			router.Assignments().Start(oleanderspool.AttemptID(fmt.Sprint(i)), q, b.Instance, now)
			counts[b.Instance]++
		}
		for id, n := range counts {
			Expect(n).To(BeNumerically("<=", 20), string(id))
		}
		Expect(counts).To(HaveLen(20))
	})
})

var _ = Describe("PlanGroup", func() {
	sized := func(id, dc string, size, free int64) oleanderspool.BackendServer {
		return runner(id, func(b *oleanderspool.BackendServer) {
			b.DataCentre = oleanderspool.DataCentreID(dc)
			b.Load.CapacityTokens, b.Load.FreeTokens = size, free
		})
	}
	cases := []struct {
		name    string
		servers []oleanderspool.BackendServer
		want    []oleanderspool.InstanceID
	}{
		{"one server that can hold the prompt", []oleanderspool.BackendServer{sized("a", "near", 300, 0)}, []oleanderspool.InstanceID{"a"}},
		{"the fewest servers", []oleanderspool.BackendServer{
			sized("a", "near", 100, 100), sized("b", "near", 100, 100), sized("c", "near", 250, 0), sized("d", "near", 60, 60),
		}, []oleanderspool.InstanceID{"a", "c"}},
		{"no group across data centres", []oleanderspool.BackendServer{sized("a", "near", 200, 200), sized("b", "far", 200, 200)}, nil},
		{"the nearer group", []oleanderspool.BackendServer{
			sized("a", "far", 200, 200), sized("b", "far", 200, 200), sized("c", "near", 200, 0), sized("d", "near", 200, 0),
		}, []oleanderspool.InstanceID{"c", "d"}},
		{"the members with the most free memory", []oleanderspool.BackendServer{
			sized("a", "near", 200, 0), sized("b", "near", 160, 160), sized("c", "near", 160, 150),
		}, []oleanderspool.InstanceID{"b", "c"}},
	}
	for _, c := range cases {
		It("plans "+c.name, func() {
			q := prompt("p")
			q.PromptTokens, q.MaxTokens = 290, 10
			members, found := newRouter().PlanGroup(q, c.servers, nil, now)
			Expect(found).To(Equal(c.want != nil))
			var got []oleanderspool.InstanceID
			for _, b := range members {
				got = append(got, b.Instance)
			}
			Expect(got).To(Equal(c.want))
		})
	}
})

var sizes = []int{20, 200, 2000, 12000}

func BenchmarkRoute(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			router, list := newRouter(), runners(n)
			prompts := make([]oleanderspool.Request, 64)
			for i := range prompts {
				prompts[i] = prompt(fmt.Sprintf("prompt %d", i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, found := router.Route(prompts[i%len(prompts)], list, now); !found {
					b.Fatal("no server")
				}
				i++
			}
		})
	}
}
