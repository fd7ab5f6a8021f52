package order

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// stockConfiguration returns a configuration in which instance "i" serves the
// given version of the model "stock" with the adapter "pegs".
func stockConfiguration(version oleanderspool.VersionID) configuration.Configuration {
	c, err := configuration.New(
		configuration.WithServerSets(configuration.ServerSet{ID: "s", EngineRole: "mixed"}.WithInstances("i")),
		configuration.WithModels(configuration.Model{ID: "stock", Version: version, Set: "s", MaxPromptTokens: 1}),
		configuration.WithVersions(
			configuration.Version{ID: "v1", Model: "stock", Artefact: "stock/1"},
			configuration.Version{ID: "v2", Model: "stock", Artefact: "stock/2"},
		),
		configuration.WithAdapters(configuration.Adapter{ID: "pegs", Model: "stock", Artefact: "pegs/1"}),
	)
	if err != nil {
		panic(err)
	}
	return c
}

func describe(a Action) string {
	switch a.Kind {
	case ActionRequestPermit:
		return "reserve " + a.Source
	case ActionOrder:
		o := a.Order
		return fmt.Sprintf("%s model=%s version=%s adapter=%s role=%s fencing=%d+%d", o.Kind, o.Model, o.Version, o.Adapter, o.Role, o.FencingToken>>countBits, o.FencingToken&maxCount)
	}
	return fmt.Sprintf("none until %d", a.WakeAt)
}

// Guards against unintended changes of the sequence of actions of a model upgrade.
var _ = Describe("Planner session", func() {
	It("upgrades a model that a request uses", func() {
		var out strings.Builder
		p := NewPlanner("i")
		now := oleanderspool.Millis(0)
		step := func(err error) {
			now += oleanderspool.Second
			a := p.Next(now)
			fmt.Fprintf(&out, "%d: %s\n", now, describe(a))
			switch a.Kind {
			case ActionRequestPermit:
				p.PermitAnswered(0, now)
			case ActionOrder:
				p.OrderAnswered(err, now)
				fmt.Fprintf(&out, "   answer: %v, serving %v\n", err, p.ServedModels())
			}
		}
		steps := func(n int) {
			for range n {
				step(nil)
			}
		}
		steps(1)
		p.Configure(stockConfiguration("v1"), 3)
		steps(1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, now)
		steps(6)
		use, served := p.Acquire("stock", "pegs")
		fmt.Fprintf(&out, "acquired %v %v\n", use, served)
		p.Configure(stockConfiguration("v2"), 7)
		steps(1)
		step(oleanderspool.ErrUncertain.New("answer lost"))
		step(oleanderspool.ErrFenced.New("stale"))
		steps(6)
		p.Release(use)
		out.WriteString("released\n")
		steps(3)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "b"}, now)
		out.WriteString("engine restarted\n")
		steps(6)
		golden.Match("testdata/upgrade.golden", out.String())
	})
})

