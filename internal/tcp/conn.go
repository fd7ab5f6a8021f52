// Package tcp provides connections to peers that may answer before they have read the
// whole request.
package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// maxEndDelay bounds how long the end of the stream waits for a write in progress.
const maxEndDelay = 500 * oleanderspool.Millis(1)

// Conn is a connection on which a reset does not look like the end of the stream. The
// operating system reports a reset once: when a concurrent write gets the error, the next
// read returns [io.EOF], as if the peer had sent everything. After a failed write, Read
// returns its error instead.
//
// Reads and writes may be concurrent with each other, but writes not among themselves.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by writing
}

// NewConn returns a connection that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write implements [io.Writer].
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements [io.Reader]. It returns [io.EOF] only after a write in progress has
// ended and if all writes succeeded.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.awaitWrite(); writeErr != nil {
		return n, writeErr
	}
	return n, err
}

// awaitWrite waits for a write in progress, which fails after maxEndDelay, and returns the
// error of the first write that failed.
func (c *Conn) awaitWrite() error {
	if !c.writing.TryLock() {
		if err := c.SetWriteDeadline(time.Now().Add(maxEndDelay.Duration())); err != nil {
			return err
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return c.SetWriteDeadline(time.Time{})
}

// SyscallConn implements [syscall.Conn].
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// SetLinger sets what Close does with bytes that were not sent, as
// [net.TCPConn.SetLinger].
func (c *Conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}
