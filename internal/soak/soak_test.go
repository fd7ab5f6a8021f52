package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var (
	seed    = flag.Uint64("soak.seed", 20261204, "first seed")
	runs    = flag.Int("soak.runs", 1, "number of seeds, from the first one on")
	seconds = flag.Int("soak.seconds", 8, "length of the faults of each seed")
	keepLog = flag.String("soak.log", "", "directory that keeps the logs of the entries of failed seeds")
)

const (
	// answerSlack is how long after its time limit a request may be answered.
	answerSlack = time.Second
	// keyLimit, drainLimit and configurationLimit are the platform's bounds.
	keyLimit           = 5 * time.Second
	drainLimit         = 2 * time.Second
	configurationLimit = 2 * time.Second
	// touch is the span without faults before a bound holds.
	touch = 3 * time.Second
	// recovery is the span after the last fault in which all is served again.
	recovery = 12 * time.Second
	// memoryLimit is the span after the last request in which memory is free.
	memoryLimit = 4 * time.Second
	// slowMachine is added to bounds of time, since all processes of the soak
	// share the machine with other tests.
	slowMachine = 500 * time.Millisecond
	callerCount = 16
	// One of servedShare requests at entries without faults of their own or the store
	// has to be served, whatever servers do.
	servedShare = 4
	// maxProblems bounds what a failed run prints.
	maxProblems = 20
)

// regressions are seeds that failed before, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2000, "a common request stayed refused as one that crashes servers although it was answered"},
	{7108, "keys were honoured by newest records that were seconds old"},
}

var _ = Describe("Entries under faults", func() {
	// Guards against whatever faults that come in series and overlap do to the
	// promises: second runs, untrue refusals, answers that are mixed or look
	// complete, keys and servers that are used too long, lost requests, memory that
	// stays held, and entries that do not come back.
	play := func(seed uint64) {
		By(fmt.Sprintf("seed %d", seed))
		f := newFleet(3, 3, 4)
		senders := &callers{fleet: f, seed: seed}
		c := &chaos{fleet: f, callers: senders, rng: rand.New(rand.NewPCG(seed, 0)), busy: make(map[part]bool)}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var sending sync.WaitGroup
		for i := range callerCount {
			sending.Go(func() {
				defer GinkgoRecover()
				senders.run(ctx, i)
			})
		}
		c.run(time.Duration(*seconds) * time.Second)
		healed := time.Now()
		Eventually(f.ready, recovery, 50*time.Millisecond).Should(BeTrue(), "seed %d: all entries are ready again", seed)
		time.Sleep(time.Until(healed.Add(touch)))
		stop()
		sending.Wait()
		c.checkAll(senders.outcomes)
		c.checkRecovery()
		if len(c.problems) > 0 {
			c.fail(seed)
		}
	}

	for _, r := range regressions {
		It(fmt.Sprintf("keep the promises with seed %d: %s", r.seed, r.cause), func() { play(r.seed) })
	}
	for i := range uint64(*runs) {
		It(fmt.Sprintf("keep the promises, run %d", i), func() { play(*seed + i) })
	}
})

// fail prints what was seen and which faults were in force.
func (c *chaos) fail(seed uint64) {
	var b strings.Builder
	start := c.spans[0].from
	for _, s := range c.spans {
		fmt.Fprintf(&b, "%7.3f to %7.3f  %s %d %s\n", s.from.Sub(start).Seconds(), s.to.Sub(start).Seconds(), s.kind, s.index, s.name)
	}
	if *keepLog != "" {
		data, err := os.ReadFile(c.fleet.log.Name())
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(fmt.Sprintf("%s/soak-%d.log", *keepLog, seed), data, 0o600)).To(Succeed())
	}
	shown := c.problems[:min(len(c.problems), maxProblems)]
	Fail(fmt.Sprintf("seed %d: %d problems, start %s:\n%s\nfaults:\n%s", seed, len(c.problems), start.Format(time.RFC3339Nano), strings.Join(shown, "\n"), b.String()))
}

// checkAll checks each request against what the backend servers got.
func (c *chaos) checkAll(outcomes []outcome) {
	arrivals := c.fleet.arrivals()
	served, calm := 0, 0
	known := make(map[string]bool)
	for _, o := range outcomes {
		known[o.id] = true
		ran := 0
		for _, a := range arrivals[o.id] {
			if a.Ran {
				ran++
			}
		}
		c.checkRuns(o, ran)
		c.checkAnswer(o)
		c.checkTime(o, len(arrivals[o.id]) > 0)
		c.checkKey(o, ran)
		if c.calm(part{"store", o.entry}, o.sentAt.Add(-keyLimit), o.endedAt) && c.calm(part{"entry", o.entry}, o.sentAt.Add(-touch), o.endedAt) {
			calm++
			if o.status == http.StatusOK && o.err == nil {
				served++
			}
		}
	}
	for id := range arrivals {
		if id != "" && !known[id] {
			c.complain("%s reached a server and nobody sent it", id)
		}
	}
	if served*servedShare < calm {
		c.complain("only %d of %d requests at calm entries were served", served, calm)
	}
	c.checkDrains(outcomes)
}

