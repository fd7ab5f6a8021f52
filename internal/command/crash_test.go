package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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
		f, err := newFleet(env, fleetSize{entries: 2, runners: 4, services: 1}, engine.WithDowntime(oleanderspool.Second))
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

// Guards against a third crash, torn answers of neighbours and memory that
// stays taken when several callers send such a request at once through both
// entries, also when an agent is killed during the trial (P1, P2, P3).
var _ = Describe("A request that crashes its engine, in separate processes", Ordered, ContinueOnFailure, func() {
	const longPrompt = 40_000 // takes 2 s until its crash
	var d *deployment
	BeforeAll(func() { d = newDeployment(4) })
	crashes := func() int {
		total := 0
		for _, address := range d.engines {
			var answer struct {
				Crashes int `json:"crashes"`
			}
			Expect(json.Unmarshal(d.control(http.MethodGet, address, "/control/requests", nil), &answer)).To(Succeed())
			total += answer.Crashes
		}
		return total
	}

	trials := func() int {
		const line = `retries_total{reason="suspect_trial"}`
		return d.metric("entry-1", line) + d.metric("entry-2", line)
	}

	DescribeTable("takes down at most two", func(words, copies int, disturb func()) {
		before := crashes()
		var neighbours []<-chan outcome
		neighbour := func(i int) string { return fmt.Sprint(CurrentSpecReport().LeafNodeText, " neighbour ", i) }
		for i := range 12 {
			neighbours = append(neighbours, d.send(i%2, neighbour(i), 100))
		}
		poison := strings.Repeat("peg ", words) + CurrentSpecReport().LeafNodeText + engine.DefaultCrashMarker
		last := make([]*oleanderspool.Refusal, copies)
		var callers sync.WaitGroup
		trialsBefore := trials()
		for i := range copies {
			if i > 0 && words == longPrompt {
				// Two copies that are sent at once may crash two servers before either is
				// known as a suspect. Both are then refused, and no trial takes place.
				Eventually(trials, startBound, 10*time.Millisecond).Should(BeNumerically(">", trialsBefore))
			}
			callers.Go(func() {
				defer GinkgoRecover()
				for attempt := 0; attempt < 20 && (last[i] == nil || last[i].Reason != oleanderspool.RefusalCrashesServer); attempt++ {
					_, result, err := ask(d.question(i%2, poison, 10))
					Expect(err).NotTo(HaveOccurred())
					Expect(result.refusal).NotTo(BeNil())
					last[i] = result.refusal
				}
			})
		}
		disturb()
		callers.Wait()
		Expect(last).To(HaveEach(HaveField("Reason", oleanderspool.RefusalCrashesServer)))
		for i, answer := range neighbours {
			expectWhole(answer, neighbour(i), 100)
		}
		Expect(crashes() - before).To(BeNumerically("<=", 2))
		d.expectFree()
	},
		Entry("when several callers send it at once", 1, 6, func() {}),
		Entry("when an agent is killed during the trial", longPrompt, 2, func() {
			// The trial of the first copy runs.
			var victim string
			Eventually(func() bool { victim = d.runnerOf(longPrompt); return victim != "" }, startBound, 10*time.Millisecond).Should(BeTrue())
			d.killed(victim, "agent")()
		}),
	)
})
