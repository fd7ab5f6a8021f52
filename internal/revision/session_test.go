package revision

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
)

// Guards against unintended changes of decisions, findings or snapshot bytes:
// readers of different versions must make the same decisions. Lines with "---"
// separate the records in session.txt.
var _ = Describe("Replay of a recorded stream", func() {
	It("gives the same decisions and the same snapshot", func() {
		input, err := os.ReadFile("testdata/session.txt")
		Expect(err).NotTo(HaveOccurred())
		var s State
		var out strings.Builder
		for i, data := range strings.Split(string(input), "---\n") {
			d, err := s.Apply(oleanderspool.Record{Offset: oleanderspool.Offset(i + 1), Data: []byte(data)})
			Expect(err).NotTo(HaveOccurred())
			fmt.Fprintf(&out, "%d: %v change=%q offset=%d repeated=%v revision=%d\n", i+1, d.Verdict, d.Change, d.Offset, d.Duplicate, s.Revision())
			for _, f := range d.Findings {
				fmt.Fprintf(&out, "   %v\n", f)
			}
		}
		out.WriteString("snapshot:\n")
		out.Write(s.Snapshot().Data)
		golden.Match("testdata/session.golden", out.String())
	})
})
