package configuration_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

var _ = Describe("The review of a configuration", func() {
	parse := func(replacements ...string) configuration.Configuration {
		data, err := os.ReadFile("../../examples/configuration/small.json")
		Expect(err).NotTo(HaveOccurred())
		c, err := configuration.Parse("small.json", []byte(strings.NewReplacer(replacements...).Replace(string(data))))
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	lines := func(findings []oleanderspool.Finding) []string {
		var texts []string
		for _, f := range findings {
			texts = append(texts, f.String())
		}
		return texts
	}

	// Guards against a priority or server set that was meant to be used, and against
	// warnings about the example.
	It("reports objects that nothing uses", func() {
		Expect(parse().Unused()).To(BeEmpty())
		c := parse(`"level":1}`, `"level":1},{"id":"spare","level":2}`, `["runner-1"]`, `[]`)
		Expect(lines(c.Unused())).To(Equal([]string{
			"priorities.spare: warning: nothing refers to the priority spare",
			"server_sets.runners.instances: warning: the set has no instance",
		}))
	})

	cases := []struct {
		change       string
		replacements []string
		expected     []string
	}{
		{"nothing", nil, nil},
		{"an added object", []string{`"service_routes":[]`, `"service_routes":[{"id":"r","set":"runners","idempotent":true}]`}, []string{"service_routes.r: info: service_route r was added"}},
		{"a first rate limit", []string{`"requests_per_sec":0,"burst_requests":0`, `"requests_per_sec":5,"burst_requests":2`}, []string{
			"client_accounts.crew-leads.burst_requests: info: changed from 0 to 2",
			"client_accounts.crew-leads.requests_per_sec: warning: changed from 0 to 5",
		}},
		{"a lower prompt limit", []string{`1000000`, `9`}, []string{"models.ledger-model.max_prompt_tokens: warning: changed from 1000000 to 9"}},
		{"a lost instance", []string{`["runner-1"]`, `["runner-2"]`}, []string{"server_sets.runners.instances: warning: changed from [\"runner-1\"] to [\"runner-2\"]"}},
		{"a renamed account", []string{`"id":"crew-leads"`, `"id":"crew"`}, []string{
			"client_accounts.crew: info: client_account crew was added", "client_accounts.crew-leads: warning: client_account crew-leads was removed",
		}},
	}
	for _, c := range cases {
		It("lists "+c.change, func() {
			Expect(lines(configuration.Differences(parse(), parse(c.replacements...)))).To(HaveExactElements(c.expected))
		})
	}
})
