package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// BreakPoint is where a [BrokenServer] server fails a request.
type BreakPoint int

// The break points, in the order of a request's life.
const (
	// BreakBeforeAccept leaves connections in the listener's backlog.
	BreakBeforeAccept BreakPoint = iota
	// BreakAfterAccept resets a connection before it reads the request.
	BreakAfterAccept
	// BreakAfterRequest resets a connection after it has read the request.
	BreakAfterRequest
	// BreakNoResponse reads the request and never answers.
	BreakNoResponse
	// BreakInHeader resets a connection in the middle of the response's header.
	BreakInHeader
	// BreakInBody resets a connection in the middle of the response's body.
	BreakInBody
)

// BrokenServer is an HTTP server that breaks every connection at one point and counts
// the requests that it has read. It is safe for concurrent use.
type BrokenServer struct {
	listener net.Listener
	point    BreakPoint
	body     string
	running  sync.WaitGroup

	mu       sync.Mutex
	healthy  int // requests to answer in full first
	requests int
	open     map[net.Conn]struct{}
}

// NewBrokenServer starts a server on a free port on loopback. It answers the first
// healthy requests with body, on kept connections, and breaks afterwards.
func NewBrokenServer(point BreakPoint, body string, healthy int) (*BrokenServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &BrokenServer{listener: listener, point: point, body: body, healthy: healthy, open: map[net.Conn]struct{}{}}
	if point != BreakBeforeAccept {
		b.running.Go(b.accept)
	}
	return b, nil
}

// Address returns the IP number and port.
func (b *BrokenServer) Address() string {
	return b.listener.Addr().String()
}

// Requests returns how many requests were read.
func (b *BrokenServer) Requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// Close ends the server and its connections.
func (b *BrokenServer) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	for conn := range b.open {
		_ = conn.Close()
	}
	b.mu.Unlock()
	b.running.Wait()
}

func (b *BrokenServer) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.open[conn] = struct{}{}
		b.mu.Unlock()
		b.running.Go(func() { b.serve(conn) })
	}
}

// serve answers requests in full as long as some are left, then breaks.
func (b *BrokenServer) serve(conn net.Conn) {
	defer b.reset(conn)
	reader := bufio.NewReader(conn)
	for {
		if b.point == BreakAfterAccept && !b.left() {
			return
		}
		if !b.read(reader) {
			return
		}
		if !b.take() {
			break
		}
		_, _ = io.WriteString(conn, b.response())
	}
	switch response := b.response(); b.point {
	case BreakNoResponse:
		_, _ = io.Copy(io.Discard, reader)
	case BreakInHeader:
		_, _ = io.WriteString(conn, response[:10])
	case BreakInBody:
		_, _ = io.WriteString(conn, response[:len(response)-1])
	}
}

func (b *BrokenServer) response() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b.body), b.body)
}

// read reads a request and counts it.
func (b *BrokenServer) read(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	return true
}

func (b *BrokenServer) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy > 0
}

// take uses up one of the requests to answer in full.
func (b *BrokenServer) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.healthy == 0 {
		return false
	}
	b.healthy--
	return true
}

// reset closes a connection so that the peer sees a reset, unless data is still
// on its way to it.
func (b *BrokenServer) reset(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, conn)
	_ = conn.Close()
}
