package once_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/service/once"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

var _ = Describe("Sender", func() {
	// Guards against net/http's own retries, should the sender ever pool
	// connections.
	It("removes what marks a request as repeatable", func() {
		headers := make(chan http.Header, 1)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { headers <- r.Header }))
		DeferCleanup(server.Close)
		request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Idempotency-Key", "k")
		request.Header["X-Idempotency-Key"] = nil
		response, err := once.NewSender(once.DefaultDialTimeout).Send(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(<-headers).NotTo(HaveKey("Idempotency-Key"))
	})

	It("writes a repeatable request once when the connection breaks", func() {
		server, err := standin.NewBrokenServer(standin.BreakAfterRequest, "ok", 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		sender := once.NewSender(once.DefaultDialTimeout)
		for i := range 2 {
			request, err := http.NewRequest(http.MethodPut, "http://"+server.Address(), strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Idempotency-Key", "k")
			response, err := sender.Send(request)
			if i == 1 {
				Expect(err).To(HaveOccurred())
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			// A connection is reused only if the body was read to its end.
			Expect(once.ReadBody(response.Body, 2)).To(Equal([]byte("ok")))
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(server.Requests()).To(Equal(2))
	})
})

var _ = Describe("PooledSender", func() {
	// Guards against a request that hangs on a connection that went dead while it
	// was idle, against ErrStale although a part of the response arrived, and
	// against a first-byte timeout on a new connection, where a response may be
	// slow for another reason.
	cases := []struct {
		name     string
		point    standin.BreakPoint
		healthy  int // requests that are answered first, on the same connection
		stale    bool
		requests int
	}{
		{"reused and silent", standin.BreakNoResponse, 1, true, 2},
		{"reused and reset", standin.BreakAfterRequest, 1, true, 2},
		{"reused and reset within the header", standin.BreakInHeader, 1, false, 2},
		{"new and silent", standin.BreakNoResponse, 0, false, 1},
		{"new and reset", standin.BreakAfterRequest, 0, false, 1},
	}
	for _, c := range cases {
		It("reports whether the connection was stale when it is "+c.name, func(ctx context.Context) {
			server, err := standin.NewBrokenServer(c.point, "ok", c.healthy)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			sender := once.NewPooledSender(once.DefaultDialTimeout, 50)
			send := func() (*http.Response, error) {
				ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
				DeferCleanup(cancel)
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address(), strings.NewReader("body"))
				Expect(err).NotTo(HaveOccurred())
				return sender.Send(request)
			}
			for range c.healthy {
				response, err := send()
				Expect(err).NotTo(HaveOccurred())
				Expect(once.ReadBody(response.Body, 2)).To(Equal([]byte("ok")))
				Expect(response.Body.Close()).To(Succeed())
			}
			begin := time.Now()
			response, err := send()
			if err == nil {
				_, err = once.ReadBody(response.Body, 2)
				Expect(response.Body.Close()).To(Succeed())
			}
			Expect(err).To(HaveOccurred())
			Expect(errorx.IsOfType(err, once.ErrStale)).To(Equal(c.stale), "%v", err)
			Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
			Expect(server.Requests()).To(Equal(c.requests))
			if c.stale {
				Expect(time.Since(begin)).To(BeNumerically("<", 400*time.Millisecond))
			}
		})
	}
})
