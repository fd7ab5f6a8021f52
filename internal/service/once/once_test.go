package once_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/service/once"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

var _ = Describe("Sender", func() {
	// Guards against net/http's own rule for repeating requests, should the
	// sender ever keep connections.
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
		server, err := standin.NewBroken(standin.BreakAfterRequest, "ok", 1)
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
			// A connection is kept only if the body was read to its end.
			Expect(once.ReadBody(response.Body, 2)).To(Equal([]byte("ok")))
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(server.Requests()).To(Equal(2))
	})
})