var _ = Describe("Planner", func() {
	loadAll := func(p *Planner, now oleanderspool.Millis) {
		for range 10 {
			switch p.Next(now).Kind {
			case ActionRequestPermit:
				p.PermitAnswered(0, now)
			case ActionOrder:
				p.OrderAnswered(nil, now)
			}
		}
	}

	// Guards against a change of role that is treated as not done because its answer
	// was lost, so that the former role is not ordered again when it is desired.
	It("orders the former role again after a change with an unknown outcome", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, 0)
		loadAll(p, 0)
		set, _ := stockConfiguration("v1").ServerSet("s")
		changed, err := stockConfiguration("v1").With(configuration.WithServerSets(set.WithEngineRole("decode")))
		Expect(err).NotTo(HaveOccurred())
		p.Configure(changed, 2)
		Expect(p.Next(1).Order.Role).To(Equal("decode"))
		p.OrderAnswered(oleanderspool.ErrUncertain.New("answer lost"), 1)
		p.Configure(stockConfiguration("v1"), 3)
		Expect(p.Next(2).Order.Role).To(Equal("mixed"))
	})

	// Guards against an artefact that still counts as loaded after an order to
	// unload it whose outcome is unknown: when it is desired again, the artefact that it replaces
	// must not be unloaded yet.
	It("does not count an artefact as loaded after an unload with an unknown outcome", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, 0)
		loadAll(p, 0)
		h := p.stateOf(Artefact{Model: "stock", Version: "v1"})
		p.markUncertain(h, oleanderspool.OrderUnload, 0)
		Expect(p.ServedModels()).To(BeEmpty())
		Expect(p.replacementLoaded(Artefact{Model: "stock", Version: "v2"})).To(BeFalse())
	})

	// runOrders carries out all actions, with the given error for orders of the
	// given kind, and returns the artefacts that were ordered to be unloaded.
	runOrders := func(p *Planner, now oleanderspool.Millis, fail oleanderspool.OrderKind, err error) []Artefact {
		var unloads []Artefact
		for range 20 {
			switch a := p.Next(now); a.Kind {
			case ActionRequestPermit:
				p.PermitAnswered(0, now)
			case ActionOrder:
				if a.Order.Kind == oleanderspool.OrderUnload {
					unloads = append(unloads, Artefact{Model: a.Order.Model, Version: a.Order.Version, Adapter: a.Order.Adapter})
				}
				if a.Order.Kind == fail {
					p.OrderAnswered(err, now)
				} else {
					p.OrderAnswered(nil, now)
				}
			}
		}
		return unloads
	}
	v1, v2 := Artefact{Model: "stock", Version: "v1"}, Artefact{Model: "stock", Version: "v2"}
	pegs1, pegs2 := Artefact{Model: "stock", Version: "v1", Adapter: "pegs"}, Artefact{Model: "stock", Version: "v2", Adapter: "pegs"}

	// Guards against an order to unload an adapter without a version, which would
	// unload the desired version too, and against an adapter that is never unloaded
	// because its version was unknown when the engine first reported it.
	It("unloads the undesired versions of artefacts that an earlier agent loaded", func() {
		p := NewPlanner("i")
		bare, err := stockConfiguration("v2").Without(configuration.Ref{Kind: configuration.KindAdapter, ID: "pegs"})
		Expect(err).NotTo(HaveOccurred())
		p.Configure(bare, 1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a", Models: []oleanderspool.ModelID{"stock"}, Adapters: []oleanderspool.AdapterID{"pegs"}}, 0)
		p.Configure(stockConfiguration("v2"), 2)
		Expect(runOrders(p, 0, "", nil)).To(ConsistOf(v1, pegs1))
	})

	// Guards against an order to unload that is repeated forever because its first
	// copy took effect and the engine refuses the repeats.
	It("treats the refused unload of an artefact that is not loaded as done", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, 0)
		loadAll(p, 0)
		p.Configure(stockConfiguration("v2"), 2)
		Expect(runOrders(p, 1, oleanderspool.OrderUnload, oleanderspool.ErrUncertain.New("answer lost"))).To(Equal([]Artefact{pegs1}))
		Expect(runOrders(p, maxRetryDelay, oleanderspool.OrderUnload, oleanderspool.ErrInvalid.New("not loaded"))).To(Equal([]Artefact{pegs1, v1}))
		Expect(runOrders(p, 2*maxRetryDelay, "", nil)).To(BeEmpty())
	})

	// Guards against an artefact that stays loaded unnoticed in a new run of the
	// engine. That can happen if it was loaded after the last report of the old run,
	// or if an order to unload it was not answered, since reports do not name
	// versions.
	It("unloads artefacts whose orders may have reached a new run of the engine", func() {
		cases := []struct {
			name string
			act  func(p *Planner)
			want []Artefact
		}{
			{"loads answered after the last report", func(p *Planner) { loadAll(p, maxRetryDelay) }, []Artefact{pegs1, v1}},
			{"an unload without an answer", func(p *Planner) {
				loadAll(p, maxRetryDelay)
				p.ObserveReport(oleanderspool.EngineReport{RunID: "a", Models: []oleanderspool.ModelID{"stock"}, Adapters: []oleanderspool.AdapterID{"pegs"}}, 2*maxRetryDelay)
				p.Configure(stockConfiguration("v2"), 2)
				runOrders(p, 2*maxRetryDelay, oleanderspool.OrderUnload, oleanderspool.ErrUncertain.New("answer lost"))
			}, []Artefact{pegs1}},
		}
		for _, c := range cases {
			p := NewPlanner("i")
			p.Configure(stockConfiguration("v1"), 1)
			p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, 0)
			c.act(p)
			p.Configure(stockConfiguration("v2"), 3)
			now := 3 * maxRetryDelay
			p.ObserveReport(oleanderspool.EngineReport{RunID: "b"}, now)
			Expect(runOrders(p, now+maxRetryDelay, "", nil)).To(ContainElements(c.want), c.name)
			Expect(p.usable(v2) && p.usable(pegs2)).To(BeTrue(), c.name)
		}
	})

	// Guards against an agent that serves nothing while the weight store is down,
	// although its engine already had the model loaded.
	It("serves models that the engine already has while the weight store is down", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a", Models: []oleanderspool.ModelID{"stock"}}, 0)
		Expect(p.Next(0).Kind).To(Equal(ActionRequestPermit))
		p.PermitFailed(0)
		Expect(p.ServedModels()).To(Equal([]oleanderspool.ModelID{"stock"}))
		a, served := p.Acquire("stock", "")
		Expect(served).To(BeTrue())
		Expect(a).To(Equal(Artefact{Model: "stock"}))
	})

	// Guards against an unload while requests run that the agent did not start.
	It("unloads nothing while the engine reports requests unknown to the agent", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 1)
		report := oleanderspool.EngineReport{RunID: "a", Models: []oleanderspool.ModelID{"other"}, Running: 1}
		p.ObserveReport(report, 0)
		loadAll(p, 0)
		Expect(p.Next(0).Kind).To(Equal(ActionNone))
		report.Running = 0
		p.ObserveReport(report, 1)
		Expect(p.Next(1).Order).To(Equal(oleanderspool.Order{Kind: oleanderspool.OrderUnload, Model: "other", FencingToken: 1<<countBits + 4}))
	})

	// Guards against a load that ignores the delay that the weight store asks for.
	It("waits for the delay that the weight store asks for", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 1)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, 0)
		Expect(p.Next(0).Source).To(Equal("stock/1"))
		p.PermitAnswered(700, 0)
		Expect(p.Next(1).Order.Kind).To(Equal(oleanderspool.OrderChangeRole))
		p.OrderAnswered(nil, 1)
		Expect(p.Next(699)).To(Equal(Action{WakeAt: 700}))
		Expect(p.Next(700).Kind).To(Equal(ActionRequestPermit))
	})

	// Guards against an agent at an old revision whose fencing tokens exceed those
	// of a newer revision, and against an agent that gives up because an earlier
	// agent used higher tokens of the same revision.
	It("raises refused fencing tokens only within its revision", func() {
		p := NewPlanner("i")
		p.Configure(stockConfiguration("v1"), 5)
		p.ObserveReport(oleanderspool.EngineReport{RunID: "a"}, 0)
		now, last := oleanderspool.Millis(0), int64(0)
		for i := 0; !p.Fenced(); i++ {
			Expect(i).To(BeNumerically("<", 200))
			now += maxRetryDelay
			switch a := p.Next(now); a.Kind {
			case ActionRequestPermit:
				p.PermitAnswered(0, now)
			case ActionOrder:
				Expect(a.Order.FencingToken).To(BeNumerically(">", last))
				Expect(a.Order.FencingToken >> countBits).To(Equal(int64(5)))
				last = a.Order.FencingToken
				p.OrderAnswered(oleanderspool.ErrFenced.New("stale"), now)
			}
		}
		Expect(p.Next(now + maxRetryDelay).Kind).To(Equal(ActionNone))
		p.Configure(stockConfiguration("v1"), 4)
		Expect(p.Fenced()).To(BeTrue())
		p.Configure(stockConfiguration("v1"), 6)
		Expect(p.Next(now + maxRetryDelay).Order.FencingToken).To(Equal(int64(6<<countBits + 1)))
	})
})
