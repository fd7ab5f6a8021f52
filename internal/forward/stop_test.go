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
