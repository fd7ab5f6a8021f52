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

// connection is a connection to a backend server that serves one request at a
// time.
type connection struct {
	conn      net.Conn
	reader    *bufio.Reader
	target    target
	usedAt    oleanderspool.Millis
	keepUntil oleanderspool.Millis
	announced oleanderspool.Millis // idle span that the server announced; 0 for none
}

func newConnection(conn net.Conn, t target) *connection {
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), target: t}
}

func (c *connection) close() {
	_ = c.conn.Close() // nothing can be done about a connection that fails to close
}

// quiet reports whether an idle connection is open and holds no bytes. Bytes
// that arrive without a request belong to none.
func (c *connection) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// note reads what an answer's header says about the connection and reports
// whether it may be kept.
func (c *connection) note(response *http.Response) bool {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil {
				c.announced = oleanderspool.Millis(seconds) * oleanderspool.Second
			}
		}
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close
}
