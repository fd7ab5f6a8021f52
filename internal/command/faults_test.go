package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/oleanderspool/oleanderspool"
)

var (
	faultSeed   = flag.Uint64("faults.seed", 20261204, "seed of the combined failures")
	faultRounds = flag.Int("faults.rounds", 4, "rounds of two failures at a time")
)

// requestLimit is the time limit of the requests under failure, and
// answerGrace what a caller may wait beyond it for the final answer.
const (
	requestLimit = 20 * oleanderspool.Second
	answerGrace  = 3 * oleanderspool.Second
)

// One prompt in groupEvery needs two engines of the size that the test gives
// them.
const (
	groupEvery = 10
	groupWords = 10_000
)

// maxComplaints bounds what a failed run prints.
const maxComplaints = 20

// failure is a fault that starts and ends.
type failure struct {
	name  string
	start func(d *deployment)
	end   func(d *deployment)
}

func pauseOf(name string) failure {
	return failure{
		name:  "pause " + name,
		start: func(d *deployment) { d.signal(name, syscall.SIGSTOP) },
		end:   func(d *deployment) { d.signal(name, syscall.SIGCONT) },
	}
}

func killOf(name, role string) failure {
	return failure{
		name: "kill " + name,
		start: func(d *deployment) {
			d.signal(name, syscall.SIGKILL)
			Eventually(d.sessions[name].Exited, stopWait).Should(BeClosed())
		},
		end: func(d *deployment) { d.restart(name, role) },
	}
}

// stopOf stops a process in order while the other failure lasts. The stop may
// take until that failure ends.
func stopOf(name, role string) failure {
	return failure{
		name:  "stop " + name,
		start: func(d *deployment) { d.signal(name, syscall.SIGTERM) },
		end: func(d *deployment) {
			Eventually(d.sessions[name], stopWait).Should(gexec.Exit(0))
			d.restart(name, role)
		},
	}
}

func platformFault(kind string, delay int64) failure {
	return failure{
		name:  kind + " of the log",
		start: func(d *deployment) { d.addFault(d.platform, faultBody{Kind: kind, Path: "/log", DelayMS: delay}) },
		end:   func(d *deployment) { d.clearFaults(d.platform) },
	}
}

// failures lists the faults that are drawn from, while prompts of one and of two
// engines are sent. Two faults of one group are
// not drawn together, because they would act on the same process.
var failures = [][]failure{
	{pauseOf("runner-1"), killOf("runner-1", "agent"), stopOf("runner-1", "agent")},
	{pauseOf("runner-2"), killOf("runner-2", "agent"), stopOf("runner-2", "agent")},
	{pauseOf("services-1"), killOf("services-1", "agent"), stopOf("services-1", "agent")},
	{pauseOf("entry-2"), killOf("entry-2", "entry"), stopOf("entry-2", "entry")},
	{pauseOf("platform"), platformFault("outage", 0), platformFault("lose_response", 0), platformFault("slow", 400), platformFault("late", 1500)},
	{{
		name: "crash of engine runner-2",
		start: func(d *deployment) {
			d.control(http.MethodPost, d.engines["runner-2"], "/control/engine", map[string]string{"action": "crash"})
		},
		end: func(*deployment) {},
	}},
}

// ledgerEntry is what a caller knows of one reservation.
type ledgerEntry struct {
	answered bool // the whole answer came
	mayHave  bool // some submission may have run, for all that its caller knows
}

// callers sends streams and reservations until stopped and keeps what came of
// them.
type callers struct {
	d    *deployment
	mu   sync.Mutex
	book map[string]*ledgerEntry
	bad  []string
	done int
}

func (c *callers) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.bad) < maxComplaints {
		c.bad = append(c.bad, fmt.Sprintf(format, args...))
	}
}

// run sends requests one after the other until stop is closed.
func (c *callers) run(number int, source *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%d-%d", number, i)
		if number%2 == 0 {
			c.reserve(id, source)
		} else {
			c.stream(id, source)
		}
	}
}

