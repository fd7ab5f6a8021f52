package command

import (
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

// expectedAnswer is the whole answer of the engine stand-in to a prompt.
func expectedAnswer(prompt string, tokens int) string {
	body, err := json.Marshal(chatBody{Model: fleetModel, Messages: []chatMessage{{Role: "user", Content: prompt}}})
	Expect(err).NotTo(HaveOccurred())
	parsed, err := openai.ParseChat(body)
	Expect(err).NotTo(HaveOccurred())
	return engine.Text(parsed.Prompt, 0, tokens)
}

var _ = Describe("Separate processes", Ordered, func() {
	var d *deployment
	BeforeAll(func() { d = newDeployment(3) })

	It("answers through every entry", func() {
		for i := range d.entries {
			text, result, err := ask(d.question(i, "How many pegs?", 10))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.refusal).To(BeNil())
			Expect(text).To(Equal(expectedAnswer("How many pegs?", 10)))
		}
	})

	// Guards against a reload signal that ends an entry or an agent with its requests.
	It("reload their settings without cutting a stream", func() {
		answer := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			text, result, err := ask(d.question(0, "reload", 100))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.refusal).To(BeNil())
			answer <- text
		}()
		processes := []string{"runner-1", "runner-2", "runner-3", "services-1", "entry-1"}
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			for _, p := range processes {
				d.signal(p, syscall.SIGHUP)
			}
		}
		for _, p := range processes {
			Eventually(d.sessions[p].Err, startBound).Should(gbytes.Say("msg=reload"), p)
		}
		Eventually(answer, stopWait).Should(Receive(Equal(expectedAnswer("reload", 100))))
	})

	// Guards against a second run of a request that is sent again (P5).
	It("runs a keyed reservation once though it is sent through both entries", func() {
		for i := range d.entries {
			text, result, err := ask(d.reservation(i, "once"))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.refusal).To(BeNil())
			Expect(text).To(ContainSubstring(`"run":1`))
		}
		Expect(d.runs()).To(HaveKeyWithValue("once", 1))
	})

	// Guards against a prompt that no engine holds being refused, and against
	// memory that stays reserved on its engines afterwards (P2).
	It("serves a prompt of more than twice the memory of one engine", func() {
		prompt := strings.Repeat("peg ", 210_000)
		text, result, err := ask(d.question(0, prompt, 20))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.refusal).To(BeNil())
		Expect(text).To(Equal(expectedAnswer(prompt, 20)))
		d.expectFree()
	})

	// Guards against a lost or torn answer when an agent dies (P3).
	It("continues a stream elsewhere when its agent is killed", func() {
		d.surviveLoss("kill", func(instance string) { d.signal(instance, syscall.SIGKILL) })
	})

	// Guards against a stream that hangs with a paused agent (P1, P3).
	It("continues a stream elsewhere when its agent is paused", func() {
		d.surviveLoss("pause", func(instance string) { d.signal(instance, syscall.SIGSTOP) })
	})

	// Guards against long work that is lost, or done twice, when the entry of its
	// caller dies and the caller sends it again (P3).
	It("resumes a running answer through another entry", func() {
		prompt := "ledger of the second quarter " + strings.Repeat("peg ", 20_000)
		go func() { _, _, _ = ask(d.question(1, prompt, 200)) }()
		time.Sleep(2500 * time.Millisecond)
		d.signal("entry-2", syscall.SIGKILL)
		Eventually(d.sessions["entry-2"], stopWait).Should(gexec.Exit())
		text, result, err := ask(d.question(0, prompt, 200))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.refusal).To(BeNil())
		Expect(text).To(Equal(expectedAnswer(prompt, 200)))
		runs := 0
		for _, address := range d.engines {
			runs += d.longRuns(address, 20_000)
		}
		Expect(runs).To(Equal(1))
		d.restart("entry-2", "entry")
		Eventually(func() error {
			_, result, err := ask(d.question(1, "back?", 1))
			return errors.Join(err, refusalError(result.refusal))
		}, startBound, 100*time.Millisecond).Should(Succeed())
	})

	// Guards against a planned stop that cuts a request (P7).
	It("stops an entry and an agent without cutting a stream", func() {
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				defer GinkgoRecover()
				prompt := "stop" + string(rune('a'+i))
				text, result, err := ask(d.question(1, prompt, 100))
				Expect(err).NotTo(HaveOccurred())
				Expect(result.refusal).To(BeNil())
				Expect(text).To(Equal(expectedAnswer(prompt, 100)))
			})
		}
		time.Sleep(oleanderspool.Second.Duration() / 2)
		hangUp := time.AfterFunc(100*time.Millisecond, func() {
			for _, name := range []string{"runner-3", "entry-2"} {
				_ = d.sessions[name].Command.Process.Signal(syscall.SIGHUP) // it may have stopped
			}
		})
		defer hangUp.Stop()
		d.stop("runner-3")
		d.stop("entry-2")
		group.Wait()
	})
})

// surviveLoss starts streams, disturbs one agent that serves some of them, and
// expects every answer whole.
func (d *deployment) surviveLoss(name string, disturb func(instance string)) {
	const streams, tokens = 12, 150
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			defer GinkgoRecover()
			prompt := name + string(rune('a'+i)) + " wedding verse"
			text, result, err := ask(d.question(i%2, prompt, tokens))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.refusal).To(BeNil())
			Expect(text).To(Equal(expectedAnswer(prompt, tokens)))
		})
	}
	time.Sleep(oleanderspool.Second.Duration())
	victim := "runner-1"
	if name == "pause" {
		victim = "runner-2"
	}
	disturb(victim)
	group.Wait()
}
