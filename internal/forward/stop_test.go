package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("A planned stop under load", func() {
	// Guards against connections that the balancer has just opened, and keep-alive
	// connections whose next request crosses the stop, that are closed without an
	// answer. The balancer goes on for 5 s, longer than entries usually listen.
	It("answers each request on a new connection and each one that it has read", func() {
		h := newHarness(2, 0)
		var sending sync.WaitGroup
		var answered, refused, cut atomic.Int64
		var first atomic.Value // description of the first cut request
		end := time.Now().Add(5 * time.Second)
		ask := func(conn net.Conn, reader *bufio.Reader, id string) (reusable bool, err error) {
			var head bytes.Buffer
			fmt.Fprintf(&head, "POST /lookup/1 HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", host)
			if err := (platformtest.CallerHeader{ID: id, APIKey: "crew-key"}).Encode().Write(&head); err != nil {
				return false, err
			}
			head.WriteString("\r\n")
			if _, err := conn.Write(head.Bytes()); err != nil {
				return false, err
			}
			time.Sleep(5 * time.Millisecond) // the body arrives after the header
			if _, err := conn.Write([]byte("body")); err != nil {
				return false, err
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return false, err
			}
			defer response.Body.Close()
			switch response.StatusCode {
			case http.StatusOK:
				answered.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
				Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
			_, err = io.Copy(io.Discard, response.Body)
			return !response.Close, err
		}
		for caller := range 20 {
			sending.Go(func() {
				defer GinkgoRecover()
				for n := 0; time.Now().Before(end); n++ {
					conn, err := net.Dial("tcp", h.address)
					if err != nil {
						cut.Add(1)
						first.CompareAndSwap(nil, "connect: "+err.Error())
						continue
					}
					reader := bufio.NewReader(conn)
					for i := 0; ; i++ {
						reusable, err := ask(conn, reader, strings.ReplaceAll(fmt.Sprint("stop ", caller, n, i), " ", "-"))
						if err != nil {
							cut.Add(1)
							first.CompareAndSwap(nil, fmt.Sprint(err, " request ", i, " of connection, before the end: ", time.Until(end)))
						}
						if err != nil || !reusable || time.Now().After(end) {
							break
						}
					}
					conn.Close()
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		h.stop()
		sending.Wait()
		Expect(cut.Load()).To(BeZero(), "first: %v", first.Load())
		Expect(answered.Load()).To(BeNumerically(">", 0))
		Expect(refused.Load()).To(BeNumerically(">", 0))
		Eventually(h.stopped, "4s").Should(Receive(BeNil()))
	})

	// Guards against connections that wait to be accepted, because the process lacked
	// processor time, and are reset when the listener is closed: on estacas-prod-large
	// one had waited for 0.75 s at that moment.
	It("answers a request that waits to be accepted at the end of the usual time", func() {
		h := newHarness(1, 0)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		slow := &slowListener{Listener: listener, release: make(chan struct{})}
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- forward.NewServer(h.gateway).Serve(ctx, slow, grace) }()
		stop()
		time.Sleep(2900 * time.Millisecond)
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("GET /lookup/1 HTTP/1.1\r\nHost: " + host + "\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(500*time.Millisecond, func() { close(slow.release) })
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(stopped, "4s").Should(Receive(BeNil()))
	})
})

// slowListener accepts no connection before it is released.
type slowListener struct {
	net.Listener
	release chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

var _ = Describe("A request late in a planned stop", func() {
	// Guards against requests that are passed on when they can no longer end within the
	// grace period, and against requests in progress at its end that get no answer.
	const callers = 100
	cases := []struct {
		name, path string
		from       time.Duration // after the stop began, when requests are sent
		bodyAfter  time.Duration // until their bodies arrive
		behave     platformtest.Behaviour
		status     int
		runs       int
	}{
		{"is refused as not run when its body arrives late", "/ask/once/1", -500 * time.Millisecond, 4 * time.Second, platformtest.Hang, http.StatusServiceUnavailable, 0},
		{"is refused as not run when its body has not arrived at the end", "/audit/1", 2 * time.Second, 20 * time.Second, platformtest.Hang, http.StatusServiceUnavailable, 0},
		{"gets an answer at the end when its server has sent none", "/audit/1", 2 * time.Second, 0, platformtest.Hang, http.StatusBadGateway, callers},
		{"gets an answer at the end when it was accepted before the stop", "/audit/1", -500 * time.Millisecond, 0, platformtest.Hang, http.StatusBadGateway, callers},
	}
	for _, c := range cases {
		It(c.name, func() {
			h := newHarness(1, 8)
			h.behave(c.behave)
			stopAt := time.Now().Add(time.Second)
			time.AfterFunc(time.Until(stopAt), h.stop)
			statuses := make(chan int, callers)
			for i := range callers {
				var head bytes.Buffer
				fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", c.path, host)
				Expect(platformtest.CallerHeader{ID: fmt.Sprint("late-", i), APIKey: "crew-key", PromptTokens: 100}.Encode().Write(&head)).To(Succeed())
				go func() {
					defer GinkgoRecover()
					time.Sleep(time.Until(stopAt.Add(c.from)))
					conn, err := net.Dial("tcp", h.address)
					Expect(err).NotTo(HaveOccurred())
					defer conn.Close()
					_, err = io.WriteString(conn, head.String()+"\r\n")
					Expect(err).NotTo(HaveOccurred())
					body := time.AfterFunc(c.bodyAfter, func() { _, _ = io.WriteString(conn, "body") })
					defer body.Stop()
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						statuses <- 0
						return
					}
					_ = response.Body.Close()
					statuses <- response.StatusCode
				}()
			}
			for range callers {
				var status int
				Eventually(statuses, "12s").Should(Receive(&status))
				Expect(status).To(Equal(c.status))
			}
			Eventually(h.stopped, "2s").Should(Receive(BeNil()))
			Expect(time.Since(stopAt)).To(BeNumerically("<", grace.Duration()))
			Expect(h.runs()).To(Equal(c.runs))
		})
	}
})
