package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
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
	// answerSlack is how long after its timeout a request may still be answered.
	answerSlack = time.Second
	// revocationLimit, drainLimit and configurationLimit are the platform's bounds on
	// how long a revoked key is accepted, a draining server gets requests and a
	// change of the configuration takes to apply.
	revocationLimit    = 5 * time.Second
	drainLimit         = 2 * time.Second
	configurationLimit = 2 * time.Second
	// evacuationLimit is evacuateMs of the settings: how long after its order the servers
	// of an evacuated data centre may get requests.
	evacuationLimit = 5 * time.Second
	// coldPerS and coldBound are the requests that a cold server tolerates and may get
	// within a second: coldPerS x coldOver + coldSlack of the settings. The bound is well
	// above what the callers send without a crowd.
	coldPerS  = 60
	coldBound = 95
	// Numbers of servers of the two services; smallFleetApps is for seeds from before
	// the servers were in two data centres.
	apps           = 4
	smallFleetApps = 3
	engines        = 4
	// settleTime is how long there must have been no fault before a bound applies.
	settleTime = 3 * time.Second
	// recoveryLimit is the time after the last fault within which all entries are
	// ready again.
	recoveryLimit = 12 * time.Second
	// memoryReleaseLimit is the time after the last request within which all
	// reservations of memory are released.
	memoryReleaseLimit = 4 * time.Second
	// schedulingAllowance is added to time bounds, since all processes of the soak
	// share the machine with other tests.
	schedulingAllowance = 500 * time.Millisecond
	callerCount         = 16
	// smallFleet is a number of entries that all send to each other, and relayedFleet
	// one with a relay.
	smallFleet   = 3
	relayedFleet = 10
	// At least one in servedDivisor of the requests sent while neither their entry nor
	// the store had a fault must be served, whatever faults the servers have.
	servedDivisor = 4
	// maxProblems is the number of problems that a failed run prints at most.
	maxProblems = 20
)

// regressions are seeds that failed before, each with the cause of the failure.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2000, "an ordinary request was still refused as one that crashes servers after it had been answered"},
	{7108, "keys were accepted because of newest records that were seconds old"},
}

var _ = Describe("Entries under faults", func() {
	// Guards against violations of the promises under successive and overlapping
	// faults: requests that run twice, or run although they were refused as not run,
	// answers to another request, truncated answers that look complete, keys and
	// servers that are used too long after their removal, lost requests, memory that
	// stays reserved, evacuated data centres and cold servers that get too many requests,
	// and entries that do not recover.
	runSeed := func(seed uint64, entries, apps int, allFaults bool) {
		By(fmt.Sprintf("seed %d", seed))
		f := newFleet(entries, apps, engines, allFaults)
		senders := &callers{fleet: f, seed: seed}
		in := &injector{fleet: f, callers: senders, rng: rand.New(rand.NewPCG(seed, 0)), busy: make(map[target]bool), allFaults: allFaults}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var sending sync.WaitGroup
		for i := range callerCount {
			sending.Go(func() {
				defer GinkgoRecover()
				senders.run(ctx, i)
			})
		}
		in.run(time.Duration(*seconds) * time.Second)
		healed := time.Now()
		Eventually(f.ready, recoveryLimit, 50*time.Millisecond).Should(BeTrue(), "seed %d: all entries are ready again", seed)
		time.Sleep(time.Until(healed.Add(settleTime)))
		stop()
		sending.Wait()
		in.checkAll(senders.outcomes)
		in.checkRecovery()
		if len(in.problems) > 0 {
			in.fail(seed)
		}
	}

	for _, r := range regressions {
		It(fmt.Sprintf("keep the promises with seed %d: %s", r.seed, r.cause), func() { runSeed(r.seed, smallFleet, smallFleetApps, false) })
	}
	for i := range uint64(*runs) {
		It(fmt.Sprintf("keep the promises, run %d", i), func() { runSeed(*seed+i, smallFleet, apps, true) })
		It(fmt.Sprintf("keep the promises with relays, run %d", i), func() { runSeed(*seed+i, relayedFleet, apps, true) })
	}
})

// fail fails the test with the problems found and the faults that were active.
func (in *injector) fail(seed uint64) {
	var b strings.Builder
	start := in.windows[0].from
	for _, w := range in.windows {
		fmt.Fprintf(&b, "%7.3f to %7.3f  %s %d %s\n", w.from.Sub(start).Seconds(), w.to.Sub(start).Seconds(), w.kind, w.index, w.name)
	}
	if *keepLog != "" {
		data, err := os.ReadFile(in.fleet.log.Name())
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(fmt.Sprintf("%s/soak-%d.log", *keepLog, seed), data, 0o600)).To(Succeed())
	}
	shown := in.problems[:min(len(in.problems), maxProblems)]
	Fail(fmt.Sprintf("seed %d: %d problems, start %s:\n%s\nfaults:\n%s", seed, len(in.problems), start.Format(time.RFC3339Nano), strings.Join(shown, "\n"), b.String()))
}

