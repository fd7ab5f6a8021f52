package command

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/oleanderspool/oleanderspool"
)

// faultBody is the wire form of a stand-in's fault.
type faultBody struct {
	Kind    string `json:"kind"`
	Path    string `json:"path,omitempty"`
	DelayMS int64  `json:"delay_ms,omitempty"`
}

func (d *deployment) addFault(address string, f faultBody) {
	d.control(http.MethodPost, address, "/control/faults", f)
}

func (d *deployment) clearFaults(address string) {
	d.control(http.MethodDelete, address, "/control/faults", nil)
}

var _ = Describe("Once-only work under failure", Ordered, func() {
	var d *deployment
	BeforeAll(func() { d = newDeployment(1) })

	expectOnce := func(r callerRequest, reference string) {
		GinkgoHelper()
		text, result, err := ask(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.refusal).To(BeNil())
		Expect(text).To(ContainSubstring(`"run":1`))
		Expect(d.runs()).To(HaveKeyWithValue(reference, 1))
	}
	expectRefusal := func(r callerRequest) *oleanderspool.Refusal {
		GinkgoHelper()
		_, result, err := ask(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.refusal).NotTo(BeNil())
		return result.refusal
	}

	// Guards against a store outage that stops work which does not need the
	// store, and against a refusal that is held back (P1, P4).
	It("refuses new keys at once and serves all else while the log is down", func() {
		expectOnce(d.reservation(0, "before"), "before")
		d.addFault(d.platform, faultBody{Kind: "outage", Path: "/log"})
		DeferCleanup(d.clearFaults, d.platform)
		started := time.Now()
		refusal := expectRefusal(d.reservation(0, "during"))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Expect(refusal.Reason).To(Equal(oleanderspool.RefusalLogUnavailable))
		// Another entry may have claimed the key before the outage.
		Expect(refusal.Execution).To(Equal(oleanderspool.MayHaveRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(d.runs()).NotTo(HaveKey("during"))
		expectOnce(d.reservation(1, "before"), "before")
		_, result, err := ask(d.question(0, "still there?", 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.refusal).To(BeNil())
		d.clearFaults(d.platform)
		Eventually(func() *oleanderspool.Refusal {
			_, result, err := ask(d.reservation(0, "during"))
			Expect(err).NotTo(HaveOccurred())
			return result.refusal
		}, startBound).Should(BeNil())
		Expect(d.runs()).To(HaveKeyWithValue("during", 1))
	})

	// Guards against an append that takes effect after its sender gave up: the
	// claim must not run, and a resend must run once (P4, P5).
	It("keeps its word when the log is paused and the claim lands late", func() {
		d.signal("platform", syscall.SIGSTOP)
		r := d.reservation(0, "late")
		r.timeout = 4 * oleanderspool.Second
		refusal := expectRefusal(r)
		Expect(refusal.Execution).To(Equal(oleanderspool.MayHaveRun))
		d.signal("platform", syscall.SIGCONT)
		time.Sleep(oleanderspool.Second.Duration())
		Expect(d.runs()).NotTo(HaveKey("late"))
		Eventually(func() *oleanderspool.Refusal {
			_, result, err := ask(d.reservation(1, "late"))
			Expect(err).NotTo(HaveOccurred())
			return result.refusal
		}, startBound).Should(BeNil())
		Expect(d.runs()).To(HaveKeyWithValue("late", 1))
	})

	// Guards against an entry that thaws and sends an attempt of a request that
	// its caller has taken elsewhere (P5).
	It("runs a reservation once although its entry is paused", func() {
		d.addFault(d.platform, faultBody{Kind: "slow", Path: "/log/claim", DelayMS: 500})
		DeferCleanup(d.clearFaults, d.platform)
		go func() { _, _, _ = ask(d.reservation(0, "paused")) }()
		time.Sleep(100 * time.Millisecond)
		d.signal("entry-1", syscall.SIGSTOP)
		d.clearFaults(d.platform)
		expectOnce(d.reservation(1, "paused"), "paused")
		d.signal("entry-1", syscall.SIGCONT)
		Consistently(d.runs, 2*time.Second, 100*time.Millisecond).Should(HaveKeyWithValue("paused", 1))
	})

	// Guards against an answer that says "not run" or a second run after the
	// agent died with the call in progress (P4, P5).
	It("never runs a reservation again whose agent was killed", func() {
		d.addFault(d.service, faultBody{Kind: "slow", Path: "/pegs", DelayMS: 1500})
		DeferCleanup(d.clearFaults, d.service)
		refused := make(chan *oleanderspool.Refusal, 1)
		go func() {
			defer GinkgoRecover()
			refused <- expectRefusal(d.reservation(0, "killed"))
		}()
		time.Sleep(500 * time.Millisecond)
		d.signal("services-1", syscall.SIGKILL)
		Eventually(d.sessions["services-1"], stopWait).Should(gexec.Exit())
		Expect((<-refused).Execution).To(Equal(oleanderspool.MayHaveRun))
		Expect(expectRefusal(d.reservation(1, "killed")).Execution).To(Equal(oleanderspool.MayHaveRun))
		d.clearFaults(d.service)
		d.restart("services-1", "agent")
		Eventually(func() *oleanderspool.Refusal {
			_, result, err := ask(d.reservation(1, "after"))
			Expect(err).NotTo(HaveOccurred())
			return result.refusal
		}, startBound).Should(BeNil())
		Expect(expectRefusal(d.reservation(1, "killed")).Execution).To(Equal(oleanderspool.MayHaveRun))
		Expect(d.runs()["killed"]).To(BeNumerically("<=", 1))
		Expect(d.runs()).To(HaveKeyWithValue("after", 1))
	})
})
