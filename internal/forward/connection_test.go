package forward_test

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A caller's connection", func() {
	// Guards against callers that hold connections with headers that never
	// end, and against a timeout other than the configured one.
	It("is closed when a header takes longer than the configuration in force allows", func() {
		h := newHarness(1, 0)
		limits := configuration
		limits.HeaderTimeoutMs = 800
		h.store.Configure(limits)
		Eventually(func() int64 { return h.view.Snapshot().Configuration.Version }, waitTimeout, pollInterval).Should(BeEquivalentTo(2))
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", h.address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			return conn
		}
		write := func(conn net.Conn, text string) {
			_, err := conn.Write([]byte(text))
			Expect(err).NotTo(HaveOccurred())
		}
		// receives reports whether bytes arrive within a duration; it is false
		// also when the connection is closed.
		receives := func(conn net.Conn, timeout time.Duration) (bool, error) {
			Expect(conn.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
			n, err := conn.Read(make([]byte, 1))
			return n > 0, err
		}
		idle, slow, unfinished := dial(), dial(), dial()
		start := time.Now()
		write(unfinished, "GET /lookup/a HTTP/1.1\r\n")
		write(slow, "GET /lookup/a HTTP/1.1\r\n")
		time.Sleep(300 * time.Millisecond)
		write(slow, "Host: "+host+"\r\n\r\n")
		Expect(receives(slow, waitTimeout)).To(BeTrue(), "a header that ends within the limit")
		answered, err := receives(unfinished, 3*time.Second)
		Expect(answered).To(BeFalse())
		Expect(err).To(MatchError(io.EOF), "a header that does not end")
		Expect(time.Since(start)).To(BeNumerically(">", 700*time.Millisecond))
		write(idle, "GET /lookup/a HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
		Expect(receives(idle, waitTimeout)).To(BeTrue(), "a connection that was idle in the meantime")
	})
})
