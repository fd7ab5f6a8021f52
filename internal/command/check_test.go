package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

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

	// Guards against a script that sends a configuration with errors, or that stops for
	// a warning or a difference.
	DescribeTable("tells by its exit status whether a configuration of the platform can be sent", func(code int, next, expected string, options ...string) {
		dir := GinkgoT().TempDir()
		write := func(name, text string) string {
			file := filepath.Join(dir, name)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			return file
		}
		inForce := write("old.json", `{"version":1,"routes":[],"services":[]}`)
		small := write("boot.json", `{"ip":"10.0.0.1","listen":{"front":"10.0.0.1:1","readyAddr":"10.0.0.1:2"},"internalPorts":[3],"provider":{"address":"10.0.0.2:1"},"limits":{"memoryMb":10}}`)
		for i, o := range options {
			options[i] = strings.NewReplacer("OLD", inForce, "BOOT", small).Replace(o)
		}
		var out bytes.Buffer
		arguments := append([]string{"check", write("new.json", next)}, options...)
		Expect(run(environment{ctx: GinkgoT().Context(), stdout: &out, stderr: &out}, arguments)).To(Equal(code), out.String())
		Expect(out.String()).To(ContainSubstring(expected))
	},
		Entry("no findings", ExitOK, `{"version":2,"routes":[]}`, "no findings"),
		Entry("an error", ExitInvalid, `{"routes":[{"name":"a","host":"h","pathPrefix":"/","kind":"stream","service":"s"}]}`, `new.json: routes[0].service: service "s" is not defined`),
		Entry("a warning", ExitOK, `{"services":[{"name":"s"}]}`, `services[0].name: warning`),
		Entry("a warning that counts", ExitInvalid, `{"services":[{"name":"s"}]}`, `services[0].name: warning`, "--strict"),
		Entry("a difference", ExitOK, `{"version":2,"limits":{"maxBodyBytes":0,"maxHeaderBytes":0}}`, "no findings", "--against", "OLD", "--role", "forward_configuration"),
		Entry("an old version", ExitInvalid, `{"version":1,"routes":[]}`, "version: 1 is not above", "--against", "OLD"),
		Entry("a body beyond the memory", ExitOK, `{"routes":[],"limits":{"maxBodyBytes":2097153}}`, "limits.maxBodyBytes: warning", "--settings", "BOOT"),
		Entry("an unreadable file", ExitInvalid, `{`, "new.json:1: cannot be read", "--role", "forward_configuration"),
		Entry("a file that has no version in force", ExitInvalid, `{"listen":{}}`, "--against is for configurations only", "--against", "OLD"),
	)

	It("lists the differences of the product's own configuration", func() {
		file := "../../examples/configuration/small.json"
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		next := filepath.Join(GinkgoT().TempDir(), "next.json")
		Expect(os.WriteFile(next, bytes.Replace(data, []byte(`"level":1`), []byte(`"level":0`), 1), 0o600)).To(Succeed())
		var out bytes.Buffer
		Expect(run(environment{ctx: GinkgoT().Context(), stdout: &out, stderr: &out}, []string{"check", "--role", "configuration", "--against", file, next})).To(Equal(ExitOK))
		Expect(out.String()).To(Equal(next + ": priorities.interactive.level: warning: changed from 1 to 0\n"))
	})
})
