package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// BreakPoint is where a [BrokenServer] fails a request.
type BreakPoint int

// The break points, in the order in which a request passes them.
const (
	// BreakBeforeAccept never accepts connections: they stay in the listener's backlog.
	BreakBeforeAccept BreakPoint = iota
	// BreakAfterAccept resets a connection before it reads the request.
	BreakAfterAccept
	// BreakAfterRequest resets a connection after it has read the request.
	BreakAfterRequest
	// BreakNoResponse reads the request and never sends a response.
	BreakNoResponse
	// BreakInHeader resets a connection in the middle of the response's header.
	BreakInHeader
	// BreakInBody resets a connection in the middle of the response's body.
	BreakInBody
)

// BrokenServer is an HTTP server that fails every request at one break point and
// counts the requests that it has read. It is safe for concurrent use.
type BrokenServer struct {
	listener   net.Listener
	breakPoint BreakPoint
	body       string
	running    sync.WaitGroup

	mu       sync.Mutex
	healthy  int // requests left to answer in full
	requests int
	conns    map[net.Conn]struct{}
}

// NewBrokenServer starts a server on a free port on loopback. It answers the first
// healthy requests with body, over keep-alive connections, and fails at point
// afterwards.
func NewBrokenServer(point BreakPoint, body string, healthy int) (*BrokenServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &BrokenServer{listener: listener, breakPoint: point, body: body, healthy: healthy, conns: map[net.Conn]struct{}{}}
	if point != BreakBeforeAccept {
		b.running.Go(b.accept)
	}
	return b, nil
}

// Address returns the IP address and port.
func (b *BrokenServer) Address() string {
	return b.listener.Addr().String()
}

// Requests returns the number of requests read in full.
func (b *BrokenServer) Requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// Close stops the server and closes its connections.
func (b *BrokenServer) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	for conn := range b.conns {
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
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		b.running.Go(func() { b.serve(conn) })
	}
}

// serve answers requests in full until healthy is used up, then fails at the
// break point.
func (b *BrokenServer) serve(conn net.Conn) {
	defer b.reset(conn)
	reader := bufio.NewReader(conn)
	for {
		if b.breakPoint == BreakAfterAccept && !b.hasHealthy() {
			return
		}
		if !b.readRequest(reader) {
			return
		}
		if !b.takeHealthy() {
			break
		}
		_, _ = io.WriteString(conn, b.response())
	}
	switch response := b.response(); b.breakPoint {
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

// readRequest reads a request and counts it. It returns false on failure.
func (b *BrokenServer) readRequest(reader *bufio.Reader) bool {
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

func (b *BrokenServer) hasHealthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy > 0
}

// takeHealthy uses up one of the requests to answer in full and returns false if
// none is left.
func (b *BrokenServer) takeHealthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.healthy == 0 {
		return false
	}
	b.healthy--
	return true
}

// reset closes a connection. The peer sees a reset unless data is still in flight
// to it.
func (b *BrokenServer) reset(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
	_ = conn.Close()
}
