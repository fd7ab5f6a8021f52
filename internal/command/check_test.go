package command

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Check", func() {
	// Guards against a settings file of the platform that is found faulty only
	// when a process starts with it, one fault at a time.
	It("finds all faults of the platform's settings without a role", func() {
		file := filepath.Join(GinkgoT().TempDir(), "boot.json")
		Expect(os.WriteFile(file, []byte(`{"listen":{"front":"x"},"provider":{}}`), 0o600)).To(Succeed())
		var out bytes.Buffer
		Expect(run(environment{ctx: GinkgoT().Context(), stdout: &out, stderr: &out}, []string{"check", file})).To(Equal(ExitInvalid))
		for _, key := range []string{"listen.front", "listen.readyAddr", "provider.address", "internalPorts"} {
			Expect(out.String()).To(ContainSubstring(key))
		}
	})

	It("asks for the role of a file that it cannot tell", func() {
		file := filepath.Join(GinkgoT().TempDir(), "entry.toml")
		Expect(os.WriteFile(file, []byte("listen = \"127.0.0.1:1\"\n"), 0o600)).To(Succeed())
		var out bytes.Buffer
		Expect(run(environment{ctx: GinkgoT().Context(), stdout: &out, stderr: &out}, []string{"check", file})).NotTo(Equal(ExitOK))
		Expect(out.String()).To(ContainSubstring("--role"))
	})
})
