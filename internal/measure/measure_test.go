package measure_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/measure"
)

var _ = Describe("Run", func() {
	small := []measure.Option{
		measure.WithDuration(20 * oleanderspool.Second),
		measure.WithServers(6),
		measure.WithTraces(measure.TraceSteady, measure.TraceKilled),
	}

	// Guards against results that depend on anything but the options and the
	// seed, such as the order of concurrent runs.
	It("writes the same report for the same seed with one and with two parallel runs", func() {
		var first, second bytes.Buffer
		Expect(measure.Run(append(small, measure.WithParallel(1))...).Write(&first)).To(Succeed())
		Expect(measure.Run(append(small, measure.WithParallel(2))...).Write(&second)).To(Succeed())
		Expect(second.String()).To(Equal(first.String()))
	})

	// Guards against requests that the simulation loses.
	It("counts every request as finished, refused or failed", func() {
		for _, row := range measure.Run(small...).Rows {
			for _, c := range row.Classes {
				Expect(c.Finished+c.Refused+c.Failed).To(Equal(c.Count), "%s %s %s", row.Policy, row.Trace, c.Name)
			}
		}
	})
})