// stream asks a question and checks that the answer is whole or refused.
func (c *callers) stream(id string, source *rand.Rand) {
	tokens := 5 + source.IntN(60)
	words := source.IntN(2000)
	if source.IntN(groupEvery) == 0 {
		words = groupWords
	}
	prompt := "verse " + id + " " + strings.Repeat("word ", words)
	r := c.d.question(source.IntN(2), prompt, tokens)
	text, result, err := c.timed(r, id)
	if err != nil || result.refusal != nil {
		return // a killed entry or a refusal, which the test allows
	}
	if text != expectedAnswer(prompt, tokens) {
		c.fail("stream %s: wrong answer", id)
	}
}

// reserve makes a reservation and sends it again, through any entry, until it
// is answered or three submissions were not.
func (c *callers) reserve(id string, source *rand.Rand) {
	e := &ledgerEntry{}
	c.mu.Lock()
	c.book[id] = e
	c.mu.Unlock()
	for range 3 {
		text, result, err := c.timed(c.d.reservation(source.IntN(2), id), id)
		switch {
		case err != nil:
			e.mayHave = true
		case result.refusal == nil:
			e.answered = true
			if !strings.Contains(text, `"run":1`) {
				c.fail("reservation %s: %s", id, text)
			}
			return
		case result.refusal.Execution != oleanderspool.NotRun:
			e.mayHave = true
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// timed sends a request and checks that its final answer comes in time. A
// paused entry answers nobody, so the caller gives up after its limit.
func (c *callers) timed(r callerRequest, id string) (string, callerResult, error) {
	r.timeout = requestLimit
	ctx, cancel := context.WithTimeout(context.Background(), (requestLimit + answerGrace).Duration())
	defer cancel()
	var text strings.Builder
	result, err := r.send(ctx, http.DefaultClient, &text)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.fail("request %s: no answer within its limit from %s", id, r.entry)
	}
	c.mu.Lock()
	c.done++
	c.mu.Unlock()
	return text.String(), result, err
}

// Guards against every broken promise at once: callers keep sending while two
// failures at a time come and go. The oracle is what the plain service ran and
// what the engine stand-in generates.
var _ = Describe("Two failures at a time", func() {
	It("breaks no promise", func() {
		d := newDeployment(0, func(d *deployment) {
			d.memory = 10_000
			for _, name := range []string{"runner-1", "runner-2", "runner-3"} {
				d.startRunner(name)
			}
		})
		c := &callers{d: d, book: make(map[string]*ledgerEntry)}
		stop := make(chan struct{})
		var group sync.WaitGroup
		for number := range 8 {
			source := rand.New(rand.NewPCG(*faultSeed, uint64(number)))
			group.Go(func() { c.run(number, source, stop) })
		}
		source := rand.New(rand.NewPCG(*faultSeed, 1000))
		for range *faultRounds {
			groups := source.Perm(len(failures))[:2]
			pair := make([]failure, len(groups))
			for i, g := range groups {
				pair[i] = failures[g][source.IntN(len(failures[g]))]
			}
			fmt.Fprintf(GinkgoWriter, "failures: %s, %s\n", pair[0].name, pair[1].name)
			for _, f := range pair {
				f.start(d)
				time.Sleep(time.Duration(source.IntN(1500)) * time.Millisecond)
			}
			time.Sleep(time.Duration(1000+source.IntN(3000)) * time.Millisecond)
			for _, f := range pair {
				f.end(d)
			}
			time.Sleep(1500 * time.Millisecond)
		}
		close(stop)
		group.Wait()
		Expect(c.bad).To(BeEmpty())
		runs := d.runs()
		for id, e := range c.book {
			Expect(runs[id]).To(BeNumerically("<=", 1), "reservation %s ran twice", id)
			if e.answered {
				Expect(runs[id]).To(Equal(1), "reservation %s was answered and did not run", id)
			}
			if !e.answered && !e.mayHave {
				Expect(runs[id]).To(Equal(0), "reservation %s was always refused as not run and ran", id)
			}
		}
		d.expectFree()
		fmt.Fprintf(GinkgoWriter, "%d requests, %d reservations\n", c.done, len(c.book))
	})
})
