package agent

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/peer"
)

// Guards against a third crash by the same request: entries cancel the other
// attempts of a request that crashed an engine. If one of these crashes its engine
// within the same milliseconds and the report leaves it out, the two crashes have
// no request in common.
var _ = Describe("The report of an engine crash", func() {
	call := func(id oleanderspool.AttemptID, f oleanderspool.Fingerprint) peer.RunCall {
		return peer.RunCall{Attempt: id, Request: oleanderspool.Request{Fingerprint: f}}
	}
	cases := []struct {
		name  string
		since oleanderspool.Millis // from the cancellation to the crash
		trial bool                 // the request in flight runs as a trial
		want  []oleanderspool.Fingerprint
	}{
		{"names a request that was cancelled just before", 5, false, []oleanderspool.Fingerprint{1, 2}},
		{"omits a request that was cancelled long before", 1500, false, []oleanderspool.Fingerprint{1}},
		// A trial confirms its request as the cause only if the report names no other.
		{"names only the request of a trial run", 5, true, []oleanderspool.Fingerprint{1}},
	}
	for _, c := range cases {
		It(c.name, func() {
			manual := clock.NewManual(100)
			a := New("i-1", "dc-a")
			a.clock = manual
			for id, f := range map[oleanderspool.AttemptID]oleanderspool.Fingerprint{"neighbour": 1, "copy": 2} {
				a.calls[id] = call(id, f)
				_, a.cancels[id] = context.WithCancel(context.Background())
			}
			a.stopWork("copy")
			a.endAttempt("copy")
			delete(a.cancels, "copy")
			manual.Advance(c.since)
			neighbour := a.calls["neighbour"]
			neighbour.Trial = c.trial
			a.recordCrash(neighbour, "run")
			Expect(a.crashes.history.Crashes()).To(HaveLen(1))
			Expect(a.crashes.history.Crashes()[0].Fingerprints).To(ConsistOf(c.want))
		})
	}
})
