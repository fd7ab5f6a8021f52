package forward

import (
	"net"
	"sync/atomic"

	"github.com/oleanderspool/oleanderspool"
)

// callerConn is a connection of a caller. It embeds the TCP connection, so that
// the library still finds its other methods, for example CloseWrite.
type callerConn struct {
	*net.TCPConn
	clock oleanderspool.Clock
	// headerAt is the instant at which the first byte of a header arrived; 0 between
	// requests. During a request it has no meaning.
	headerAt atomic.Int64
}

// Read notes the first byte.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.headerAt.CompareAndSwap(0, int64(c.clock.Now()))
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

// waitsTooLong reports whether a connection without a request has waited too long
// for one, or for the rest of a header.
func waitsTooLong(conn net.Conn, waited, headerLimit, idleLimit, now oleanderspool.Millis) bool {
	if c, ok := conn.(*callerConn); ok {
		if headerAt := oleanderspool.Millis(c.headerAt.Load()); headerAt != 0 {
			return now-headerAt > headerLimit
		}
	}
	return waited > idleLimit
}
