package once

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/tcp"
)

const (
	// DefaultFirstByteTimeout bounds the wait for the first byte of a response on
	// a pooled connection. A live peer on the same instance acknowledges a
	// request far sooner, and the timeouts of calls are much longer.
	DefaultFirstByteTimeout = oleanderspool.Millis(300)
	// idleTimeout is how long an idle connection stays in the pool. A connection
	// can go dead unnoticed while it is idle, and the shorter it stays the fewer
	// requests are sent on a dead one. Peers that are polled for their state twice
	// a second always have a connection that has just carried a response.
	idleTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to a peer.
	maxIdleConns = 64
)

// ErrStale marks a request that was written to a pooled connection on which no
// byte of a response arrived: the first-byte timeout passed or the connection
// was closed. Whether the peer received the request is not known.
var ErrStale = oleanderspool.ErrUncertain.NewSubtype("stale")

// PooledSender sends requests on pooled connections. It is for requests that may
// be repeated. It is safe for concurrent use.
type PooledSender struct {
	transport        *http.Transport
	firstByteTimeout time.Duration
}

// NewPooledSender returns a sender that gives up connecting after dialTimeout
// milliseconds, and gives up a reused connection that has not delivered the
// first byte of a response after firstByteTimeout milliseconds. The second
// timeout does not apply to a connection that was opened for the request itself.
func NewPooledSender(dialTimeout, firstByteTimeout oleanderspool.Millis) *PooledSender {
	transport := NewTransport(dialTimeout)
	transport.IdleConnTimeout = idleTimeout
	transport.MaxIdleConnsPerHost = maxIdleConns
	return &PooledSender{transport: transport, firstByteTimeout: firstByteTimeout.Duration()}
}

// Send writes the request and returns the response, whose body the caller must
// close. It does not follow redirects. An error is of type ErrNotSent if no
// connection was made, of type [ErrStale] if a reused connection failed before
// the first byte of the response, and of type ErrUncertain otherwise. After
// ErrStale the idle connections are closed, since they may be dead too.
func (s *PooledSender) Send(request *http.Request) (*http.Response, error) {
	w := newFirstByteWait(request.Context(), s.firstByteTimeout)
	request = request.WithContext(w.ctx)
	request.GetBody = nil
	response, err := s.transport.RoundTrip(request)
	responded := w.stop()
	switch {
	case err == nil && responded:
		response.Body = &cancellingBody{ReadCloser: response.Body, cancel: w.cancel}
		return checkStatus(response)
	case err == nil:
		_ = response.Body.Close()
		err = context.Canceled
	}
	defer w.cancel()
	switch ended := context.Cause(w.parent); {
	case !w.connected.Load():
		return nil, oleanderspool.ErrNotSent.Wrap(err, "cannot connect to %s", request.URL.Host)
	case ended != nil || responded || !w.reused.Load():
		return nil, oleanderspool.ErrUncertain.Wrap(err, "connection to %s failed", request.URL.Host)
	}
	s.transport.CloseIdleConnections()
	return nil, ErrStale.Wrap(err, "no response on the pooled connection to %s", request.URL.Host)
}

// firstByteWait bounds the wait for the first byte of a response.
type firstByteWait struct {
	parent    context.Context
	ctx       context.Context
	cancel    context.CancelFunc
	timer     *time.Timer
	connected atomic.Bool
	reused    atomic.Bool // the connection carried an earlier request
	// decided is set by the first byte or by the timeout, whichever comes first;
	// responded is set only by the first byte.
	decided   atomic.Bool
	responded atomic.Bool
	conn      atomic.Pointer[tcp.Conn]
}

func newFirstByteWait(parent context.Context, timeout time.Duration) *firstByteWait {
	w := &firstByteWait{parent: parent}
	ctx, cancel := context.WithCancel(parent)
	w.cancel = cancel
	w.timer = time.AfterFunc(timeout, w.expire)
	w.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.connected.Store(true)
			w.reused.Store(info.Reused)
			if conn, ok := info.Conn.(*tcp.Conn); ok {
				w.conn.Store(conn)
			}
			if info.Reused {
				w.timer.Reset(timeout)
			} else {
				w.timer.Stop()
			}
		},
		GotFirstResponseByte: func() {
			if w.decided.CompareAndSwap(false, true) {
				w.responded.Store(true)
			}
		},
	})
	return w
}

// expire closes a reused connection after the timeout. Bytes of the request that
// were not yet delivered are discarded, so that they do not arrive after the
// request was sent again.
func (w *firstByteWait) expire() {
	if !w.reused.Load() || !w.decided.CompareAndSwap(false, true) {
		return
	}
	if conn := w.conn.Load(); conn != nil {
		_ = conn.SetLinger(0)
	}
	w.cancel()
}

// stop stops the timer and reports whether the first byte arrived in time.
func (w *firstByteWait) stop() bool {
	w.timer.Stop()
	return w.responded.Load()
}

// cancellingBody cancels the context of a request when its body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
