package clientconn_test

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/oleanderspool/oleanderspool/internal/clientconn"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// TestReceiveBuffers guards against connections that hold memory while they wait to be
// accepted or for memory, and against bodies that are received with the smaller buffer.
func TestReceiveBuffers(t *testing.T) {
	for _, megabytes := range []int64{72, 136, 300, 512} {
		g := NewWithT(t)
		limits := clientlimit.ForInstance(megabytes<<20, 0)
		inner, listener, _ := listen(t, g, limits)

		unreadOf := func(accept func() (net.Conn, error)) int {
			conn, err := net.Dial("tcp4", inner.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			fill(conn)
			accepted, err := accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer accepted.Close()
			if _, guarded := accepted.(*clientconn.Conn); guarded {
				fill(conn)
			}
			return unread(g, accepted)
		}
		g.Expect(unreadOf(inner.Accept)).To(BeNumerically("<=", 2*limits.PendingBuffer), "before it is accepted, %d MiB", megabytes)
		g.Expect(unreadOf(listener.Accept)).To(BeNumerically("<=", 2*limits.PendingBuffer), "accepted, %d MiB", megabytes)
		g.Expect(unreadOf(func() (net.Conn, error) {
			accepted, err := listener.Accept()
			accepted.(*clientconn.Conn).StartBody(-1)
			return accepted, err
		})).To(BeNumerically(">=", limits.SocketBuffer*15/16), "sends a body, %d MiB", megabytes)
	}
}

// TestWholeReceiveBuffers guards against bodies that wait for memory and together fill more
// receive buffers than the limit for unread bytes, and against buffers that are not returned.
func TestWholeReceiveBuffers(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*http.Server, *clientconn.Conn) // returns the buffer
	}{
		{"a whole request", func(_ *http.Server, c *clientconn.Conn) { c.Run() }},
		{"an answer before the end of the body", func(s *http.Server, c *clientconn.Conn) { s.ConnState(c, http.StateIdle) }},
		{"a closed connection", func(s *http.Server, c *clientconn.Conn) { s.ConnState(c, http.StateClosed) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			limits := clientlimit.ForInstance(136<<20, 0)
			limits.UnreadBytes = int64(2 * limits.ReceiveMemory())
			inner, listener, server := listen(t, g, limits)
			var conns []*clientconn.Conn
			start := func() int {
				conn, err := net.Dial("tcp4", inner.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(func() { _ = conn.Close() })
				accepted, err := listener.Accept()
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(func() { _ = accepted.Close() })
				conns = append(conns, accepted.(*clientconn.Conn))
				conns[len(conns)-1].StartBody(-1)
				fill(conn)
				return unread(g, accepted)
			}
			whole, smaller := limits.SocketBuffer*15/16, 2*limits.PendingBuffer
			g.Expect(start()).To(BeNumerically(">=", whole))
			g.Expect(start()).To(BeNumerically(">=", whole))
			g.Expect(start()).To(BeNumerically("<=", smaller), "beyond the limit")
			c.end(server, conns[0])
			g.Expect(start()).To(BeNumerically(">=", whole), "after one was returned")
			g.Expect(start()).To(BeNumerically("<=", smaller), "beyond the limit again")
		})
	}
}

func listen(t *testing.T, g *WithT, limits clientlimit.Limits) (inner, guarded net.Listener, server *http.Server) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = inner.Close() })
	guard := clientconn.NewGuard(limits, clock.NewBoot(), observe.NewTally(clock.NewBoot(), nil, observe.NewMetrics(), ""))
	server = new(http.Server)
	guard.Install(server)
	return inner, guard.Listen(inner), server
}

// TestChunkedEnd guards against a connection that counts as one of a client that sends
// requests ahead, and is closed before others, since the end of a chunked body arrived in
// two reads.
func TestChunkedEnd(t *testing.T) {
	const head, body = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n0\r\n\r\n"
	for cut := range len(head + body) {
		for _, ahead := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			g := NewWithT(t)
			_, listener, server := listen(t, g, clientlimit.ForInstance(512<<20, 0))
			conns := make(chan *clientconn.Conn, 2)
			server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conns <- clientconn.FromContext(r.Context())
			})
			go func() { _ = server.Serve(listener) }()
			client, err := net.Dial("tcp4", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			for _, part := range []string{(head + body)[:cut], (head + body)[cut:] + ahead} {
				_, err := client.Write([]byte(part))
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(2 * time.Millisecond) // the parts arrive in two reads
			}
			_, err = client.Read(make([]byte, 1)) // the answer
			g.Expect(err).NotTo(HaveOccurred())
			conn := <-conns
			if ahead == "" {
				g.Consistently(conn.Pipelines, 5*time.Millisecond, time.Millisecond).Should(BeFalse(), "cut at %d", cut)
			} else {
				g.Eventually(conn.Pipelines, time.Second, time.Millisecond).Should(BeTrue(), "cut at %d", cut)
			}
			g.Expect(client.Close()).To(Succeed())
			g.Expect(server.Close()).To(Succeed())
		}
	}
}

// fill sends until the kernel takes no more, and returns the number of bytes.
func fill(conn net.Conn) int {
	sum := 0
	for block := make([]byte, 4<<10); ; {
		_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := conn.Write(block)
		sum += n
		if err != nil {
			return sum
		}
	}
}

func unread(g *WithT, conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	n := 0
	g.Expect(raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })).To(Succeed())
	return n
}
