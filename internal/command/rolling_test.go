package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

// readyEntry returns an entry that a balancer would choose, starting at one.
func (d *deployment) readyEntry(first int) int {
	for i := first; ; i++ {
		if code, _ := get(d.entries[i%len(d.entries)] + "/readyz"); code == http.StatusOK {
			return i % len(d.entries)
		}
	}
}

func get(url string) (code int, body string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// metric returns the value of a line of a process's metrics; 0 without it.
func (d *deployment) metric(process, line string) int {
	_, metrics := get("http://" + d.admins[process] + "/metrics")
	match := regexp.MustCompile(`(?m)^oleanderspool_` + regexp.QuoteMeta(line) + ` (\d+)$`).FindStringSubmatch(metrics)
	if match == nil {
		return 0
	}
	n, _ := strconv.Atoi(match[1])
	return n
}

// started returns how many incarnations of agents an entry has seen start.
func (d *deployment) started(entry string) int {
	return d.metric(entry, `state_changes_total{change="backend_server_started"}`)
}

// replaceAgent replaces an agent's process and waits until the entries know it.
func (d *deployment) replaceAgent(instance string) {
	entries := []string{"entry-1", "entry-2"}
	before := []int{d.started(entries[0]), d.started(entries[1])}
	d.stop(instance)
	d.restart(instance, "agent")
	for i, e := range entries {
		Eventually(func() int { return d.started(e) }, startBound, 10*time.Millisecond).Should(BeNumerically(">", before[i]), instance)
	}
}

// replaceEntry replaces an entry's process and waits until it is ready.
func (d *deployment) replaceEntry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	d.stop(name)
	d.restart(name, "entry")
	Eventually(func() int { code, _ := get(d.entries[i] + "/readyz"); return code }, startBound, 10*time.Millisecond).Should(Equal(http.StatusOK))
}

// rollingLoad is what the callers saw while the processes were replaced.
type rollingLoad struct {
	mu           sync.Mutex
	streams      int
	faults       []string // streams that were cut, refused or wrong
	reservations map[string]*oleanderspool.Refusal
}

func (l *rollingLoad) stream(d *deployment, worker, i int) {
	const tokens = 40
	prompt := fmt.Sprintf("quatrain %d of writer %d", i, worker)
	text, result, err := ask(d.question(d.readyEntry(worker+i), prompt, tokens))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams++
	switch {
	case err != nil:
		l.faults = append(l.faults, prompt+": "+err.Error())
	case result.refusal != nil:
		l.faults = append(l.faults, prompt+": "+result.refusal.Error())
	case text != expectedAnswer(prompt, tokens):
		l.faults = append(l.faults, prompt+": wrong answer")
	}
}

func (l *rollingLoad) reserve(d *deployment, worker, i int) {
	reference := fmt.Sprintf("rolling-%d-%d", worker, i)
	_, result, err := ask(d.reservation(d.readyEntry(worker+i), reference))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservations[reference] = result.refusal
	if err != nil {
		l.faults = append(l.faults, reference+": "+err.Error())
	}
}

// Guards against a planned stop that cuts a request, runs a reservation twice
// or makes a refusal untrue (P4, P5, P7).
var _ = Describe("A rolling replacement of every process", func() {
	It("cuts no stream, runs each reservation at most once and refuses truly", func() {
		// Three of each, as the users have: a new agent may be chosen only some
		// time after it has reported.
		d := newDeployment(3, func(d *deployment) {
			d.startServiceAgent("services-2")
			d.startServiceAgent("services-3")
		})
		load := &rollingLoad{reservations: make(map[string]*oleanderspool.Refusal)}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var callers sync.WaitGroup
		for worker := range 8 {
			send := load.stream
			if worker >= 5 {
				send = load.reserve
			}
			callers.Go(func() {
				defer GinkgoRecover()
				for i := 0; ctx.Err() == nil; i++ {
					send(d, worker, i)
				}
			})
		}
		d.awaitVersions()
		callers.Go(func() {
			defer GinkgoRecover()
			load.followLong(d)
		})
		Eventually(d.prefilled, startBound, 50*time.Millisecond).Should(BeNumerically(">=", longPrompt))
		began := time.Now()
		for _, instance := range []string{"runner-1", "runner-2", "runner-3", "services-1", "services-2", "services-3"} {
			d.replaceAgent(instance)
		}
		agents := time.Since(began)
		for i := range d.entries {
			d.replaceEntry(i)
		}
		took := time.Since(began)
		stop()
		callers.Wait()

		Expect(load.faults).To(BeEmpty(), strings.Join(load.faults, "\n"))
		// No agent waited for the long stream, and its prompt was prefilled once.
		Expect(agents).To(BeNumerically("<", 15*time.Second))
		Expect(d.prefilled()).To(BeNumerically("<", longPrompt+longestAnswer))
		runs := d.runs()
		refused := 0
		for reference, refusal := range load.reservations {
			switch {
			case refusal == nil:
				Expect(runs[reference]).To(Equal(1), reference)
				continue
			case refusal.Execution == oleanderspool.NotRun:
				Expect(runs[reference]).To(BeZero(), reference)
			case refusal.Execution == oleanderspool.Ran:
				Expect(runs[reference]).To(Equal(1), reference)
			default:
				Expect(runs[reference]).To(BeNumerically("<=", 1), reference)
			}
			refused++
			GinkgoWriter.Println(reference, refusal)
		}
		AddReportEntry("rolling replacement", fmt.Sprintf("%v, agents %v, %d streams, %d reservations, %d of them refused, %d tokens of the long prompt prefilled",
			took, agents, load.streams, len(load.reservations), refused, d.prefilled()))
	})
})
