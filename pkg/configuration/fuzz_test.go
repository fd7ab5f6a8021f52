package configuration_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func drawID(t *rapid.T, prefix string) string {
	return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 2).Draw(t, prefix))
}

// drawObject draws an object with one of few ids, so that references may be
// dangling, valid or conflicting.
func drawObject(t *rapid.T) configuration.Object {
	model := oleanderspool.ModelID(drawID(t, "m"))
	version := oleanderspool.VersionID(drawID(t, "v"))
	set := oleanderspool.ServerSetID(drawID(t, "s"))
	priority := oleanderspool.PriorityID(drawID(t, "p"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return configuration.Model{ID: model, Version: version, Set: set, MaxPromptTokens: 1000}
	case 1:
		return configuration.Version{ID: version, Model: model, Artefact: "w/1"}
	case 2:
		return configuration.Adapter{ID: oleanderspool.AdapterID(drawID(t, "a")), Model: model, Artefact: "a/1"}
	case 3:
		return configuration.ClientAccount{
			ID: oleanderspool.ClientAccountID(drawID(t, "c")), Priority: priority, ShareOfCapacity: 1,
			KeyHash: configuration.HashKey(drawID(t, "k")),
		}
	case 4:
		return configuration.Priority{ID: priority, Level: rapid.IntRange(0, 9).Draw(t, "level")}
	case 5:
		role := rapid.SampledFrom([]string{"", "prefill", "decode"}).Draw(t, "role")
		instance := oleanderspool.InstanceID(drawID(t, "i"))
		return configuration.ServerSet{ID: set, EngineRole: role}.WithInstances(instance, "shared")
	default:
		return configuration.ServiceRoute{ID: oleanderspool.RouteID(drawID(t, "r")), Set: set}
	}
}

// drawChange draws a change set of puts and deletes of distinct objects.
func drawChange(t *rapid.T, base configuration.Configuration) configuration.ChangeSet {
	change := configuration.ChangeSet{ID: "change"}
	used := map[configuration.Ref]bool{}
	for range rapid.IntRange(1, 6).Draw(t, "count") {
		o := drawObject(t)
		ref := o.Ref()
		if used[ref] {
			continue
		}
		used[ref] = true
		_, found := base.Object(ref)
		if found && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, configuration.Delete{Ref: ref, Revision: base.Revision(ref)})
			continue
		}
		change.Puts = append(change.Puts, configuration.Put{Object: o, Revision: base.Revision(ref)})
	}
	return change
}

// baseConfiguration returns a configuration in which every kind of reference has
// a valid target, since random objects alone seldom form a valid model.
func baseConfiguration() configuration.Configuration {
	c, err := configuration.New(
		configuration.WithModels(
			configuration.Model{ID: "m0", Version: "v0", Set: "s0", MaxPromptTokens: 1},
			configuration.Model{ID: "m1", Version: "v1", Set: "s1", MaxPromptTokens: 1},
		),
		configuration.WithVersions(
			configuration.Version{ID: "v0", Model: "m0", Artefact: "w"},
			configuration.Version{ID: "v1", Model: "m1", Artefact: "w"},
		),
		configuration.WithServerSets(configuration.ServerSet{ID: "s0"}, configuration.ServerSet{ID: "s1"}),
		configuration.WithPriorities(configuration.Priority{ID: "p0"}, configuration.Priority{ID: "p1"}),
	)
	if err != nil {
		panic(err)
	}
	return c
}

// rebuild creates the result of a change set from all objects, which checks
// every object and rebuilds every index.
func rebuild(base configuration.Configuration, change configuration.ChangeSet) (configuration.Configuration, error) {
	objects := map[configuration.Ref]configuration.Object{}
	for _, o := range base.Objects() {
		objects[o.Ref()] = o
	}
	for _, put := range change.Puts {
		objects[put.Object.Ref()] = put.Object
	}
	for _, del := range change.Deletes {
		delete(objects, del.Ref)
	}
	var list []configuration.Object
	for _, o := range objects {
		list = append(list, o)
	}
	return configuration.New(configuration.WithObjects(list...))
}

// Guards against an incremental check of a change that accepts what a full check
// rejects or vice versa, and against indexes that diverge from the objects.
func TestApplyMatchesFullCheck(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		current := baseConfiguration()
		for i := range 30 {
			change := drawChange(t, current)
			next, err := current.Apply(change, oleanderspool.Revision(i+1))
			want, wantErr := rebuild(current, change)
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("change %+v: got %v, want %v", change, err, wantErr)
			}
			if err != nil {
				rejected++
				continue
			}
			accepted++
			if !equalPrint(withoutRevisions(next), want) {
				t.Fatalf("got %s, want %s", next.Print(), want.Print())
			}
			checkLookups(t, next, want)
			current = next
		}
		reparsed, err := configuration.Parse("", current.Print())
		if err != nil || !equalPrint(reparsed, current) {
			t.Fatalf("parsing the printed configuration: %v", err)
		}
	})
	if accepted == 0 || rejected == 0 {
		t.Fatalf("changes must be both accepted and rejected: accepted %d, rejected %d", accepted, rejected)
	}
}

func equalPrint(a, b configuration.Configuration) bool {
	return string(a.Print()) == string(b.Print())
}

func withoutRevisions(c configuration.Configuration) configuration.Configuration {
	for _, o := range c.Objects() {
		c = c.WithRevision(o.Ref(), 0)
	}
	return c
}

func checkLookups(t *rapid.T, got, want configuration.Configuration) {
	for i := range 3 {
		hash := configuration.HashKey(fmt.Sprintf("k%d", i))
		a, foundA := got.AccountByKeyHash(hash)
		b, foundB := want.AccountByKeyHash(hash)
		if a != b || foundA != foundB {
			t.Fatalf("key %d: got %v, want %v", i, a, b)
		}
		instance := oleanderspool.InstanceID(fmt.Sprintf("i%d", i))
		if a, b := fmt.Sprint(got.SetsOf(instance)), fmt.Sprint(want.SetsOf(instance)); a != b {
			t.Fatalf("sets of %s: got %v, want %v", instance, a, b)
		}
	}
}

// Guards against a difference that omits a change, or that cannot be printed and
// parsed again.
func TestDiffLeadsToNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := [2]configuration.Configuration{baseConfiguration()}
		for i := range versions {
			versions[i] = versions[0]
			for j := range 10 {
				versions[i], _ = versions[i].Apply(drawChange(t, versions[i]), oleanderspool.Revision(i*10+j+1))
			}
		}
		base, next := versions[0], versions[1]
		change := configuration.Diff(base, withoutRevisions(next)).WithID("d")
		if change.Empty() {
			return
		}
		data, err := change.Print()
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := configuration.ParseChangeSet("", data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := base.Apply(parsed, 99)
		if err != nil || !equalPrint(withoutRevisions(got), withoutRevisions(next)) {
			t.Fatalf("%v\ngot %s\nwant %s", err, got.Print(), next.Print())
		}
	})
}
