package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	standengine "github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

var _ = Describe("An attempt whose caller has disconnected", func() {
	// Guards against engine work and memory that stay in use after the caller has
	// disconnected, when the cancel message is lost and no connection ends (P2).
	It("is ended and its memory freed although the cancel message is lost", func() {
		const tokens = 1500
		engines := [][]standengine.Option{nil, {standengine.WithMemoryLeak()}}
		parallel(engines, func(options []standengine.Option) {
			h := newHarness(harnessConfig{engines: 1, options: options})
			r := h.modelRequest(prompt, tokens)
			s := h.start(r.WithDeadline(h.entry.Now() + oleanderspool.Minute))
			s.waitForPieces(5)
			cutBoth(h.runners[0].frontRelay)
			lost := time.Now()
			s.cancel()
			Expect(s.waitForEnd().refusal.Reason).To(Equal(oleanderspool.RefusalCancelled))
			Eventually(h.runners[0].freeTokens, eventualTimeout, pollInterval).Should(BeNumerically("==", standengine.DefaultSizeTokens))
			took := time.Since(lost)
			Expect(h.runners[0].runningAttempts()).To(BeZero())
			Expect(h.requests()[0].Generated).To(BeNumerically("<", tokens))
			// The slack covers a report interval each to detect the missing reader and
			// to confirm the freed memory.
			Expect(took).To(BeNumerically("<", readerTimeout.Duration()+time.Second+schedulingSlack))
			AddReportEntry("until the memory was free", took)
		})
	})
})
