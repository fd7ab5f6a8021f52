package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	standengine "github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

var _ = Describe("Work whose reader has gone", func() {
	// Guards against engine work and memory that stay for a caller who has gone,
	// when the message that says so is lost and no connection ends (P2).
	It("is ended though the cancel is lost", func() {
		const tokens = 1500
		engines := [][]standengine.Option{nil, {standengine.WithMemoryLeak()}}
		parallel(engines, func(options []standengine.Option) {
			w := newWorld(plan{engines: 1, options: options})
			r := w.question(prompt, tokens)
			s := w.open(r.WithDeadline(w.entry.Now() + oleanderspool.Minute))
			s.received(5)
			cutBoth(w.runners[0].front)
			lost := time.Now()
			s.cancel()
			Expect(s.wait().refusal.Reason).To(Equal(oleanderspool.RefusalCancelled))
			Eventually(w.runners[0].free, settle, poll).Should(BeNumerically("==", standengine.DefaultSizeTokens))
			took := time.Since(lost)
			Expect(w.runners[0].running()).To(BeZero())
			Expect(w.requests()[0].Generated).To(BeNumerically("<", tokens))
			// A report interval each to notice it and to confirm the memory.
			Expect(took).To(BeNumerically("<", readerTimeout.Duration()+time.Second+slack))
			AddReportEntry("until the memory was free", took)
		})
	})
})
