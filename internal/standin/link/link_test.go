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

// silence is how long a test waits to see that nothing arrives.
const silence = 100 * time.Millisecond

// echo starts a server that sends lines back.
func echo() string {
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

func relay() *link.Relay {
	r, err := link.New(echo())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	return r
}

// peer is a client of the echo server.
type peer struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(r *link.Relay) peer {
	conn, err := net.Dial("tcp", r.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return peer{conn: conn, reader: bufio.NewReader(conn)}
}

func (p peer) send(line string) {
	_, err := p.conn.Write([]byte(line + "\n"))
	Expect(err).NotTo(HaveOccurred())
}

// receive returns a line, or what went wrong within the span.
func (p peer) receive(span time.Duration) (string, error) {
	Expect(p.conn.SetReadDeadline(time.Now().Add(span))).To(Succeed())
	return p.reader.ReadString('\n')
}

// Guards against a relay that does not show the fault it is asked for, so that
// tests above it prove nothing.
var _ = Describe("Relay", func() {
	It("relays bytes and connection ends", func() {
		p := dial(relay())
		p.send("a")
		Expect(p.receive(time.Second)).To(Equal("a\n"))
		Expect(p.conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := p.receive(time.Second)
		Expect(err).To(Equal(io.EOF))
	})

	for _, d := range []link.Direction{link.Forward, link.Backward} {
		It("holds one direction until it is healed", func() {
			r := relay()
			p := dial(r)
			r.Cut(d)
			p.send("a")
			_, err := p.receive(silence)
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			r.Heal()
			Expect(p.receive(time.Second)).To(Equal("a\n"))
		})
	}

	It("makes existing connections silent for good while new ones work", func() {
		r := relay()
		old := dial(r)
		old.send("a")
		Expect(old.receive(time.Second)).To(Equal("a\n"))
		r.BlackHole()
		old.send("b")
		_, err := old.receive(silence)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		fresh := dial(r)
		fresh.send("c")
		Expect(fresh.receive(time.Second)).To(Equal("c\n"))
		r.Heal()
		_, err = old.receive(silence)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})

	It("delays without limiting the rate", func() {
		r := relay()
		r.SetDelay(50)
		p := dial(r)
		start := time.Now()
		for range 20 {
			p.send("a")
			time.Sleep(time.Millisecond)
		}
		for range 20 {
			Expect(p.receive(time.Second)).To(Equal("a\n"))
		}
		Expect(time.Since(start)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
	})

	It("breaks connections, refuses new ones and accepts again", func() {
		r := relay()
		p := dial(r)
		p.send("a")
		Expect(p.receive(time.Second)).To(Equal("a\n"))
		r.Refuse()
		_, err := net.Dial("tcp", r.Address())
		Expect(err).To(HaveOccurred())
		p.send("b")
		Expect(p.receive(time.Second)).To(Equal("b\n"))
		r.Reset()
		_, err = p.receive(time.Second)
		Expect(err).To(MatchError(ContainSubstring("reset")))
		Expect(r.Accept()).To(Succeed())
		p = dial(r)
		p.send("c")
		Expect(p.receive(time.Second)).To(Equal("c\n"))
		Expect(r.Accepted()).To(Equal(2))
	})
})
