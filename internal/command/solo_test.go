package command

import (
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/golden"
)

// spans matches the spans in the output of solo, which differ between runs.
var spans = regexp.MustCompile(`[0-9]+ ms`)

// Guards against a change of what the whole path answers: questions, a
// reservation sent twice, and a refusal.
var _ = Describe("solo", func() {
	It("shows the session of the golden file", func() {
		code, out, errOut := runCommand("solo")
		Expect(code).To(Equal(ExitOK), errOut)
		got := spans.ReplaceAllString(out, "N ms")
		const file = "testdata/solo.golden"
		golden.Match(file, got)
	})

	It("is one of the subcommands that explain themselves", func() {
		for _, r := range registrations() {
			code, out, _ := runCommand(r.name, "--help")
			Expect(code).To(Equal(ExitOK), r.name)
			Expect(out).To(ContainSubstring("oleanderspool [OPTIONS] "+r.name), r.name)
		}
		code, out, _ := runCommand("--version")
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring(Version))
		code, _, errOut := runCommand("entry")
		Expect(code).To(Equal(ExitUsage))
		Expect(errOut).To(ContainSubstring("--settings"))
	})
})
