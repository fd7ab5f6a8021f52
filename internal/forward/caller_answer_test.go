package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/platform"
)

// TestUnfinishedAnswers guards against a code path that returns without an answer, which
// net/http would complete with an empty 200.
func TestUnfinishedAnswers(t *testing.T) {
	cases := []struct {
		name   string
		end    func(*callerAnswer)
		aborts bool
	}{
		{"finished", (*callerAnswer).finish, false},
		{"broken off", (*callerAnswer).breakOff, true},
		{"neither", func(*callerAnswer) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			metrics := observe.NewMetrics()
			gateway := New(directory.NewView(), platform.Headers{}, clock.NewBoot(), WithMetrics(metrics))
			answer := &callerAnswer{ResponseWriter: httptest.NewRecorder()}
			c.end(answer)
			end := func() { gateway.endAnswer(answer, &transaction{gateway: gateway}) }
			if !c.aborts {
				g.Expect(end).NotTo(Panic())
				return
			}
			g.Expect(end).To(PanicWith(http.ErrAbortHandler))
			families, err := metrics.Registry().Gather()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(families).To(ContainElement(HaveField("GetName()", "oleanderspool_state_changes_total")))
		})
	}
}
