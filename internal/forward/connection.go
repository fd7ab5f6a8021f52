package forward

import (
	"net"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
)

// callerConn is a connection of a caller. It embeds the TCP connection, so
// that net/http still finds its other methods, for example CloseWrite.
type callerConn struct {
	*net.TCPConn
	clock oleanderspool.Clock
	// headerStartedAt is the instant at which the first byte of a header
	// arrived; 0 between requests. During a request it has no meaning.
	headerStartedAt atomic.Int64
}

// Read records when the first byte of a header arrives.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.headerStartedAt.CompareAndSwap(0, int64(c.clock.Now()))
	}
	return n, err
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	clock oleanderspool.Clock
}

// Accept implements [net.Listener].
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp, clock: l.clock}, err
	}
	return conn, err
}

// waitsTooLong reports whether a connection has waited too long for a request,
// or for the rest of its header.
func waitsTooLong(conn net.Conn, waited, headerTimeout, idleTimeout, now oleanderspool.Millis) bool {
	if c, ok := conn.(*callerConn); ok {
		if headerAt := oleanderspool.Millis(c.headerStartedAt.Load()); headerAt != 0 {
			return now-headerAt > headerTimeout
		}
	}
	return waited > idleTimeout
}
