package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Predictions", func() {
	// Guards against errors of the model of an engine that nobody sees, and against
	// requests without one prediction that spoil the table.
	It("compares predicted and real first tokens by length, with lines of other kinds between them", func() {
		log := strings.Join([]string{
			`{"msg":"placed","request_id":"a","prompt":1500,"helpers":[]}`,
			`   1.25 entry-1 {"msg":"placed","request_id":"b","prompt":300000,"helpers":["x","y"]}`,
			`{"msg":"placed","request_id":"twice","prompt":1500,"helpers":[]}`,
			`not a line of a log`,
			`{"msg":"answered","request_id":"a","events":3,"first_ms":130,"predicted_ms":100,"helpers":0,"sends":1}`,
			`   3.5 entry-1 {"msg":"answered","request_id":"b","events":3,"first_ms":2400,"predicted_ms":2500,"helpers":2,"sends":1}`,
			`{"msg":"answered","request_id":"twice","events":3,"first_ms":9000,"predicted_ms":100,"helpers":0,"sends":2}`,
			`{"msg":"answered","request_id":"unknown","events":3,"first_ms":9000,"predicted_ms":100,"helpers":0,"sends":1}`,
			`{"msg":"answered","request_id":"plain","status":200,"sends":1}`,
		}, "\n")
		file := filepath.Join(GinkgoT().TempDir(), "entry.log")
		Expect(os.WriteFile(file, []byte(log), 0o600)).To(Succeed())
		var out bytes.Buffer
		Expect(run(environment{ctx: GinkgoT().Context(), stdout: &out, stderr: &out}, []string{"predictions", file})).To(Equal(ExitOK))
		var rows []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
			rows = append(rows, strings.Join(strings.Fields(line), " "))
		}
		Expect(rows).To(Equal([]string{
			"short one 1 100 130 100 130 30 30 30",
			"very_long several 1 2500 2400 2500 2400 -100 -100 -100",
		}))
	})

	It("fails on a file that is not there", func() {
		var out bytes.Buffer
		Expect(run(environment{ctx: GinkgoT().Context(), stdout: &out, stderr: &out}, []string{"predictions", "/nonexistent"})).To(Equal(ExitFailed))
	})
})
