package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

// The long streams: a prompt that an engine prefills in 2.5 s, and answers of
// 20 s and 30 s. The longer one leaves a busy machine 15 s for the replacement
// of three agents, before its rest is too short to be moved.
const (
	longPrompt    = 50_000
	longAnswer    = 1000
	longestAnswer = 1500
)

// longQuestion is answered for longer than what a leaving agent keeps.
func (d *deployment) longQuestion(tokens int) callerRequest {
	r := d.question(0, strings.Repeat("peg ", longPrompt), tokens)
	r.timeout = oleanderspool.Minute
	return r
}

// awaitVersions waits until every runner knows the version of its model, as
// streams that began before cannot move.
func (d *deployment) awaitVersions() {
	for instance := range d.engines {
		applied := func() bool { return d.shows(instance, `engine_orders_total{kind="load",result="applied"} 1`) }
		Eventually(applied, startBound, 20*time.Millisecond).Should(BeTrue(), instance)
	}
}

// shows reports whether a process has a counter or gauge with a value, written
// as on its page.
func (d *deployment) shows(process, sample string) bool {
	_, metrics := get("http://" + d.admins[process] + "/metrics")
	return strings.Contains(metrics, "oleanderspool_"+sample+"\n")
}

// prefilled returns the tokens that all engines prefilled of long prompts.
func (d *deployment) prefilled() int64 {
	total := int64(0)
	for _, address := range d.engines {
		var answer struct {
			Requests []struct {
				Prompt    int64 `json:"prompt_tokens"`
				Prefilled int64 `json:"prefilled_tokens"`
			} `json:"requests"`
		}
		Expect(json.Unmarshal(d.control(http.MethodGet, address, "/control/requests", nil), &answer)).To(Succeed())
		for _, r := range answer.Requests {
			if r.Prompt >= longPrompt {
				total += r.Prefilled
			}
		}
	}
	return total
}

// Guards against a stream that is cut, and engine memory that stays held, when
// a process of a transfer is killed during the export (P2, P3).
var _ = Describe("A transfer whose process is killed", func() {
	type loss struct {
		name   string
		victim func(source, target string) string
		again  string // subcommand that starts the victim again
		cut    bool   // the caller loses its answer too
	}
	cases := []loss{
		{"leaving agent", func(source, _ string) string { return source }, "agent", false},
		{"other agent", func(_, target string) string { return target }, "agent", false},
		{"entry", func(string, string) string { return "entry-1" }, "entry", true},
	}
	It("leaves nothing behind", func() {
		var deployments []*deployment
		for range cases {
			deployments = append(deployments, newDeployment(2))
		}
		var group sync.WaitGroup
		for i, c := range cases {
			group.Go(func() {
				defer GinkgoRecover()
				d := deployments[i]
				d.awaitVersions()
				var answer sync.WaitGroup
				answer.Go(func() {
					defer GinkgoRecover()
					r := d.longQuestion(longAnswer)
					text, result, err := ask(r)
					if c.cut {
						return
					}
					Expect(err).NotTo(HaveOccurred(), c.name)
					Expect(result.refusal).To(BeNil(), c.name)
					Expect(text).To(Equal(expectedAnswer(r.prompt, longAnswer)), c.name)
				})
				source, target := "runner-1", "runner-2"
				running := func() bool { return d.prefilled() >= longPrompt }
				Eventually(running, startBound, 50*time.Millisecond).Should(BeTrue(), c.name)
				if d.shows("runner-2", "requests_running 1") {
					source, target = target, source
				}
				d.control(http.MethodPost, d.engines[source], "/control/faults", map[string]any{"kind": "slow", "path": "/v1/export", "delay_ms": 1500})
				d.signal(source, syscall.SIGTERM)
				begun := func() bool { return d.shows(target, `cache_transfers_total{part="import",result="begun"} 1`) }
				Eventually(begun, startBound, 20*time.Millisecond).Should(BeTrue(), c.name)
				Eventually(func() int64 { return d.freeTokens(d.engines[target]) }, time.Second, 10*time.Millisecond).Should(BeNumerically("<", 100_000), c.name)
				victim := c.victim(source, target)
				d.signal(victim, syscall.SIGKILL)
				Eventually(d.sessions[victim].Exited, stopWait).Should(BeClosed(), c.name)
				d.restart(victim, c.again)
				answer.Wait()
				for instance, address := range d.engines {
					Eventually(func() int64 { return d.freeTokens(address) }, stopWait, 100*time.Millisecond).Should(Equal(int64(100_000)), c.name+" "+instance)
				}
			})
		}
		group.Wait()
	})
})

// followLong sends the long question and notes what is wrong with its answer.
func (l *rollingLoad) followLong(d *deployment) {
	r := d.longQuestion(longestAnswer)
	text, result, err := ask(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.faults = append(l.faults, "long stream: "+err.Error())
	case result.refusal != nil:
		l.faults = append(l.faults, "long stream: "+result.refusal.Error())
	case text != expectedAnswer(r.prompt, longestAnswer):
		l.faults = append(l.faults, fmt.Sprintf("long stream: wrong answer of %d tokens", len(text)/engine.TokenBytes))
	}
}
