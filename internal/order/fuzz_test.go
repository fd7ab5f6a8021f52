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

// fakeEngine carries out orders. It obeys or ignores fencing numbers.
type fakeEngine struct {
	fencing bool
	highest int64
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
		if !e.loaded[a] && (a.Version != "" || !e.remove(a)) {
			return oleanderspool.ErrInvalid.New("not loaded")
		}
		delete(e.loaded, a)
	case oleanderspool.OrderChangeRole:
		e.role = o.Role
	}
	return nil
}

// remove unloads all versions of a model or adapter.
func (e *fakeEngine) remove(a Artefact) bool {
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

// use is a request in the engine.
type use struct {
	artefact Artefact
	run      int
	planner  *Planner
}

// world is one engine, its agent and the weight store.
type world struct {
	now      oleanderspool.Millis
	engine   *fakeEngine
	planner  *Planner
	current  configuration.Configuration
	revision oleanderspool.Revision
	wanted   DesiredState
	uses     []use
	granted  map[string]int       // permits by source; versions may share an adapter's
	delayed  oleanderspool.Millis // instant before which the weight store gives no permit
	fenced   int64                // last fencing number of this planner
	late     []oleanderspool.Order
	lateDone bool // a late load took effect, which reports need not show
	counts   map[string]int
}

func (w *world) report() oleanderspool.EngineReport {
	running := 0
	for _, u := range w.uses {
		if u.run == w.engine.run {
			running++
		}
	}
	return w.engine.report(running)
}

func (w *world) configure(t *rapid.T) {
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
	w.revision++
	w.current, w.wanted = c, DesiredStateOf(c, "i")
	w.planner.Configure(c, w.revision)
}

// act carries out the next action with the given fault.
func (w *world) act(t *rapid.T, fault string) {
	action := w.planner.Next(w.now)
	switch action.Kind {
	case ActionReserve:
		w.reserve(action.Source, fault)
	case ActionOrder:
		w.check(t, action.Order)
		w.counts[string(action.Order.Kind)]++
		w.planner.OrderAnswered(w.give(action.Order, fault), w.now)
	}
}

func (w *world) reserve(source, fault string) {
	switch {
	case fault != "ok":
		w.planner.ReserveFailed(w.now)
	case w.now < w.delayed:
		w.counts["delayed"]++
		w.planner.Reserved(w.delayed-w.now, w.now)
	default:
		w.granted[source]++
		w.delayed = w.now + 2*oleanderspool.Second
		w.planner.Reserved(0, w.now)
	}
}

// give sends an order and returns what the agent learns.
func (w *world) give(o oleanderspool.Order, fault string) error {
	w.forgetLate(o)
	source := w.planner.wanted.Sources[Artefact{Model: o.Model, Version: o.Version, Adapter: o.Adapter}]
	switch fault {
	case "refused":
		if o.Kind == oleanderspool.OrderLoad {
			w.granted[source]--
		}
		return oleanderspool.ErrUnavailable.New("no room")
	case "lost answer":
		_ = w.engine.apply(o)
		return oleanderspool.ErrUncertain.New("answer lost")
	case "lost order":
		return oleanderspool.ErrUncertain.New("time limit")
	case "late order":
		w.late = append(w.late, o)
		return oleanderspool.ErrUncertain.New("time limit")
	}
	err := w.engine.apply(o)
	if err == nil && o.Kind == oleanderspool.OrderLoad {
		w.granted[source]--
	}
	return err
}

// forgetLate drops late unloads of an artefact, and late changes of the role,
// before the next order about the same. No agent can prevent that an engine
// without fencing obeys an old order after a newer one, and reports do not show
// all of it.
func (w *world) forgetLate(o oleanderspool.Order) {
	w.late = slices.DeleteFunc(w.late, func(l oleanderspool.Order) bool {
		same := l.Kind == o.Kind && l.Kind == oleanderspool.OrderChangeRole
		return same || l.Kind == oleanderspool.OrderUnload && l.Model == o.Model && l.Version == o.Version && l.Adapter == o.Adapter
	})
}

// check compares an order with the rules.
func (w *world) check(t *rapid.T, o oleanderspool.Order) {
	if o.FencingToken <= w.fenced {
		t.Fatalf("fencing number %d after %d", o.FencingToken, w.fenced)
	}
	w.fenced = o.FencingToken
	a := Artefact{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	switch o.Kind {
	case oleanderspool.OrderLoad:
		if w.granted[w.planner.wanted.Sources[a]] <= 0 {
			t.Fatalf("load of %v without a permit", a)
		}
	case oleanderspool.OrderUnload:
		w.checkUnload(t, a)
	}
}

func (w *world) checkUnload(t *rapid.T, a Artefact) {
	if !w.engine.loaded[a] {
		return
	}
	for _, u := range w.uses {
		same := u.artefact.Model == a.Model && (u.artefact.Version == a.Version || u.artefact.Version == "") && (a.Adapter == "" || a.Adapter == u.artefact.Adapter)
		if same && u.run == w.engine.run && u.planner == w.planner {
			t.Fatalf("unload of %v, which a request uses", a)
		}
	}
	wanted, found := w.wanted.version(a.Model)
	if found && !w.engine.loaded[wanted] && w.planner.report.RunID == fmt.Sprint(w.engine.run) {
		t.Fatalf("unload of %v before %v is loaded", a, wanted)
	}
}

func (w *world) acquire(t *rapid.T) {
	if len(w.wanted.Artefacts) == 0 {
		return
	}
	a := rapid.SampledFrom(w.wanted.Artefacts).Draw(t, "artefact")
	got, served := w.planner.Acquire(a.Model, a.Adapter)
	if !served {
		return
	}
	w.counts["acquired"]++
	w.uses = append(w.uses, use{artefact: got, run: w.engine.run, planner: w.planner})
	if w.planner.report.RunID != fmt.Sprint(w.engine.run) {
		return
	}
	if got.Version == "" {
		w.counts["acquired unknown version"]++
		return
	}
	if !w.engine.loaded[got] || !w.engine.loaded[got.base()] {
		t.Fatalf("%v is served but not loaded", got)
	}
}

func (w *world) release(i int) {
	w.uses[i].planner.Release(w.uses[i].artefact)
	w.uses = slices.Delete(w.uses, i, i+1)
}

// settle runs without faults and expects the engine to have what is wanted.
func (w *world) settle(t *rapid.T) {
	for len(w.uses) > 0 {
		w.release(0)
	}
	w.late = nil
	for range 400 {
		w.now += oleanderspool.Second
		w.planner.ObserveReport(w.report(), w.now)
		w.act(t, "ok")
	}
	for _, a := range w.wanted.Artefacts {
		if !w.engine.loaded[a] {
			t.Fatalf("%v is wanted but not loaded", a)
		}
	}
	if w.wanted.Role != "" && w.engine.role != w.wanted.Role {
		t.Fatalf("role %q, want %q", w.engine.role, w.wanted.Role)
	}
	for a := range w.engine.loaded {
		_, modelWanted := w.wanted.version(a.Model)
		hidden := w.lateDone && modelWanted
		if !w.wanted.has(a) && !hidden {
			t.Fatalf("%v is loaded but not wanted", a)
		}
	}
	if len(w.planner.holdings) > 30 {
		t.Fatalf("%d holdings are remembered", len(w.planner.holdings))
	}
}

// Guards against orders that take away what requests use, unload before the
// replacement is there, go around the weight store or repeat fencing numbers,
// and against an engine that does not get what is wanted, under any order of
// faults.
func TestEngineGetsWhatIsWanted(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			engine:  &fakeEngine{fencing: rapid.Bool().Draw(t, "fencing"), loaded: map[Artefact]bool{}},
			granted: map[string]int{}, counts: counts,
		}
		w.planner = NewPlanner("i")
		w.configure(t)
		faults := []string{"ok", "ok", "ok", "refused", "lost answer", "lost order", "late order"}
		reports := []oleanderspool.EngineReport{w.report()}
		taken := []oleanderspool.Millis{0}
		t.Repeat(map[string]func(*rapid.T){
			"configure": w.configure,
			"act":       func(t *rapid.T) { w.act(t, rapid.SampledFrom(faults).Draw(t, "fault")) },
			"work": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "steps") {
					w.now += oleanderspool.Second
					w.act(t, "ok")
				}
			},
			"report": func(t *rapid.T) {
				reports, taken = append(reports, w.report()), append(taken, w.now)
				i := rapid.IntRange(max(0, len(reports)-3), len(reports)-1).Draw(t, "report")
				if w.now-taken[i] < reportLag {
					w.planner.ObserveReport(reports[i], w.now)
				}
			},
			"advance": func(t *rapid.T) { w.now += oleanderspool.Millis(rapid.IntRange(0, 40_000).Draw(t, "span")) },
			"acquire": w.acquire,
			"release": func(t *rapid.T) {
				if len(w.uses) > 0 {
					w.release(rapid.IntRange(0, len(w.uses)-1).Draw(t, "use"))
				}
			},
			"late": func(*rapid.T) {
				if len(w.late) == 0 {
					return
				}
				if w.engine.apply(w.late[0]) == nil && !w.engine.fencing {
					w.lateDone = true
					counts["late"]++
				}
				w.late = w.late[1:]
			},
			"restart engine": func(t *rapid.T) {
				if rapid.IntRange(0, 1).Draw(t, "skip") > 0 {
					return
				}
				w.engine.restart()
				w.late = nil
				reports, taken = []oleanderspool.EngineReport{w.report()}, []oleanderspool.Millis{w.now}
			},
			"restart agent": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "skip") > 0 {
					return
				}
				w.planner, w.fenced = NewPlanner("i"), 0
				w.granted = map[string]int{}
				w.planner.Configure(w.current, w.revision)
				// A report from before the last load hides a version for good,
				// since later reports name only the model.
				reports, taken = []oleanderspool.EngineReport{w.report()}, []oleanderspool.Millis{w.now}
				counts["agent restarted"]++
			},
		})
		w.settle(t)
	})
	t.Log(counts)
	for _, event := range []string{"load", "unload", "change_role", "acquired", "acquired unknown version", "late", "delayed"} {
		if counts[event] == 0 {
			t.Errorf("the run never had: %s", event)
		}
	}
}