// checkAll checks each request against what the backend servers received.
func (in *injector) checkAll(outcomes []outcome) {
	arrivals := in.fleet.arrivals()
	served, faultFree := 0, 0
	known := make(map[string]bool)
	for _, o := range outcomes {
		known[o.id] = true
		executions := 0
		for _, a := range arrivals[o.id] {
			if a.Ran {
				executions++
			}
		}
		in.checkExecutions(o, executions)
		in.checkAnswer(o)
		in.checkLatency(o, len(arrivals[o.id]) > 0)
		in.checkKey(o, executions)
		if o.crowd || o.overLimit() {
			continue // may be refused at entries without faults
		}
		if in.faultFree(target{"store", o.entry}, o.sentAt.Add(-revocationLimit), o.endedAt) && in.faultFree(target{"entry", o.entry}, o.sentAt.Add(-settleTime), o.endedAt) {
			faultFree++
			if o.status == http.StatusOK && o.err == nil {
				served++
			}
		}
	}
	for id := range arrivals {
		if id != "" && !known[id] {
			in.addProblem("%s reached a server but no caller sent it", id)
		}
	}
	if served*servedDivisor < faultFree {
		in.addProblem("only %d of %d requests were served at entries without faults", served, faultFree)
	}
	in.checkDrains(outcomes)
	in.checkEvacuations(outcomes)
	in.checkColdServers()
}

func (in *injector) checkExecutions(o outcome, executions int) {
	if o.route.atMostOnce && executions > 1 {
		in.addProblem("%s may run once and ran %d times", o.id, executions)
	}
	if o.route.atMostOnce && executions > 0 && o.saysNotExecuted() && o.err == nil {
		in.addProblem("%s was answered %d and ran", o.id, o.status)
	}
	if executions > o.route.Attempts {
		in.addProblem("%s ran on %d servers, %d are allowed", o.id, executions, o.route.Attempts)
	}
}

func (in *injector) checkAnswer(o outcome) {
	if o.err != nil || o.status == 0 {
		return
	}
	if o.answeredID != o.id {
		in.addProblem("%s got an answer to %q with status %d", o.id, o.answeredID, o.status)
	}
	if o.status == http.StatusOK && (!o.complete() || !platformtest.HasRunnerSignature(o.header)) {
		in.addProblem("%s got an answer that looks complete and is not: %q", o.id, o.body)
	}
	mayBeRevoked := strings.HasPrefix(o.key, "round-")
	if o.status == http.StatusNotFound || o.status == http.StatusUnauthorized && !mayBeRevoked {
		in.addProblem("%s was answered %d", o.id, o.status)
	}
}

// checkLatency checks that each request at an entry without faults ends in time and,
// if it was forwarded, with an answer.
func (in *injector) checkLatency(o outcome, forwarded bool) {
	if o.abandoned || !in.faultFree(target{"entry", o.entry}, o.sentAt.Add(-settleTime), o.endedAt) {
		return
	}
	limit := time.Duration(o.route.TimeoutMs)*time.Millisecond + answerSlack + schedulingAllowance
	if took := o.endedAt.Sub(o.sentAt); took > limit {
		in.addProblem("%s ended after %s, status %d, error %v", o.id, took, o.status, o.err)
	}
	if o.status == 0 && forwarded && o.err != nil && o.endedAt.Sub(o.sentAt) < limit {
		in.addProblem("%s was forwarded by entry %d and its connection closed without an answer: %v", o.id, o.entry, o.err)
	}
}

func (in *injector) checkKey(o outcome, executions int) {
	for _, r := range in.revocations {
		if executions > 0 && r.key == o.key && o.sentAt.After(r.at.Add(revocationLimit)) {
			in.addProblem("%s ran although it was sent %s after its key was revoked", o.id, o.sentAt.Sub(r.at))
		}
	}
}

// checkDrains checks that a draining server gets no more requests after drainLimit.
func (in *injector) checkDrains(outcomes []outcome) {
	byID := make(map[string]outcome, len(outcomes))
	for _, o := range outcomes {
		byID[o.id] = o
	}
	arrivals := make(map[string]map[string]time.Time) // by server and request ID
	for _, s := range in.fleet.servers {
		arrivals[s.ID] = make(map[string]time.Time)
		for _, a := range s.Requests() {
			arrivals[s.ID][a.ID] = a.ReceivedAt
		}
	}
	for _, d := range in.drains {
		until := in.drainEnd(d)
		for id, at := range arrivals[d.server] {
			o, found := byID[id]
			late := at.After(d.at.Add(drainLimit+schedulingAllowance)) && at.Before(until)
			faultFree := found && in.faultFree(target{"store", o.entry}, d.at.Add(-settleTime), at) && in.faultFree(target{"entry", o.entry}, d.at.Add(-settleTime), at)
			if late && faultFree {
				in.addProblem("%s reached %s %s after it began to drain", id, d.server, at.Sub(d.at))
			}
		}
	}
}

