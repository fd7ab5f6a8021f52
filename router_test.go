package oleanderspool_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
)

type queuedTokensScorer struct{}

func (queuedTokensScorer) Cost(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) float64 {
	return float64(b.Load.QueuedTokens)
}

type leavingFilter struct{}

func (leavingFilter) Allows(_ oleanderspool.Request, b oleanderspool.BackendServer, _ oleanderspool.Millis) bool {
	return !b.Leaving
}

// Guards against a router that ignores a filter or prefers a higher cost.
var _ = Describe("Router", func() {
	router := oleanderspool.New(
		oleanderspool.WithFilters(oleanderspool.Prioritize[oleanderspool.Filter](leavingFilter{}, 1)),
		oleanderspool.WithScorers(oleanderspool.Prioritize[oleanderspool.Scorer](queuedTokensScorer{}, 1)),
	)
	server := func(id string, queued int64, leaving bool) oleanderspool.BackendServer {
		return oleanderspool.BackendServer{
			Instance: oleanderspool.InstanceID(id),
			Leaving:  leaving,
			Load:     oleanderspool.Load{QueuedTokens: queued},
		}
	}
	cases := []struct {
		name       string
		candidates []oleanderspool.BackendServer
		want       oleanderspool.InstanceID
		found      bool
	}{
		{"no server for an empty candidate list", nil, "", false},
		{"no server when all candidates are leaving", []oleanderspool.BackendServer{server("a", 0, true)}, "", false},
		{"the server with the lowest cost", []oleanderspool.BackendServer{server("a", 9, false), server("b", 3, false)}, "b", true},
		{"the costlier server when the cheaper one is leaving", []oleanderspool.BackendServer{server("a", 1, true), server("b", 3, false)}, "b", true},
	}
	for _, c := range cases {
		It("returns "+c.name, func() {
			got, found := router.Route(oleanderspool.Request{}, c.candidates, 0)
			Expect(found).To(Equal(c.found))
			Expect(got.Instance).To(Equal(c.want))
		})
	}
})
