package backend

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 8 << 10

// connection is a connection to a backend server. It serves one request at a time.
type connection struct {
	conn             net.Conn
	input            *boundedReader
	reader           *bufio.Reader // reads from input
	key              directory.ServerRun
	reused           bool // it carried an earlier request
	lastUsedAt       oleanderspool.Millis
	expiresAt        oleanderspool.Millis
	keepAliveTimeout oleanderspool.Millis // keep-alive timeout that the server announced; 0 for none
	// rejected holds the IDs of the requests that the server did not run. A faulty
	// server may repeat such an answer.
	rejected []oleanderspool.RequestID
	closed   atomic.Bool
	onClose  func() // nil for none
}

// maxRejected is the number of rejected requests after which a connection is not
// reused.
const maxRejected = 16

func newConnection(conn net.Conn, key directory.ServerRun, budget *buffer.Budget) *connection {
	input := &boundedReader{conn: conn, budget: budget}
	return &connection{conn: conn, input: input, reader: bufio.NewReaderSize(input, readBuffer), key: key}
}

// errAnswerTooLong means that a server sent more bytes than a part of an answer
// may have.
var errAnswerTooLong = errors.New("the answer exceeds its maximum size")

// headerCopies is how often a part of a header is held at most while it is decoded: in
// a buffer that has grown, and as text.
const headerCopies = 3

// boundedReader reads from a connection and fails once a bound is exceeded, so
// that a server that sends without end occupies no memory. What exceeds
// [buffer.Unreserved] is taken from a budget that all connections share.
type boundedReader struct {
	conn     net.Conn
	budget   *buffer.Budget
	bounded  bool
	bound    int
	read     int // since the bound was set
	reserved int
}

// setBound bounds the bytes that are read until the next call; 0 removes the bound.
func (r *boundedReader) setBound(bytes int) {
	r.bounded, r.bound, r.read = bytes > 0, bytes, 0
}

// release returns the memory of the headers that were read to the budget.
func (r *boundedReader) release() {
	r.budget.Release(r.reserved)
	r.reserved = 0
}

// Read implements [io.Reader].
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.conn.Read(p)
	}
	if r.read == r.bound {
		return 0, errAnswerTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.bound-r.read)])
	r.read += n
	if size := headerCopies * n; r.read > buffer.Unreserved {
		if !r.budget.Reserve(size) {
			return 0, buffer.ErrExhausted.New("no memory for the header of an answer")
		}
		r.reserved += size
	}
	return n, err
}

func (c *connection) close() {
	if c.closed.CompareAndSwap(false, true) && c.onClose != nil {
		defer c.onClose()
	}
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
