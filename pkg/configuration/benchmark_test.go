package configuration_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

var benchmarkSizes = []struct{ runners, accounts int }{{20, 10}, {200, 200}, {2000, 2000}, {12_000, 20_000}}

// newFleet returns a configuration with ten models, each served by a tenth of
// the runners.
func newFleet(runners, accounts int) configuration.Configuration {
	var objects []configuration.Object
	objects = append(objects, configuration.Priority{ID: "crew", Level: 10})
	const models = 10
	instances := make([][]oleanderspool.InstanceID, models)
	for i := range runners {
		instances[i%models] = append(instances[i%models], oleanderspool.InstanceID(fmt.Sprintf("runner-%05d", i)))
	}
	for i := range models {
		model := oleanderspool.ModelID(fmt.Sprintf("model-%d", i))
		version := oleanderspool.VersionID(fmt.Sprintf("model-%d-v1", i))
		set := oleanderspool.ServerSetID(fmt.Sprintf("set-%d", i))
		objects = append(objects,
			configuration.Model{ID: model, Version: version, Set: set, MaxPromptTokens: 1_000_000},
			configuration.Version{ID: version, Model: model, Artefact: "weights/" + string(version)},
			configuration.ServerSet{ID: set}.WithInstances(instances[i]...))
	}
	for i := range accounts {
		objects = append(objects, configuration.ClientAccount{
			ID: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", i)), KeyHash: configuration.HashKey(fmt.Sprint(i)),
			Priority: "crew", RequestsPerSec: 10, BurstRequests: 20, ShareOfCapacity: 0.5,
		})
	}
	c, err := configuration.New(configuration.WithObjects(objects...))
	if err != nil {
		panic(err)
	}
	return c
}

// BenchmarkMemory measures the heap memory and the printed size of a
// configuration.
func BenchmarkMemory(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprintf("runners=%d/accounts=%d", n.runners, n.accounts), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := newFleet(n.runners, n.accounts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-B")
				b.ReportMetric(float64(len(c.Print())), "printed-B")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkParse measures the parsing of a printed configuration, which a
// process does with a snapshot when it starts.
func BenchmarkParse(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprintf("runners=%d/accounts=%d", n.runners, n.accounts), func(b *testing.B) {
			data := newFleet(n.runners, n.accounts).Print()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := configuration.Parse("", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChange measures how long it takes to parse and apply a change set
// record. One changes the rate of an account, the other replaces a runner in its
// set.
func BenchmarkChange(b *testing.B) {
	for _, n := range benchmarkSizes {
		base := newFleet(n.runners, n.accounts)
		account, _ := base.ClientAccount("account-00001")
		set, _ := base.ServerSet("set-1")
		replaced := append([]oleanderspool.InstanceID{"runner-99999"}, set.Instances[1:]...)
		for _, c := range []struct {
			name   string
			object configuration.Object
		}{
			{"account", account.WithRate(11, 22)},
			{"set", set.WithInstances(replaced...)},
		} {
			b.Run(fmt.Sprintf("%s/runners=%d", c.name, n.runners), func(b *testing.B) {
				changed, err := base.With(configuration.WithObjects(c.object))
				if err != nil {
					b.Fatal(err)
				}
				data, err := configuration.Diff(base, changed).WithID("change-00000001").Print()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					change, err := configuration.ParseChangeSet("", data)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := base.Apply(change, 2); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "record-B")
			})
		}
	}
}

// BenchmarkAccountChanges measures how long an entry takes to find the changed
// account after a change of one account.
func BenchmarkAccountChanges(b *testing.B) {
	for _, n := range benchmarkSizes {
		before := newFleet(n.runners, n.accounts)
		account, _ := before.ClientAccount("account-00001")
		after, err := before.With(configuration.WithObjects(account.WithRate(11, 22)))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("runners=%d/accounts=%d", n.runners, n.accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if put, _ := after.ClientAccountChanges(before); len(put) != 1 {
					b.Fatal(put)
				}
			}
		})
	}
}

// BenchmarkList measures the listing of all accounts and sets. An entry lists the
// sets of each new configuration.
func BenchmarkList(b *testing.B) {
	for _, n := range benchmarkSizes {
		c := newFleet(n.runners, n.accounts)
		b.Run(fmt.Sprintf("runners=%d/accounts=%d", n.runners, n.accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(c.ClientAccounts()) != n.accounts || len(c.ServerSets()) == 0 {
					b.Fatal("the list is incomplete")
				}
			}
		})
	}
}
