package configuration_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func valid() []configuration.Object {
	return []configuration.Object{
		configuration.Model{ID: "m", Version: "v", Set: "s", MaxPromptTokens: 1},
		configuration.Version{ID: "v", Model: "m", Artefact: "w/1"},
		configuration.Priority{ID: "p"},
		configuration.ServerSet{ID: "s"}.WithInstances("i"),
	}
}

// Guards against checks that let an invalid object in or name a wrong place.
var _ = Describe("With", func() {
	account := configuration.ClientAccount{ID: "a", KeyHash: configuration.HashKey("k"), Priority: "p", ShareOfCapacity: 1}
	cases := []struct {
		name    string
		objects []configuration.Object
		want    []string
	}{
		{"dangling references", []configuration.Object{configuration.Model{ID: "n", Version: "x", Set: "y", MaxPromptTokens: 1}}, []string{"models.n.version", "models.n.set"}},
		{"a version of another model", []configuration.Object{configuration.Model{ID: "n", Version: "v", Set: "s", MaxPromptTokens: 1}}, []string{"models.n.version"}},
		{"a version in service that moves", []configuration.Object{configuration.Model{ID: "n", Version: "v2", Set: "s", MaxPromptTokens: 1}, configuration.Version{ID: "v2", Model: "n", Artefact: "w"}, configuration.Version{ID: "v", Model: "n", Artefact: "w"}}, []string{"models.m.version|versions.v.model"}},
		{"an empty id", []configuration.Object{configuration.Priority{}}, []string{`priorities."".id`}},
		{"a bad character", []configuration.Object{configuration.Priority{ID: "a b"}}, []string{`priorities."a b".id`}},
		{"a bad level", []configuration.Object{configuration.Priority{ID: "q", Level: 101}}, []string{"priorities.q.level"}},
		{"a bad artefact", []configuration.Object{configuration.Adapter{ID: "a", Model: "m", Artefact: "/x"}}, []string{"adapters.a.artefact"}},
		{"numbers that are not finite", []configuration.Object{account.WithShare(math.NaN()).WithRate(math.Inf(1), 1)}, []string{"client_accounts.a.requests_per_sec", "client_accounts.a.share_of_capacity"}},
		{"a rate without burst", []configuration.Object{account.WithRate(1, 0)}, []string{"client_accounts.a.burst_requests"}},
		{"a key used twice", []configuration.Object{account, configuration.ClientAccount{ID: "b", KeyHash: account.KeyHash, Priority: "p", ShareOfCapacity: 1}}, []string{"client_accounts.b.key_hash"}},
		{"a key that is no hash", []configuration.Object{account.WithKeyHash("K")}, []string{"client_accounts.a.key_hash"}},
		{"an instance listed twice", []configuration.Object{configuration.ServerSet{ID: "s"}.WithInstances("i", "i")}, []string{"server_sets.s.instances"}},
		{"two engine roles", []configuration.Object{configuration.ServerSet{ID: "s", EngineRole: "decode"}.WithInstances("i"), configuration.ServerSet{ID: "t", EngineRole: "prefill"}.WithInstances("i")}, []string{"server_sets.s.engine_role", "server_sets.t.engine_role"}},
		{"an object given twice", []configuration.Object{account, account}, []string{"client_accounts.a"}},
		{"a nil object", []configuration.Object{nil}, []string{""}},
	}
	for _, c := range cases {
		It("reports "+c.name, func() {
			base, err := configuration.New(configuration.WithObjects(valid()...))
			Expect(err).NotTo(HaveOccurred())
			next, err := base.With(configuration.WithObjects(c.objects...))
			Expect(err).To(HaveOccurred())
			var keys []string
			for _, f := range configuration.FindingsOf(err) {
				keys = append(keys, f.Key)
			}
			if len(c.want) == 1 {
				Expect(keys).To(ContainElement(MatchRegexp("^("+c.want[0]+")$")), "%v", err)
			} else {
				Expect(keys).To(Equal(c.want))
			}
			Expect(next.Print()).To(Equal(base.Print()))
		})
	}

	It("takes objects by pointer", func() {
		p := configuration.Priority{ID: "p"}
		c, err := configuration.New(configuration.WithObjects(&p))
		Expect(err).NotTo(HaveOccurred())
		_, found := c.Priority("p")
		Expect(found).To(BeTrue())
	})

	It("exchanges the keys of two accounts in one change", func() {
		other := configuration.ClientAccount{ID: "b", KeyHash: configuration.HashKey("l"), Priority: "p", ShareOfCapacity: 1}
		base, err := configuration.New(configuration.WithObjects(append(valid(), account, other)...))
		Expect(err).NotTo(HaveOccurred())
		next, err := base.With(configuration.WithClientAccounts(account.WithKeyHash(other.KeyHash), other.WithKeyHash(account.KeyHash)))
		Expect(err).NotTo(HaveOccurred())
		found, _ := next.AccountByKey("k")
		Expect(found.ID).To(Equal(other.ID))
	})
})

// Guards against changes made against an object that has changed since.
var _ = Describe("Apply", func() {
	cases := []struct {
		name   string
		change configuration.ChangeSet
		want   string
	}{
		{"a stale put", configuration.ChangeSet{ID: "c", Puts: []configuration.Put{{Object: configuration.Priority{ID: "p"}, Revision: 4}}}, "priorities.p.revision: made against revision 4, but the current one is 5"},
		{"a put of an object that exists", configuration.ChangeSet{ID: "c", Puts: []configuration.Put{{Object: configuration.Priority{ID: "p"}}}}, "priorities.p.revision: made against revision 0"},
		{"a put of a deleted object", configuration.ChangeSet{ID: "c", Puts: []configuration.Put{{Object: configuration.Priority{ID: "q"}, Revision: 5}}}, "the object does not exist"},
		{"a stale delete", configuration.ChangeSet{ID: "c", Deletes: []configuration.Delete{{Ref: configuration.Ref{Kind: configuration.KindPriority, ID: "p"}, Revision: 4}}}, "made against revision 4"},
		{"a delete of what is used", configuration.ChangeSet{ID: "c", Deletes: []configuration.Delete{{Ref: configuration.Ref{Kind: configuration.KindServerSet, ID: "s"}}}}, "server_sets.s: cannot be deleted: number of objects that refer to it: 1"},
		{"an empty change", configuration.ChangeSet{ID: "c"}, "changes nothing"},
		{"no id", configuration.ChangeSet{Puts: []configuration.Put{{Object: configuration.Priority{ID: "q"}}}}, "id: is empty"},
		{"an unknown kind", configuration.ChangeSet{ID: "c", Deletes: []configuration.Delete{{Ref: configuration.Ref{Kind: "x", ID: "s"}}}}, "does not exist"},
	}
	for _, c := range cases {
		It("rejects "+c.name, func() {
			base, err := configuration.New(configuration.WithObjects(valid()...))
			Expect(err).NotTo(HaveOccurred())
			base = base.WithRevision(configuration.Ref{Kind: configuration.KindPriority, ID: "p"}, 5)
			next, err := base.Apply(c.change, 6)
			Expect(err).To(MatchError(ContainSubstring(c.want)))
			Expect(next.Print()).To(Equal(base.Print()))
		})
	}
})
