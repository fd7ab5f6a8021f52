package link_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/standin/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// noDataTimeout is how long a test waits before it concludes that no data
// arrives.
const noDataTimeout = 100 * time.Millisecond

// startEchoServer starts a server that sends back what it receives, and returns
// its address.
func startEchoServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func newRelay() *link.Relay {
	r, err := link.New(startEchoServer())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	return r
}

// echoClient is a connection to the echo server through the relay.
type echoClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(r *link.Relay) echoClient {
	conn, err := net.Dial("tcp", r.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return echoClient{conn: conn, reader: bufio.NewReader(conn)}
}

func (c echoClient) send(line string) {
	_, err := c.conn.Write([]byte(line + "\n"))
	Expect(err).NotTo(HaveOccurred())
}

// receive returns the next line, or an error if none arrives within the timeout.
func (c echoClient) receive(timeout time.Duration) (string, error) {
	Expect(c.conn.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	return c.reader.ReadString('\n')
}

// Guards against a relay that does not inject the requested fault: tests that use
// it would then pass without testing anything.
var _ = Describe("Relay", func() {
	It("relays bytes and connection ends", func() {
		c := dial(newRelay())
		c.send("a")
		Expect(c.receive(time.Second)).To(Equal("a\n"))
		Expect(c.conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := c.receive(time.Second)
		Expect(err).To(Equal(io.EOF))
	})

	for _, d := range []link.Direction{link.Forward, link.Backward} {
		It("holds back the bytes of a cut direction until Heal", func() {
			r := newRelay()
			c := dial(r)
			r.Cut(d)
			c.send("a")
			_, err := c.receive(noDataTimeout)
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			r.Heal()
			Expect(c.receive(time.Second)).To(Equal("a\n"))
		})
	}

	It("black-holes existing connections for good while new ones work", func() {
		r := newRelay()
		existing := dial(r)
		existing.send("a")
		Expect(existing.receive(time.Second)).To(Equal("a\n"))
		r.BlackHole()
		existing.send("b")
		_, err := existing.receive(noDataTimeout)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		added := dial(r)
		added.send("c")
		Expect(added.receive(time.Second)).To(Equal("c\n"))
		r.Heal()
		_, err = existing.receive(noDataTimeout)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})

	It("adds latency without limiting the throughput", func() {
		r := newRelay()
		r.SetDelay(50)
		c := dial(r)
		start := time.Now()
		for range 20 {
			c.send("a")
			time.Sleep(time.Millisecond)
		}
		for range 20 {
			Expect(c.receive(time.Second)).To(Equal("a\n"))
		}
		Expect(time.Since(start)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
	})

	It("refuses new connections, resets existing ones and accepts connections again", func() {
		r := newRelay()
		c := dial(r)
		c.send("a")
		Expect(c.receive(time.Second)).To(Equal("a\n"))
		r.Refuse()
		_, err := net.Dial("tcp", r.Address())
		Expect(err).To(HaveOccurred())
		c.send("b")
		Expect(c.receive(time.Second)).To(Equal("b\n"))
		r.Reset()
		_, err = c.receive(time.Second)
		Expect(err).To(MatchError(ContainSubstring("reset")))
		Expect(r.Accept()).To(Succeed())
		c = dial(r)
		c.send("c")
		Expect(c.receive(time.Second)).To(Equal("c\n"))
		Expect(r.Accepted()).To(Equal(2))
	})
})
