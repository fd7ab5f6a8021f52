package command

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// outcome is what a caller got.
type outcome struct {
	text   string
	result callerResult
	err    error
}

// send sends a question and returns where its outcome arrives.
func (d *deployment) send(entry int, prompt string, tokens int) <-chan outcome {
	answer := make(chan outcome, 1)
	go func() {
		text, result, err := ask(d.question(entry, prompt, tokens))
		answer <- outcome{text, result, err}
	}()
	return answer
}

// expectWhole expects the whole answer within the time limit of the request.
func expectWhole(answer <-chan outcome, prompt string, tokens int) {
	GinkgoHelper()
	var o outcome
	Eventually(answer, 33*time.Second).Should(Receive(&o))
	Expect(o.err).NotTo(HaveOccurred())
	Expect(o.result.refusal).To(BeNil())
	Expect(o.text).To(Equal(expectedAnswer(prompt, tokens)))
}

// held returns the instances whose engines hold memory, with the one that runs
// the prompt of a group first.
func (d *deployment) held(tokens int64, before map[string]int) []string {
	var members []string
	for instance, address := range d.engines {
		switch {
		case d.longRuns(address, tokens) > before[instance]:
			members = append([]string{instance}, members...)
		case d.freeTokens(address) != d.memory:
			members = append(members, instance)
		}
	}
	return members
}

// killed kills a process and returns what starts it again.
func (d *deployment) killed(name, role string) (restart func()) {
	d.signal(name, syscall.SIGKILL)
	Eventually(d.sessions[name], stopWait).Should(gexec.Exit())
	return func() { d.restart(name, role) }
}

// paused pauses a process and returns what resumes it.
func (d *deployment) paused(name string) (resume func()) {
	d.signal(name, syscall.SIGSTOP)
	return func() { d.signal(name, syscall.SIGCONT) }
}

// Two groups of three engines compete for four, so that the second one waits
// for members of the first one.
var _ = Describe("Groups of engines under failure", Ordered, ContinueOnFailure, func() {
	const promptTokens = 21_000
	var d *deployment
	BeforeAll(func() {
		d = newDeployment(0, func(d *deployment) {
			d.memory = 10_000
			for _, name := range []string{"runner-1", "runner-2", "runner-3", "runner-4"} {
				d.startRunner(name)
			}
		})
	})

	// Each case starts when both entries know all engines.
	BeforeEach(func() {
		for i := range d.entries {
			Eventually(func() error {
				_, result, err := ask(d.question(i, strings.Repeat("all ", 39_000), 1))
				return errors.Join(err, refusalError(result.refusal))
			}, startBound, 50*time.Millisecond).Should(Succeed())
		}
		d.expectFree()
	})

	// Guards against a waiting group that keeps to a member that is gone, and
	// against memory that stays reserved for a group whose member or entry was
	// lost (P1, P2). The last member is one that does not run the prompt itself.
	DescribeTable("serves both and frees all memory when", func(disturb func(members []string) (undo func()), answerTokens int, entryLost bool) {
		prompt := strings.Repeat(CurrentSpecReport().LeafNodeText[:3]+" ", promptTokens)
		before := make(map[string]int)
		for instance, address := range d.engines {
			before[instance] = d.longRuns(address, promptTokens)
		}
		first := d.send(0, "a "+prompt, answerTokens)
		var members []string
		Eventually(func() int { members = d.held(promptTokens, before); return len(members) }, startBound, 20*time.Millisecond).Should(Equal(3))
		second := d.send(1, "b "+prompt, answerTokens)
		time.Sleep(300 * time.Millisecond) // the second group is refused once
		undo := disturb(members)
		if !entryLost {
			expectWhole(first, "a "+prompt, answerTokens)
		}
		expectWhole(second, "b "+prompt, answerTokens)
		undo()
		d.expectFree()
	},
		Entry("mk: the agent of a member is killed", func(m []string) func() { return d.killed(m[2], "agent") }, 50, false),
		Entry("lr: the agent that runs the prompt is replaced", func(m []string) func() { d.killed(m[0], "agent")(); return func() {} }, 50, false),
		Entry("lp: the agent that runs the prompt is paused", func(m []string) func() { return d.paused(m[0]) }, 50, false),
		Entry("ek: the entry that reserved is killed", func([]string) func() { return d.killed("entry-1", "entry") }, 50, true),
		Entry("ep: the entry that reserved is paused", func([]string) func() { return d.paused("entry-1") }, 50, true),
	)

	// Guards against a planned stop that cuts work or runs it again when something
	// else goes wrong too (P7). A crash of the engine makes the one prompt of a
	// trial a suspect, which is the only second run that is allowed.
	DescribeTable("an agent stops without cutting or repeating work while", func(prompts, words, tokens, runs int, also func(victim string) (undo func())) {
		before := d.taken()
		var texts []string
		var answers []<-chan outcome
		for i := range prompts {
			texts = append(texts, fmt.Sprint(CurrentSpecReport().LeafNodeText, i)+strings.Repeat(" peg", words))
			answers = append(answers, d.send(1-i%2, texts[i], tokens))
		}
		var victim string
		Eventually(func() bool {
			victim = d.busiest()
			return victim != "" && d.running() == prompts
		}, startBound, 20*time.Millisecond).Should(BeTrue())
		undo := also(victim)
		if runs > prompts {
			Eventually(func() bool { victim = d.busiest(); return victim != "" }, startBound, 20*time.Millisecond).Should(BeTrue())
		}
		d.stop(victim)
		undo()
		for i, answer := range answers {
			expectWhole(answer, texts[i], tokens)
		}
		Expect(d.taken() - before).To(Equal(runs))
		d.restart(victim, "agent")
		d.expectFree()
	},
		Entry("a group runs on it", 1, promptTokens, 200, 1, nothingElse),
		Entry("work waits in its queue and the log is down", 6, 6000, 30, 6, func(string) func() {
			d.addFault(d.platform, faultBody{Kind: "outage", Path: "/log"})
			return func() { d.clearFaults(d.platform) }
		}),
		Entry("work waits in its queue and an entry stops", 6, 6000, 30, 6, func(string) func() {
			d.signal("entry-1", syscall.SIGTERM)
			return func() {
				Eventually(d.sessions["entry-1"], stopWait).Should(gexec.Exit(0))
				d.restart("entry-1", "entry")
			}
		}),
		Entry("the trial of a suspect runs on it", 1, 10, 150, 2, func(victim string) func() {
			d.control(http.MethodPost, d.engines[victim], "/control/engine", map[string]string{"action": "crash"})
			return func() {}
		}),
	)
})

func nothingElse(string) func() { return func() {} }

// taken returns how many requests all engines took.
func (d *deployment) taken() int {
	taken := 0
	for _, address := range d.engines {
		taken += len(d.requests(address))
	}
	return taken
}

// running returns how many model requests the entries have in progress.
func (d *deployment) running() int {
	running := 0
	for _, entry := range []string{"entry-1", "entry-2"} {
		running += d.metric(entry, "requests_running")
	}
	return running
}

// busiest returns the agent with the most requests in progress, or "".
func (d *deployment) busiest() string {
	most, found := 0, ""
	for instance := range d.engines {
		if n := d.metric(instance, "requests_running"); n > most {
			most, found = n, instance
		}
	}
	return found
}
