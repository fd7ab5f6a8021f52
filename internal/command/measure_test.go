package command

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("measure", func() {
	cases := []struct {
		name string
		args []string
		code int
		out  string // part of the output
	}{
		{"the chosen trace and policy", []string{"--deployment", "versaria", "--trace", "killed", "--policy", "oleanderspool", "--duration-ms", "5000", "--seed", "7"}, ExitOK, "versaria killed\n  oleanderspool: "},
		{"every unknown name", []string{"--trace", "calm", "--deployment", "acme"}, ExitUsage, "unknown deployment \"acme\", expected one of estacas, versaria\nunknown trace \"calm\""},
		{"a fleet without servers", []string{"--servers", "0"}, ExitUsage, "must be above 0"},
		{"its flags", []string{"--help"}, ExitOK, "--duration-ms"},
	}
	for _, c := range cases {
		// Guards against a documented command that measures something else.
		It("shows "+c.name, func() {
			var out bytes.Buffer
			env := environment{ctx: context.Background(), stdout: &out, stderr: &out}
			Expect(run(env, append([]string{"measure"}, c.args...))).To(Equal(c.code))
			Expect(out.String()).To(ContainSubstring(c.out))
		})
	}
})
