package configuration_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func validObjects() []configuration.Object {
	return []configuration.Object{
		configuration.Model{ID: "m", Version: "v", Set: "s", MaxPromptTokens: 1},
		configuration.Version{ID: "v", Model: "m", Artefact: "w/1"},
		configuration.Priority{ID: "p"},
		configuration.ServerSet{ID: "s"}.WithInstances("i"),
	}
}

// Guards against checks that accept an invalid object or report a wrong key.
var _ = Describe("With", func() {
	account := configuration.ClientAccount{ID: "a", KeyHash: configuration.HashKey("k"), Priority: "p", ShareOfCapacity: 1}
	cases := []struct {
		name    string
		objects []configuration.Object
		want    []string
	}{
		{"dangling references", []configuration.Object{configuration.Model{ID: "n", Version: "x", Set: "y", MaxPromptTokens: 1}}, []string{"models.n.version", "models.n.set"}},
		{"a version of another model", []configuration.Object{configuration.Model{ID: "n", Version: "v", Set: "s", MaxPromptTokens: 1}}, []string{"models.n.version"}},
		{"a served version that is moved to another model", []configuration.Object{configuration.Model{ID: "n", Version: "v2", Set: "s", MaxPromptTokens: 1}, configuration.Version{ID: "v2", Model: "n", Artefact: "w"}, configuration.Version{ID: "v", Model: "n", Artefact: "w"}}, []string{"models.m.version|versions.v.model"}},
		{"an empty id", []configuration.Object{configuration.Priority{}}, []string{`priorities."".id`}},
		{"an id with a space", []configuration.Object{configuration.Priority{ID: "a b"}}, []string{`priorities."a b".id`}},
		{"a priority level above the limit", []configuration.Object{configuration.Priority{ID: "q", Level: 101}}, []string{"priorities.q.level"}},
		{"an artefact name that starts with a slash", []configuration.Object{configuration.Adapter{ID: "a", Model: "m", Artefact: "/x"}}, []string{"adapters.a.artefact"}},
		{"numbers that are not finite", []configuration.Object{account.WithShare(math.NaN()).WithRate(math.Inf(1), 1)}, []string{"client_accounts.a.requests_per_sec", "client_accounts.a.share_of_capacity"}},
		{"a rate without burst", []configuration.Object{account.WithRate(1, 0)}, []string{"client_accounts.a.burst_requests"}},
		{"a key hash of two client accounts", []configuration.Object{account, configuration.ClientAccount{ID: "b", KeyHash: account.KeyHash, Priority: "p", ShareOfCapacity: 1}}, []string{"client_accounts.b.key_hash"}},
		{"a key hash that is not a SHA-256 hash", []configuration.Object{account.WithKeyHash("K")}, []string{"client_accounts.a.key_hash"}},
		{"an instance listed twice", []configuration.Object{configuration.ServerSet{ID: "s"}.WithInstances("i", "i")}, []string{"server_sets.s.instances"}},
		{"an instance with two engine roles", []configuration.Object{configuration.ServerSet{ID: "s", EngineRole: "decode"}.WithInstances("i"), configuration.ServerSet{ID: "t", EngineRole: "prefill"}.WithInstances("i")}, []string{"server_sets.s.engine_role", "server_sets.t.engine_role"}},
		{"an object given twice", []configuration.Object{account, account}, []string{"client_accounts.a"}},
		{"a nil object", []configuration.Object{nil}, []string{""}},
	}
	for _, c := range cases {
		It("reports "+c.name, func() {
			base, err := configuration.New(configuration.WithObjects(validObjects()...))
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

	It("accepts pointers to objects", func() {
		p := configuration.Priority{ID: "p"}
		c, err := configuration.New(configuration.WithObjects(&p))
		Expect(err).NotTo(HaveOccurred())
		_, found := c.Priority("p")
		Expect(found).To(BeTrue())
	})

	It("swaps the API keys of two client accounts in one change", func() {
		other := configuration.ClientAccount{ID: "b", KeyHash: configuration.HashKey("l"), Priority: "p", ShareOfCapacity: 1}
		base, err := configuration.New(configuration.WithObjects(append(validObjects(), account, other)...))
		Expect(err).NotTo(HaveOccurred())
		next, err := base.With(configuration.WithClientAccounts(account.WithKeyHash(other.KeyHash), other.WithKeyHash(account.KeyHash)))
		Expect(err).NotTo(HaveOccurred())
		found, _ := next.AccountByKey("k")
		Expect(found.ID).To(Equal(other.ID))
	})
})

// Guards against a change set that is applied although it was made against an
// outdated revision of an object, or is otherwise invalid.
var _ = Describe("Apply", func() {
	cases := []struct {
		name   string
		change configuration.ChangeSet
		want   string
	}{
		{"a stale put", configuration.ChangeSet{ID: "c", Puts: []configuration.Put{{Object: configuration.Priority{ID: "p"}, Revision: 4}}}, "priorities.p.revision: made against revision 4, but the current one is 5"},
		{"a put of an existing object as a new one", configuration.ChangeSet{ID: "c", Puts: []configuration.Put{{Object: configuration.Priority{ID: "p"}}}}, "priorities.p.revision: made against revision 0"},
		{"a put of a deleted object", configuration.ChangeSet{ID: "c", Puts: []configuration.Put{{Object: configuration.Priority{ID: "q"}, Revision: 5}}}, "the object does not exist"},
		{"a stale delete", configuration.ChangeSet{ID: "c", Deletes: []configuration.Delete{{Ref: configuration.Ref{Kind: configuration.KindPriority, ID: "p"}, Revision: 4}}}, "made against revision 4"},
		{"a delete of an object that is still referred to", configuration.ChangeSet{ID: "c", Deletes: []configuration.Delete{{Ref: configuration.Ref{Kind: configuration.KindServerSet, ID: "s"}}}}, "server_sets.s: cannot be deleted: number of objects that refer to it: 1"},
		{"an empty change set", configuration.ChangeSet{ID: "c"}, "changes nothing"},
		{"a change set without an id", configuration.ChangeSet{Puts: []configuration.Put{{Object: configuration.Priority{ID: "q"}}}}, "id: is empty"},
		{"a delete of an unknown kind of object", configuration.ChangeSet{ID: "c", Deletes: []configuration.Delete{{Ref: configuration.Ref{Kind: "x", ID: "s"}}}}, "does not exist"},
	}
	for _, c := range cases {
		It("rejects "+c.name, func() {
			base, err := configuration.New(configuration.WithObjects(validObjects()...))
			Expect(err).NotTo(HaveOccurred())
			base = base.WithRevision(configuration.Ref{Kind: configuration.KindPriority, ID: "p"}, 5)
			next, err := base.Apply(c.change, 6)
			Expect(err).To(MatchError(ContainSubstring(c.want)))
			Expect(next.Print()).To(Equal(base.Print()))
		})
	}
})