// drainEnd returns the time at which a drained server was ready again.
func (in *injector) drainEnd(d drain) time.Time {
	for _, w := range in.windows {
		if w.kind == "drain" && !w.from.After(d.at) && w.to.After(d.at) && in.fleet.servers[w.index].ID == d.server {
			return w.to
		}
	}
	return d.at
}

// checkEvacuations checks that the servers of an evacuated data centre get no requests
// after evacuationLimit from entries that have been in contact with the store.
func (in *injector) checkEvacuations(outcomes []outcome) {
	byID := make(map[string]outcome, len(outcomes))
	for _, o := range outcomes {
		byID[o.id] = o
	}
	for i, s := range in.fleet.servers {
		for _, a := range s.Requests() {
			for _, e := range in.evacuations {
				o, found := byID[a.ID]
				from := o.sentAt.Add(-settleTime)
				late := e.name == dataCentres[i%len(dataCentres)] && a.ReceivedAt.After(e.from.Add(evacuationLimit)) && a.ReceivedAt.Before(e.to)
				inContact := found && in.faultFree(target{"store", o.entry}, from, a.ReceivedAt) && in.faultFree(target{"entry", o.entry}, from, a.ReceivedAt)
				// The connections to the server may hold back an earlier request.
				sentLate := o.sentAt.After(e.from.Add(evacuationLimit)) || in.faultFree(target{"server", i}, o.sentAt, a.ReceivedAt)
				if late && !a.Misdirected && inContact && sentLate {
					in.addProblem("%s reached %s %s after the evacuation of %s was ordered", a.ID, s.ID, a.ReceivedAt.Sub(e.from), e.name)
				}
			}
		}
	}
}

// checkColdServers checks that no server got more than coldBound requests within a
// second while it was cold.
func (in *injector) checkColdServers() {
	for _, s := range in.fleet.servers {
		for _, c := range in.coldSpans {
			var within []time.Time
			for _, a := range s.Requests() {
				if c.name == s.ID && !a.Misdirected && a.ReceivedAt.After(c.from.Add(linkSettleTime)) && a.ReceivedAt.Before(c.to) {
					within = append(within, a.ReceivedAt)
				}
			}
			slices.SortFunc(within, time.Time.Compare)
			for i := coldBound; i < len(within); i++ {
				if span := within[i].Sub(within[i-coldBound]); span < time.Second {
					in.addProblem("%s got %d requests within %s while it was cold", s.ID, coldBound+1, span)
					break
				}
			}
		}
	}
}

// sendWithinLimit sends a request, and once more after the stated time if the slow-start
// limit refused it.
func (in *injector) sendWithinLimit(client *http.Client, entry int, r route, id string) outcome {
	o := in.callers.send(client, entry, r, id, "stays", false)
	if !in.allFaults || !o.overLimit() {
		return o
	}
	seconds, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
	if err != nil {
		in.addProblem("%s was refused with Retry-After %q", id, o.header.Get("Retry-After"))
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	return in.callers.send(client, entry, r, id+"-again", "stays", false)
}

// checkRecovery checks that, after the last fault, every entry serves all routes, also
// added ones, and refuses revoked keys, and that no memory stays reserved.
func (in *injector) checkRecovery() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range in.fleet.entries {
		for j, r := range routes {
			o := in.sendWithinLimit(client, i, r, fmt.Sprintf("after-%d-%d", i, j))
			if o.status != http.StatusOK || o.err != nil {
				in.addProblem("entry %d does not serve %s after the faults: %d %v %s", i, r.Name, o.status, o.err, o.body)
			}
		}
		for _, a := range in.routeAdditions {
			r := routes[1]
			r.Prefix = addedRoutePrefix(a.route)
			if o := in.sendWithinLimit(client, i, r, fmt.Sprintf("extra-%d-%d", i, a.route)); o.status != http.StatusOK {
				in.addProblem("entry %d answers %d to a route that was added %s ago", i, o.status, time.Since(a.at))
			}
		}
		for _, a := range in.revocations {
			if o := in.callers.send(client, i, routes[1], fmt.Sprintf("revoked-%d-%s", i, a.key), a.key, false); o.status != http.StatusUnauthorized {
				in.addProblem("entry %d answers %d to a key that was revoked %s ago", i, o.status, time.Since(a.at))
			}
		}
	}
	deadline := time.Now().Add(memoryReleaseLimit)
	for in.fleet.heldReservations() > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	if held := in.fleet.heldReservations(); held > 0 {
		in.addProblem("%d reservations are still held", held)
	}
}
