package clientconn_test

import (
	"net"
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
// accepted, and against accepted ones that keep the smaller buffer.
func TestReceiveBuffers(t *testing.T) {
	for _, megabytes := range []int64{72, 136, 300, 512} {
		g := NewWithT(t)
		limits := clientlimit.ForInstance(megabytes<<20, 0)
		inner, err := net.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer inner.Close()
		guard := clientconn.NewGuard(limits, clock.NewBoot(), observe.NewTally(clock.NewBoot(), nil, observe.NewMetrics(), ""))
		listener := guard.Listen(inner)

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
		g.Expect(unreadOf(listener.Accept)).To(BeNumerically(">=", limits.SocketBuffer*15/16), "accepted, %d MiB", megabytes)
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
