// Package once sends HTTP requests that are written to the peer at most once.
//
// [http.Transport] retries a request on a new connection when a pooled one
// breaks and the request looks safe to repeat: GET and similar methods, an
// Idempotency-Key header, or a body with GetBody. A [Sender] therefore opens a
// connection for each request, which net/http never retries, and removes what
// marks a request as repeatable. The clients of services, of engines and of the
// platform's log share it. A [PooledSender] is for requests that may be repeated.
package once

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/tcp"
)

// DefaultDialTimeout bounds the time to connect. Peers are in the same region,
// a few milliseconds away; a lost SYN packet is retransmitted after 1 s, so the
// timeout leaves room for one.
const DefaultDialTimeout = oleanderspool.Millis(1500)

// maxHeaderBytes bounds the header section of a response.
const maxHeaderBytes = 64 << 10

// Sender sends each request on a connection of its own. It is safe for
// concurrent use.
type Sender struct {
	transport *http.Transport
}

// NewSender returns a sender whose connections time out after dialTimeout
// milliseconds while they are being established.
func NewSender(dialTimeout oleanderspool.Millis) *Sender {
	transport := NewTransport(dialTimeout)
	transport.DisableKeepAlives = true
	return &Sender{transport: transport}
}

// Send writes the request once and returns the response, whose body the caller
// must close. It does not follow redirects. An error is of type ErrNotSent if no
// connection was made, so that the peer cannot have received anything, and of
// type ErrUncertain otherwise.
func (s *Sender) Send(request *http.Request) (*http.Response, error) {
	if err := request.Context().Err(); err != nil {
		return nil, oleanderspool.ErrNotSent.Wrap(err, "request ended before it was sent")
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.GetBody = nil
	request.Header.Del("Idempotency-Key")
	request.Header.Del("X-Idempotency-Key")
	response, err := s.transport.RoundTrip(request)
	if err == nil {
		return checkStatus(response)
	}
	if connected {
		return nil, oleanderspool.ErrUncertain.Wrap(err, "connection to %s failed", request.URL.Host)
	}
	return nil, oleanderspool.ErrNotSent.Wrap(err, "cannot connect to %s", request.URL.Host)
}

// checkStatus returns the response, or an error of type ErrUncertain if its status is not
// one of HTTP, such as 000.
func checkStatus(response *http.Response) (*http.Response, error) {
	if response.StatusCode >= http.StatusContinue {
		return response, nil
	}
	_ = response.Body.Close() // the connection is not used again
	return nil, oleanderspool.ErrUncertain.New("received a response with the status %03d", response.StatusCode)
}

// WithTimeout returns a context that ends after timeout milliseconds. A context
// that already has a deadline keeps it: the timeout is rounded down to
// milliseconds, so it could end the call before the caller's context, and the
// caller would mistake its own deadline for a failure of the peer.
func WithTimeout(ctx context.Context, timeout oleanderspool.Millis) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded || timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout.Duration())
}

// NewTransport returns a transport with a connection pool, for requests that may
// be repeated. It connects to IP addresses only, uses no proxy and does not
// decompress responses, so that their size stays bounded.
func NewTransport(dialTimeout oleanderspool.Millis) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return nil, oleanderspool.ErrInvalid.Wrap(err, "address is not an IP number and port")
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tcp.NewConn(conn), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
