package claim_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

var _ = Describe("Encode and Decode", func() {
	It("Encode writes the record format and Decode restores every field", func() {
		r := claim.Record{ExpiredBefore: 7, Claims: []claim.Claim{newClaim("k1", "a1", ""), newClaim("k2", "a2", "a1")}}
		data := encode(r.ExpiredBefore, r.Claims...)
		expectGolden("record", []string{string(data)})
		Expect(claim.Decode(data)).To(Equal(r))
	})

	// Guards against different keys that become equal by the encoding, and
	// against claims that readers cannot use.
	invalid := []struct {
		name   string
		change func(c *claim.Claim)
	}{
		{"an empty account", func(c *claim.Claim) { c.Key.Account = "" }},
		{"an empty attempt", func(c *claim.Claim) { c.Attempt = "" }},
		{"a key that is not UTF-8", func(c *claim.Claim) { c.Key.Key = "\xff" }},
		{"a claim that supersedes itself", func(c *claim.Claim) { c.Supersedes = c.Attempt }},
		{"a key that is too long", func(c *claim.Claim) { c.Key.Key = oleanderspool.IdempotencyKey(make([]byte, 1<<14)) }},
	}
	for _, i := range invalid {
		It("Encode rejects "+i.name, func() {
			c := newClaim("k", "a", "")
			i.change(&c)
			_, err := claim.Encode(claim.Record{Claims: []claim.Claim{c}})
			Expect(errorx.IsOfType(err, oleanderspool.ErrInvalid)).To(BeTrue())
		})
	}

	undecodable := []struct {
		data  string
		newer bool
	}{
		{"", false},
		{"{}", false},
		{`{"version":2,"claims":[]}`, true},
		{`{"version":1,"expired_before":-1}`, false},
		{`{"version":1,"claims":[{"fingerprint":"x"}]}`, false},
		{`{"version":1,"claims":[{"fingerprint":"0"}]}`, false},
	}
	for _, u := range undecodable {
		It("Decode rejects the data "+u.data, func() {
			_, err := claim.Decode([]byte(u.data))
			Expect(errorx.IsOfType(err, oleanderspool.ErrInvalid)).To(BeTrue())
			Expect(errorx.IsOfType(err, claim.ErrVersion)).To(Equal(u.newer))
		})
	}
})