func (c *chaos) checkRuns(o outcome, ran int) {
	if o.route.once && ran > 1 {
		c.complain("%s may run once and ran %d times", o.id, ran)
	}
	if o.route.once && ran > 0 && o.promises() && o.err == nil {
		c.complain("%s was answered %d and ran", o.id, o.status)
	}
	if ran > o.route.Attempts {
		c.complain("%s ran on %d servers, %d are allowed", o.id, ran, o.route.Attempts)
	}
}

func (c *chaos) checkAnswer(o outcome) {
	if o.err != nil || o.status == 0 {
		return
	}
	if o.answer != o.id {
		c.complain("%s got an answer to %q with status %d", o.id, o.answer, o.status)
	}
	if o.status == http.StatusOK && (!o.whole() || !platformtest.HasRunnerSignature(o.header)) {
		c.complain("%s got an answer that looks complete and is not: %q", o.id, o.body)
	}
	mayBeRevoked := strings.HasPrefix(o.key, "round-")
	if o.status == http.StatusNotFound || o.status == http.StatusUnauthorized && !mayBeRevoked {
		c.complain("%s was answered %d", o.id, o.status)
	}
}

// checkTime checks that each request ends in time, with an answer, at an entry
// without faults.
func (c *chaos) checkTime(o outcome, passedOn bool) {
	if o.left || !c.calm(part{"entry", o.entry}, o.sentAt.Add(-touch), o.endedAt) {
		return
	}
	limit := time.Duration(o.route.TimeoutMs)*time.Millisecond + answerSlack + slowMachine
	if took := o.endedAt.Sub(o.sentAt); took > limit {
		c.complain("%s ended after %s, status %d, error %v", o.id, took, o.status, o.err)
	}
	if o.status == 0 && passedOn && o.err != nil && o.endedAt.Sub(o.sentAt) < limit {
		c.complain("%s was passed on by entry %d and its connection closed without an answer: %v", o.id, o.entry, o.err)
	}
}

func (c *chaos) checkKey(o outcome, ran int) {
	for _, r := range c.revocations {
		if ran > 0 && r.key == o.key && o.sentAt.After(r.at.Add(keyLimit)) {
			c.complain("%s ran %s after its key was taken away", o.id, o.sentAt.Sub(r.at))
		}
	}
}

// checkDrains checks that a server that leaves gets no requests after a while.
func (c *chaos) checkDrains(outcomes []outcome) {
	byID := make(map[string]outcome, len(outcomes))
	for _, o := range outcomes {
		byID[o.id] = o
	}
	names := make(map[string]map[string]time.Time) // arrivals by server and request
	for _, s := range c.fleet.servers {
		names[s.ID] = make(map[string]time.Time)
		for _, a := range s.Requests() {
			names[s.ID][a.ID] = a.ReceivedAt
		}
	}
	for _, d := range c.drains {
		until := c.drainEnd(d)
		for id, at := range names[d.server] {
			o, found := byID[id]
			late := at.After(d.at.Add(drainLimit+slowMachine)) && at.Before(until)
			calm := found && c.calm(part{"store", o.entry}, d.at.Add(-touch), at) && c.calm(part{"entry", o.entry}, d.at.Add(-touch), at)
			if late && calm {
				c.complain("%s reached %s %s after it began to drain", id, d.server, at.Sub(d.at))
			}
		}
	}
}

// drainEnd returns the instant at which a server that left was ready again.
func (c *chaos) drainEnd(d drain) time.Time {
	for _, s := range c.spans {
		if s.kind == "drain" && !s.from.After(d.at) && s.to.After(d.at) && c.fleet.servers[s.index].ID == d.server {
			return s.to
		}
	}
	return d.at
}

// checkRecovery checks that all is well a while after the last fault.
func (c *chaos) checkRecovery() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range c.fleet.entries {
		for j, r := range routes {
			o := c.callers.send(client, i, r, fmt.Sprintf("after-%d-%d", i, j), "stays", false)
			if o.status != http.StatusOK || o.err != nil {
				c.complain("entry %d does not serve %s after the faults: %d %v %s", i, r.Name, o.status, o.err, o.body)
			}
		}
		for _, a := range c.additions {
			r := routes[1]
			r.Prefix = extraPrefix(a.route)
			if o := c.callers.send(client, i, r, fmt.Sprintf("extra-%d-%d", i, a.route), "stays", false); o.status != http.StatusOK {
				c.complain("entry %d answers %d to a route that was added %s ago", i, o.status, time.Since(a.at))
			}
		}
		for _, a := range c.revocations {
			if o := c.callers.send(client, i, routes[1], fmt.Sprintf("revoked-%d-%s", i, a.key), a.key, false); o.status != http.StatusUnauthorized {
				c.complain("entry %d answers %d to a key that was taken away %s ago", i, o.status, time.Since(a.at))
			}
		}
	}
	deadline := time.Now().Add(memoryLimit)
	for c.fleet.held() > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	if held := c.fleet.held(); held > 0 {
		c.complain("%d reservations are still held", held)
	}
}
