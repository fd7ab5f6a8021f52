package command

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

// Guards against a request that takes down one backend server after the other
// while its caller sends it again, and against its neighbours being refused.
var _ = Describe("A request that crashes its backend server", func() {
	It("takes down at most two however often it is sent", func() {
		env := environment{ctx: GinkgoT().Context(), stdout: GinkgoWriter, stderr: GinkgoWriter}
		f, err := newFleet(env, fleetSize{entries: 2, runners: 4, services: 1}, engine.WithDownTime(oleanderspool.Second))
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(f.Close()).To(Succeed()) }()

		question := func(i int, prompt string, tokens int) callerRequest {
			return callerRequest{
				entry: f.entries[i%2], apiKey: fleetKey, model: fleetModel, prompt: prompt, tokens: tokens,
				timeout: 30 * oleanderspool.Second,
			}
		}
		var neighbours sync.WaitGroup
		for i := range 16 {
			neighbours.Go(func() {
				defer GinkgoRecover()
				prompt := "neighbour" + string(rune('a'+i))
				text, result, err := ask(question(i, prompt, 60))
				Expect(err).NotTo(HaveOccurred())
				Expect(result.refusal).To(BeNil())
				Expect(text).To(Equal(expectedAnswer(prompt, 60)))
			})
		}
		time.Sleep(200 * time.Millisecond)
		var last *oleanderspool.Refusal
		for i := range 6 {
			_, result, err := ask(question(i, "this one "+engine.DefaultCrashMarker, 10))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.refusal).NotTo(BeNil())
			last = result.refusal
		}
		neighbours.Wait()
		crashes := 0
		for _, e := range f.engines {
			crashes += e.Crashes()
		}
		Expect(crashes).To(BeNumerically("<=", 2))
		Expect(last.Reason).To(Equal(oleanderspool.RefusalCrashesServer))
		_, result, err := ask(callerRequest{entry: f.entries[0], apiKey: fleetKey, route: "stock/straps", method: http.MethodGet})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.refusal).To(BeNil())
	})
})
