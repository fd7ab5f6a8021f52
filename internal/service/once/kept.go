package once

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// DefaultFirstByteTimeout bounds the wait for the first byte of an answer on a kept
	// connection. It is far above the time in which a live peer on the same
	// instance acknowledges a request, and short beside the limits of calls.
	DefaultFirstByteTimeout = oleanderspool.Millis(300)
	// keptIdle is how long an idle connection is kept. A connection can go silent
	// while it is idle, and the shorter it is kept the fewer requests meet a
	// silent one. Peers that are asked about their state twice a second always
	// have a connection that has just answered.
	keptIdle = 2 * time.Second
	// maxKept bounds the idle connections to a peer.
	maxKept = 64
)

// ErrStale marks a request that was written on a kept connection on which
// nothing of an answer arrived: the connection was silent for too long or was
// closed. Whether the peer received the request is not known.
var ErrStale = oleanderspool.ErrUncertain.NewSubtype("stale")

// PooledSender sends requests on connections that are kept for the next one. It
// is for requests that may be sent again. It is safe for concurrent use.
type PooledSender struct {
	transport *http.Transport
	firstByte time.Duration
}

// NewPooledSender returns a sender that gives up connecting after dialTimeout
// milliseconds, and a kept connection without the first byte of an answer after
// firstByte milliseconds. A connection that was made for the request itself has
// no such bound.
func NewPooledSender(dialTimeout, firstByte oleanderspool.Millis) *PooledSender {
	transport := NewTransport(dialTimeout)
	transport.IdleConnTimeout = keptIdle
	transport.MaxIdleConnsPerHost = maxKept
	return &PooledSender{transport: transport, firstByte: firstByte.Duration()}
}

// Send writes the request and returns the response, whose body the caller must
// close. Redirects are not followed. An error is of type ErrNotSent if no
// connection was made, of type [ErrStale] if a kept connection failed before the
// first byte of the answer, and of type ErrUncertain otherwise. After ErrStale
// the idle connections are closed, since they may be silent too.
func (s *PooledSender) Send(request *http.Request) (*http.Response, error) {
	w := newFirstByteWait(request.Context(), s.firstByte)
	request = request.WithContext(w.ctx)
	request.GetBody = nil
	response, err := s.transport.RoundTrip(request)
	answered := w.end()
	switch {
	case err == nil && answered:
		response.Body = &releasedBody{ReadCloser: response.Body, release: w.cancel}
		return response, nil
	case err == nil:
		_ = response.Body.Close()
		err = context.Canceled
	}
	defer w.cancel()
	switch ended := context.Cause(w.parent); {
	case !w.connected.Load():
		return nil, oleanderspool.ErrNotSent.Wrap(err, "cannot connect to %s", request.URL.Host)
	case ended != nil || answered || !w.kept.Load():
		return nil, oleanderspool.ErrUncertain.Wrap(err, "connection to %s failed", request.URL.Host)
	}
	s.transport.CloseIdleConnections()
	return nil, ErrStale.Wrap(err, "kept connection to %s gave no answer", request.URL.Host)
}

// firstByteWait bounds the wait for the first byte of an answer.
type firstByteWait struct {
	parent    context.Context
	ctx       context.Context
	cancel    context.CancelFunc
	timer     *time.Timer
	connected atomic.Bool
	kept      atomic.Bool // the connection has carried another request before
	// decided is set by the first byte or by the end of the bound, whichever is
	// first; expired and answered say which.
	decided  atomic.Bool
	answered atomic.Bool
	conn     atomic.Pointer[net.TCPConn]
}

func newFirstByteWait(parent context.Context, bound time.Duration) *firstByteWait {
	w := &firstByteWait{parent: parent}
	ctx, cancel := context.WithCancel(parent)
	w.cancel = cancel
	w.timer = time.AfterFunc(bound, w.expire)
	w.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.connected.Store(true)
			w.kept.Store(info.Reused)
			if conn, ok := info.Conn.(*net.TCPConn); ok {
				w.conn.Store(conn)
			}
			if info.Reused {
				w.timer.Reset(bound)
			} else {
				w.timer.Stop()
			}
		},
		GotFirstResponseByte: func() {
			if w.decided.CompareAndSwap(false, true) {
				w.answered.Store(true)
			}
		},
	})
	return w
}

// expire gives a silent connection up. What was not yet delivered of the request
// is discarded, so that it does not arrive after it was sent again.
func (w *firstByteWait) expire() {
	if !w.kept.Load() || !w.decided.CompareAndSwap(false, true) {
		return
	}
	if conn := w.conn.Load(); conn != nil {
		_ = conn.SetLinger(0)
	}
	w.cancel()
}

// end ends the bound and reports whether the first byte arrived within it.
func (w *firstByteWait) end() bool {
	w.timer.Stop()
	return w.answered.Load()
}

// releasedBody releases the context of a request with its body.
type releasedBody struct {
	io.ReadCloser
	release context.CancelFunc
}

// Close closes the body.
func (b *releasedBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}
