package order

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// fakeEngine carries out orders. It checks fencing tokens or ignores them.
type fakeEngine struct {
	fencing bool  // whether it refuses stale fencing tokens
	highest int64 // highest fencing token so far
	loaded  map[Artefact]bool
	role    string
	run     int
}

func (e *fakeEngine) restart() {
	e.run++
	e.loaded, e.role = map[Artefact]bool{}, ""
}

func (e *fakeEngine) apply(o oleanderspool.Order) error {
	if e.fencing && o.FencingToken < e.highest {
		return oleanderspool.ErrFenced.New("%d < %d", o.FencingToken, e.highest)
	}
	e.highest = max(e.highest, o.FencingToken)
	a := Artefact{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	switch o.Kind {
	case oleanderspool.OrderLoad:
		e.loaded[a] = true
	case oleanderspool.OrderUnload:
		if !e.loaded[a] && (a.Version != "" || !e.unloadVersions(a)) {
			return oleanderspool.ErrInvalid.New("not loaded")
		}
		delete(e.loaded, a)
	case oleanderspool.OrderChangeRole:
		e.role = o.Role
	}
	return nil
}

// unloadVersions unloads all versions of a model or adapter and reports whether
// there were any.
func (e *fakeEngine) unloadVersions(a Artefact) bool {
	n := len(e.loaded)
	maps.DeleteFunc(e.loaded, func(l Artefact, _ bool) bool { return sameReported(l, a) })
	return len(e.loaded) < n
}

func (e *fakeEngine) report(running int) oleanderspool.EngineReport {
	r := oleanderspool.EngineReport{RunID: fmt.Sprint(e.run), Running: running}
	for a := range e.loaded {
		if a.Adapter == "" {
			r.Models = append(r.Models, a.Model)
		} else {
			r.Adapters = append(r.Adapters, a.Adapter)
		}
	}
	slices.Sort(r.Models)
	r.Models = slices.Compact(r.Models)
	return r
}

// use is the use of an artefact by a request.
type use struct {
	artefact Artefact
	run      int
	planner  *Planner
}

// simulation has one engine, its agent and the weight store.
type simulation struct {
	now              oleanderspool.Millis
	engine           *fakeEngine
	planner          *Planner
	configuration    configuration.Configuration
	revision         oleanderspool.Revision
	desired          DesiredState
	uses             []use
	permits          map[string]int        // unused permits by source; all versions of an adapter have the same source
	noPermitBefore   oleanderspool.Millis  // instant before which the weight store gives no permit
	lastToken        int64                 // last fencing token of this planner
	lateOrders       []oleanderspool.Order // orders that may still reach the engine
	lateOrderApplied bool                  // an engine without fencing executed a late order, whose effect reports may not show
	counts           map[string]int
}

func (s *simulation) report() oleanderspool.EngineReport {
	running := 0
	for _, u := range s.uses {
		if u.run == s.engine.run {
			running++
		}
	}
	return s.engine.report(running)
}

func (s *simulation) configure(t *rapid.T) {
	role := rapid.SampledFrom([]string{"", "prefill", "decode"}).Draw(t, "role")
	options := []configuration.Option{configuration.WithServerSets(
		configuration.ServerSet{ID: "in", EngineRole: role}.WithInstances("i"),
		configuration.ServerSet{ID: "out"}.WithInstances("j"),
	)}
	for i := range 3 {
		m := oleanderspool.ModelID(fmt.Sprint("m", i))
		versions := []oleanderspool.VersionID{oleanderspool.VersionID(m + "-1"), oleanderspool.VersionID(m + "-2")}
		options = append(options, configuration.WithModels(configuration.Model{
			ID: m, MaxPromptTokens: 1,
			Version: rapid.SampledFrom(versions).Draw(t, "version"),
			Set:     rapid.SampledFrom([]oleanderspool.ServerSetID{"in", "in", "out"}).Draw(t, "set"),
		}))
		for _, v := range versions {
			options = append(options, configuration.WithVersions(configuration.Version{ID: v, Model: m, Artefact: string(v)}))
		}
		if rapid.Bool().Draw(t, "adapter") {
			id := oleanderspool.AdapterID("a-" + m)
			options = append(options, configuration.WithAdapters(configuration.Adapter{ID: id, Model: m, Artefact: string(id)}))
		}
	}
	c, err := configuration.New(options...)
	if err != nil {
		t.Fatal(err)
	}
	s.revision++
	s.configuration, s.desired = c, DesiredStateOf(c, "i")
	s.planner.Configure(c, s.revision)
}

// step carries out the next action with the given fault.
func (s *simulation) step(t *rapid.T, fault string) {
	action := s.planner.Next(s.now)
	switch action.Kind {
	case ActionRequestPermit:
		s.reserve(action.Source, fault)
	case ActionOrder:
		s.check(t, action.Order)
		s.counts[string(action.Order.Kind)]++
		s.planner.OrderAnswered(s.sendOrder(action.Order, fault), s.now)
	}
}

func (s *simulation) reserve(source, fault string) {
	switch {
	case fault != "ok":
		s.planner.PermitFailed(s.now)
	case s.now < s.noPermitBefore:
		s.counts["delayed"]++
		s.planner.PermitAnswered(s.noPermitBefore-s.now, s.now)
	default:
		s.permits[source]++
		s.noPermitBefore = s.now + 2*oleanderspool.Second
		s.planner.PermitAnswered(0, s.now)
	}
}

// sendOrder sends an order to the engine with the given fault and returns the
// result that the agent sees.
func (s *simulation) sendOrder(o oleanderspool.Order, fault string) error {
	s.dropLateOrders(o)
	source := s.planner.desired.Sources[Artefact{Model: o.Model, Version: o.Version, Adapter: o.Adapter}]
	switch fault {
	case "refused":
		if o.Kind == oleanderspool.OrderLoad {
			s.permits[source]--
		}
		return oleanderspool.ErrUnavailable.New("no room")
	case "lost answer":
		_ = s.engine.apply(o)
		return oleanderspool.ErrUncertain.New("answer lost")
	case "lost order":
		return oleanderspool.ErrUncertain.New("time limit")
	case "late order":
		s.lateOrders = append(s.lateOrders, o)
		return oleanderspool.ErrUncertain.New("time limit")
	}
	err := s.engine.apply(o)
	if err == nil && o.Kind == oleanderspool.OrderLoad {
		s.permits[source]--
	}
	return err
}

// dropLateOrders drops late orders to unload the artefact of an order, and late
// changes of the role before another one. No agent can prevent an engine without
// fencing from executing an old order after a newer one, and reports do not show
// all effects of that.
func (s *simulation) dropLateOrders(o oleanderspool.Order) {
	s.lateOrders = slices.DeleteFunc(s.lateOrders, func(l oleanderspool.Order) bool {
		same := l.Kind == o.Kind && l.Kind == oleanderspool.OrderChangeRole
		return same || l.Kind == oleanderspool.OrderUnload && l.Model == o.Model && l.Version == o.Version && l.Adapter == o.Adapter
	})
}

// check checks that an order increases the fencing token, loads only with a
// permit and unloads only what it may.
func (s *simulation) check(t *rapid.T, o oleanderspool.Order) {
	if o.FencingToken <= s.lastToken {
		t.Fatalf("fencing token %d after %d", o.FencingToken, s.lastToken)
	}
	s.lastToken = o.FencingToken
	a := Artefact{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	switch o.Kind {
	case oleanderspool.OrderLoad:
		if s.permits[s.planner.desired.Sources[a]] <= 0 {
			t.Fatalf("load of %v without a permit", a)
		}
	case oleanderspool.OrderUnload:
		s.checkUnload(t, a)
	}
}

func (s *simulation) checkUnload(t *rapid.T, a Artefact) {
	if !s.engine.loaded[a] {
		return
	}
	for _, u := range s.uses {
		same := u.artefact.Model == a.Model && (u.artefact.Version == a.Version || u.artefact.Version == "") && (a.Adapter == "" || a.Adapter == u.artefact.Adapter)
		if same && u.run == s.engine.run && u.planner == s.planner {
			t.Fatalf("unload of %v, which a request uses", a)
		}
	}
	desired, found := s.desired.modelVersion(a.Model)
	if found && !s.engine.loaded[desired] && s.planner.report.RunID == fmt.Sprint(s.engine.run) {
		t.Fatalf("unload of %v before %v is loaded", a, desired)
	}
}

func (s *simulation) acquire(t *rapid.T) {
	if len(s.desired.Artefacts) == 0 {
		return
	}
	a := rapid.SampledFrom(s.desired.Artefacts).Draw(t, "artefact")
	got, served := s.planner.Acquire(a.Model, a.Adapter)
	if !served {
		return
	}
	s.counts["acquired"]++
	s.uses = append(s.uses, use{artefact: got, run: s.engine.run, planner: s.planner})
	if s.planner.report.RunID != fmt.Sprint(s.engine.run) {
		return
	}
	if got.Version == "" {
		s.counts["acquired unknown version"]++
		return
	}
	if !s.engine.loaded[got] || !s.engine.loaded[got.base()] {
		t.Fatalf("%v is served but not loaded", got)
	}
}

func (s *simulation) release(i int) {
	s.uses[i].planner.Release(s.uses[i].artefact)
	s.uses = slices.Delete(s.uses, i, i+1)
}

// settle runs without faults and checks that the engine reaches the desired state.
func (s *simulation) settle(t *rapid.T) {
	for len(s.uses) > 0 {
		s.release(0)
	}
	s.lateOrders = nil
	for range 400 {
		s.now += oleanderspool.Second
		s.planner.ObserveReport(s.report(), s.now)
		s.step(t, "ok")
	}
	for _, a := range s.desired.Artefacts {
		if !s.engine.loaded[a] {
			t.Fatalf("%v is desired but not loaded", a)
		}
	}
	if s.desired.Role != "" && s.engine.role != s.desired.Role {
		t.Fatalf("role %q, want %q", s.engine.role, s.desired.Role)
	}
	for a := range s.engine.loaded {
		_, modelDesired := s.desired.modelVersion(a.Model)
		mayRemain := s.lateOrderApplied && modelDesired
		if !s.desired.has(a) && !mayRemain {
			t.Fatalf("%v is loaded but not desired", a)
		}
	}
	if len(s.planner.artefacts) > 30 {
		t.Fatalf("%d artefacts have a state", len(s.planner.artefacts))
	}
}

// Guards against orders that unload artefacts in use, unload before the
// replacement is loaded, load without a permit of the weight store or reuse
// fencing tokens, and against an engine that does not reach the desired state,
// under any order of faults.
func TestEngineReachesDesiredState(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			engine:  &fakeEngine{fencing: rapid.Bool().Draw(t, "fencing"), loaded: map[Artefact]bool{}},
			permits: map[string]int{}, counts: counts,
		}
		s.planner = NewPlanner("i")
		s.configure(t)
		faults := []string{"ok", "ok", "ok", "refused", "lost answer", "lost order", "late order"}
		reports := []oleanderspool.EngineReport{s.report()}
		reportedAt := []oleanderspool.Millis{0}
		t.Repeat(map[string]func(*rapid.T){
			"configure":      s.configure,
			"act with fault": func(t *rapid.T) { s.step(t, rapid.SampledFrom(faults).Draw(t, "fault")) },
			"steps without faults": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "steps") {
					s.now += oleanderspool.Second
					s.step(t, "ok")
				}
			},
			"report": func(t *rapid.T) {
				reports, reportedAt = append(reports, s.report()), append(reportedAt, s.now)
				i := rapid.IntRange(max(0, len(reports)-3), len(reports)-1).Draw(t, "report")
				if s.now-reportedAt[i] < reportLag {
					s.planner.ObserveReport(reports[i], s.now)
				}
			},
			"advance": func(t *rapid.T) { s.now += oleanderspool.Millis(rapid.IntRange(0, 40_000).Draw(t, "duration")) },
			"acquire": s.acquire,
			"release": func(t *rapid.T) {
				if len(s.uses) > 0 {
					s.release(rapid.IntRange(0, len(s.uses)-1).Draw(t, "use"))
				}
			},
			"late order": func(*rapid.T) {
				if len(s.lateOrders) == 0 {
					return
				}
				if s.engine.apply(s.lateOrders[0]) == nil && !s.engine.fencing {
					s.lateOrderApplied = true
					counts["late order"]++
				}
				s.lateOrders = s.lateOrders[1:]
			},
			"restart engine": func(t *rapid.T) {
				if rapid.IntRange(0, 1).Draw(t, "skip") > 0 {
					return
				}
				s.engine.restart()
				s.lateOrders = nil
				reports, reportedAt = []oleanderspool.EngineReport{s.report()}, []oleanderspool.Millis{s.now}
			},
			"restart agent": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "skip") > 0 {
					return
				}
				s.planner, s.lastToken = NewPlanner("i"), 0
				s.permits = map[string]int{}
				s.planner.Configure(s.configuration, s.revision)
				// Older reports are dropped: one from before the last load would
				// hide a version for good, since later reports name only the model.
				reports, reportedAt = []oleanderspool.EngineReport{s.report()}, []oleanderspool.Millis{s.now}
				counts["agent restarted"]++
			},
		})
		s.settle(t)
	})
	t.Log(counts)
	for _, event := range []string{"load", "unload", "change_role", "acquired", "acquired unknown version", "late order", "delayed"} {
		if counts[event] == 0 {
			t.Errorf("event never occurred: %s", event)
		}
	}
}
