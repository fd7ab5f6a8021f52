package forward_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// faultyFormat panics when it decodes the header of an answer.
type faultyFormat struct {
	platform.Headers
	active bool
}

func (f *faultyFormat) DecodeAnswerHeader(status int, header http.Header) oleanderspool.AnswerHeader {
	if f.active {
		panic("unexpected header")
	}
	return f.Headers.DecodeAnswerHeader(status, header)
}

var _ = Describe("An unexpected panic", func() {
	// Guards against an error in the processing of one request that ends the process,
	// leaves no trace, or leaves the load and the connection of the request behind.
	It("ends its request only, with a log line and a counter", func() {
		h := newHarness(1, 0)
		metrics := observe.NewMetrics()
		format := &faultyFormat{active: true}
		gateway := forward.New(h.view, format, h.clock, forward.WithMetrics(metrics))
		ask := func() (status int, aborted bool) {
			defer func() {
				err, _ := recover().(error)
				aborted = errors.Is(err, http.ErrAbortHandler)
			}()
			w := httptest.NewRecorder()
			q := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+host+"/reserve/1", nil)
			q.Host, q.RequestURI = host, "/reserve/1"
			q.Header = platformtest.CallerHeader{ID: "one", APIKey: "crew-key"}.Encode()
			gateway.ServeHTTP(w, q)
			return w.Code, false
		}
		_, aborted := ask()
		Expect(aborted).To(BeTrue())
		Expect(gateway.InFlight()).To(BeZero())
		Expect(gateway.State().Report(true).Tasks).To(BeEmpty())
		families, err := metrics.Registry().Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(ContainElement(HaveField("GetName()", "oleanderspool_panics_total")))
		format.active = false
		status, aborted := ask()
		Expect(aborted).To(BeFalse())
		Expect(status).To(Equal(http.StatusOK))
	})
})
