package backend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/oleanderspool/oleanderspool"
)

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 8 << 10

// connection is a connection to a backend server. It serves one request at a time.
type connection struct {
	conn             net.Conn
	reader           *bufio.Reader
	key              poolKey
	lastUsedAt       oleanderspool.Millis
	expiresAt        oleanderspool.Millis
	keepAliveTimeout oleanderspool.Millis // keep-alive timeout that the server announced; 0 for none
}

func newConnection(conn net.Conn, key poolKey) *connection {
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), key: key}
}

func (c *connection) close() {
	_ = c.conn.Close() // nothing can be done about a connection that fails to close
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive without a request belong to no answer, so the connection must
// not be reused.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// recordKeepAlive records the keep-alive timeout in an answer's header and reports
// whether the connection may be reused after the answer.
func (c *connection) recordKeepAlive(response *http.Response) bool {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil {
				c.keepAliveTimeout = oleanderspool.Millis(seconds) * oleanderspool.Second
			}
		}
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close
}
