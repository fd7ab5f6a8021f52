package agent

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/peer"
)

// Guards against a third crash: entries cancel the other copies of a request that
// crashed an engine, and an engine that one of them brings down in the same
// milliseconds is reported without it, so that no request is common to both.
var _ = Describe("The report of a crash", func() {
	call := func(id oleanderspool.AttemptID, f oleanderspool.Fingerprint) peer.RunCall {
		return peer.RunCall{Attempt: id, Request: oleanderspool.Request{Fingerprint: f}}
	}
	cases := []struct {
		name  string
		since oleanderspool.Millis // from the cancellation to the crash
		trial bool                 // the request in flight runs as a trial
		told  []oleanderspool.Fingerprint
	}{
		{"names a request that was just cancelled", 5, false, []oleanderspool.Fingerprint{1, 2}},
		{"leaves out a request that was cancelled long before", 1500, false, []oleanderspool.Fingerprint{1}},
		// A trial confirms its request as the cause only if the report names no other.
		{"names only the request of a trial", 5, true, []oleanderspool.Fingerprint{1}},
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
			a.ended("copy")
			delete(a.cancels, "copy")
			manual.Advance(c.since)
			neighbour := a.calls["neighbour"]
			neighbour.Trial = c.trial
			a.noteCrash(neighbour, "run")
			Expect(a.crashes.history.Crashes()).To(HaveLen(1))
			Expect(a.crashes.history.Crashes()[0].Fingerprints).To(ConsistOf(c.told))
		})
	}
})
