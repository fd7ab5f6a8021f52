// Package clientconn limits the connections of clients to an HTTP server, and the memory
// of the headers that they send. Which connection is closed when something runs short is
// decided by [clientlimit].
package clientconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// The kinds of events beside the limits of [clientlimit.Table].
const (
	kindHeaderMemory = "client_header_memory"
	kindUnreadBytes  = "client_unread_bytes"
)

// Guard limits the connections to one address. It is safe for concurrent use.
type Guard struct {
	limits  clientlimit.Limits
	clock   oleanderspool.Clock
	tally   *observe.Tally
	headers *buffer.Budget
	uploads *buffer.Budget // whole receive buffers
	opened  atomic.Uint64
	ending  atomic.Int64 // connections closed for others whose requests have not ended

	mu    sync.Mutex
	table *clientlimit.Table
	open  map[clientlimit.ID]*Conn
}

// NewGuard returns a guard without connections.
func NewGuard(limits clientlimit.Limits, clock oleanderspool.Clock, tally *observe.Tally) *Guard {
	return &Guard{
		limits: limits, clock: clock, tally: tally, headers: buffer.NewBudget(limits.HeaderMemory),
		uploads: buffer.NewBudget(limits.UnreadBytes), table: clientlimit.NewTable(limits), open: make(map[clientlimit.ID]*Conn),
	}
}

// Install makes a server report its connections to the guard. They must come from
// [Guard.Listen].
func (g *Guard) Install(s *http.Server) {
	s.ConnState = g.track
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		return context.WithValue(c.withCancel(ctx), connKey{}, c)
	}
}

type connKey struct{}

// FromContext returns the connection of a request, or nil for one without a guard.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Opened returns the number of connections so far.
func (g *Guard) Opened() uint64 { return g.opened.Load() }

// Listen returns a listener that accepts the connections of l within the limits.
func (g *Guard) Listen(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		g.limitBuffers(tcp)
	}
	return listener{l, g}
}

// limitBuffers bounds what the kernel receives for a connection that is not read, and what
// it keeps for a client that does not read, so that such a client shows at once. The
// connections inherit it. If it fails, Sweep still closes those with unread bytes.
//
// The kernel also receives for connections that wait to be accepted, and for requests that
// wait for memory or have been refused. So a connection gets a smaller buffer, unless it
// sends a body, and the queue is bounded.
func (g *Guard) limitBuffers(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.limits.PendingBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, g.limits.SocketBuffer)
		_ = unix.Listen(int(fd), g.limits.PendingConnections) // changes the length of the queue
	})
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		l.guard.awaitEnding()
		if c := l.guard.add(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close() // nothing was received or sent
	}
}

const (
	// endingStep and endingSteps bound the wait for closed connections to return their
	// memory before another one is accepted.
	endingStep  = 5 * oleanderspool.Millis(1)
	endingSteps = 40
)

// awaitEnding waits while many closed connections still hold memory, since their
// requests have not noticed it yet.
func (g *Guard) awaitEnding() {
	for range endingSteps {
		if int(g.ending.Load()) <= g.limits.Connections/4 {
			return
		}
		time.Sleep(endingStep.Duration())
	}
}

// add returns nil for a connection that is refused.
func (g *Guard) add(tcp *net.TCPConn) *Conn {
	var address netip.Addr
	if a, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		address = a.AddrPort().Addr().Unmap()
	}
	c := &Conn{TCPConn: tcp, guard: g, id: clientlimit.ID(g.opened.Add(1))}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	now := g.clock.Now()
	c.waitingSince = now
	c.inHeader = true
	g.mu.Lock()
	d := g.table.Open(c.id, address, now)
	evicted := g.open[d.Evicted]
	delete(g.open, d.Evicted)
	if d.Accepted {
		g.open[c.id] = c
	}
	g.mu.Unlock()
	if d.Limit != "" {
		g.tally.Record(d.Limit)
	}
	if evicted != nil {
		evicted.evicted.Store(true)
		g.ending.Add(1)
		evicted.abort()
	}
	if !d.Accepted {
		c.cancel()
		return nil
	}
	return c
}

func (g *Guard) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	now := g.clock.Now()
	switch state {
	case http.StateActive:
		c.endHeader()
		g.mu.Lock()
		g.table.Receive(c.id, now)
		g.mu.Unlock()
	case http.StateIdle:
		held := c.startHeader(now)
		g.mu.Lock()
		g.table.Idle(c.id, now)
		g.mu.Unlock()
		if !held {
			g.tally.Record(kindHeaderMemory)
			c.abort()
		}
	case http.StateClosed, http.StateHijacked:
		g.remove(c)
	}
}

func (g *Guard) remove(c *Conn) {
	c.cancel()
	if c.evicted.Load() {
		g.ending.Add(-1)
	}
	g.mu.Lock()
	g.table.Close(c.id)
	delete(g.open, c.id)
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.release()
	c.returnBuffer()
}

// Sweep closes the connections that have waited for a request, or for the rest of its
// header, for too long, and those with the most unread bytes when these are too many.
func (g *Guard) Sweep(header, idle oleanderspool.Millis) {
	now := g.clock.Now()
	g.mu.Lock()
	var late, busy []*Conn
	for _, c := range g.open {
		if c.waitsTooLong(header, idle, now) {
			late = append(late, c)
		}
	}
	for _, id := range g.table.Busy() {
		if c := g.open[id]; c != nil {
			busy = append(busy, c)
		}
	}
	g.mu.Unlock()
	for _, c := range late {
		_ = c.Close() // no request is in progress on it
	}
	g.closeUnread(busy)
	g.tally.Flush()
}

func (g *Guard) closeUnread(busy []*Conn) {
	holdings := make([]clientlimit.Holding, 0, len(busy))
	byID := make(map[clientlimit.ID]*Conn, len(busy))
	for _, c := range busy {
		if n := c.unread(); n > 0 {
			holdings = append(holdings, clientlimit.Holding{ID: c.id, Bytes: n})
			byID[c.id] = c
		}
	}
	for _, id := range clientlimit.Excess(holdings, g.limits.UnreadBytes) {
		g.tally.Record(kindUnreadBytes)
		byID[id].abort()
	}
}

// makeRoom closes the connection whose unfinished header holds the most memory, if it
// holds more than a number of bytes, and reports whether it did.
func (g *Guard) makeRoom(bytes int) bool {
	var largest *Conn
	most := bytes
	g.mu.Lock()
	for _, c := range g.open {
		if held := int(c.unfinishedHeader.Load()); held > most {
			largest, most = c, held
		}
	}
	g.mu.Unlock()
	if largest == nil {
		return false
	}
	g.tally.Record(kindHeaderMemory)
	largest.abort()
	largest.mu.Lock()
	defer largest.mu.Unlock()
	largest.closed = true
	largest.release()
	return true
}

// Conn is a connection of a client. It embeds the TCP connection, so that net/http still
// finds its other methods, for example CloseWrite.
type Conn struct {
	*net.TCPConn
	guard *Guard
	id    clientlimit.ID
	// ctx ends when the connection is closed.
	ctx     context.Context
	cancel  context.CancelFunc
	evicted atomic.Bool // closed in favour of another connection
	// unfinishedHeader is the memory of a header that is being received, in bytes.
	unfinishedHeader atomic.Int64

	mu              sync.Mutex
	closed          bool
	inHeader        bool                 // a header is awaited or being received
	waitingSince    oleanderspool.Millis // valid in a header
	headerStartedAt oleanderspool.Millis // arrival of the first byte of the header; 0 before it
	scan            scanner
	reserved        int // memory of the header beyond the free part
	buffer          int // memory of the whole receive buffer; 0 for the smaller one
	// pipelines means that the client has sent bytes of a request before the answer to
	// the one before, so it is not known which of the bytes read belong to which.
	pipelines  bool
	afterHead  int64 // bytes read since the end of the header
	bodyLength int64 // -1 for an unknown length
	lastRead   chunk // what the last read returned
	ending     ending
}

// chunk describes the bytes of a read.
type chunk struct {
	bytes, lines int
}

// withCancel returns a copy of ctx that ends when the connection is closed.
func (c *Conn) withCancel(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(c.ctx, cancel)
	return ctx
}

// errNoHeaderMemory is returned by Read when the header finds no room.
var errNoHeaderMemory = io.ErrUnexpectedEOF

// Read accounts for the memory of a header.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.account(p[:n]) {
		c.guard.tally.Record(kindHeaderMemory)
		c.abort()
		return 0, errNoHeaderMemory
	}
	return n, err
}

// account records bytes that were read and reports whether their memory was available.
func (c *Conn) account(p []byte) bool {
	c.mu.Lock()
	if !c.inHeader {
		c.recordRead(p)
		c.afterHead += int64(len(p))
		pipelines := c.isAhead()
		c.mu.Unlock()
		if pipelines {
			c.update((*clientlimit.Table).Pipeline)
		}
		return true
	}
	if c.headerStartedAt == 0 {
		c.headerStartedAt = c.guard.clock.Now()
	}
	c.recordRead(p)
	rest := c.scan.read(p)
	c.afterHead += int64(rest)
	cost := clientlimit.HeaderCost(c.scan.bytes, c.scan.lines)
	c.mu.Unlock()
	return c.reserve(cost)
}

// recordRead records what the last read returned. c.mu is held.
func (c *Conn) recordRead(p []byte) {
	c.ending.add(p)
	if len(p) == 1 {
		// net/http reads one byte ahead while a request runs.
		c.lastRead.bytes++
		return
	}
	c.lastRead = describe(p)
}

// reserve raises the memory of the header to a cost and reports whether there is room.
func (c *Conn) reserve(cost int) bool {
	for {
		c.mu.Lock()
		missing := cost - clientlimit.FreeHeader - c.reserved
		if c.closed || missing <= 0 {
			closed := c.closed
			c.mu.Unlock()
			return !closed
		}
		if c.guard.headers.Reserve(missing) {
			c.reserved += missing
			if c.inHeader {
				c.unfinishedHeader.Store(int64(c.reserved))
			}
			c.mu.Unlock()
			return true
		}
		held := c.reserved + missing
		c.mu.Unlock()
		if !c.guard.makeRoom(held) {
			return false
		}
	}
}

// release returns the memory of the header. c.mu is held.
func (c *Conn) release() {
	c.guard.headers.Release(c.reserved)
	c.reserved = 0
	c.unfinishedHeader.Store(0)
}

// endHeader records that net/http has read a header. Its memory is kept until the next
// header is awaited.
func (c *Conn) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader, c.bodyLength = false, -1
	c.unfinishedHeader.Store(0)
}

// startHeader records that the next header is awaited, and reports whether there is room
// for the part of it that may have arrived.
func (c *Conn) startHeader(now oleanderspool.Millis) bool {
	c.mu.Lock()
	c.release()
	c.lowerBuffer()
	leftover := c.leftover()
	c.inHeader, c.waitingSince, c.headerStartedAt = true, now, 0
	c.scan, c.afterHead = scanner{}, 0
	cost := 0
	if leftover {
		c.pipelines, c.headerStartedAt = true, now
		c.scan.bytes, c.scan.lines = c.lastRead.bytes, c.lastRead.lines
		cost = clientlimit.HeaderCost(c.scan.bytes, c.scan.lines)
	}
	c.mu.Unlock()
	return c.reserve(cost)
}

// leftover reports whether bytes of the next header may have been read. c.mu is held.
func (c *Conn) leftover() bool {
	switch {
	case c.pipelines:
		return true
	case c.bodyLength >= 0:
		return c.isAhead()
	default:
		return c.afterHead > 0 && !c.ending.isChunked()
	}
}

// StartRequest records the parsed header of a request, and reports whether there is room
// for it.
func (c *Conn) StartRequest(r *http.Request) bool {
	c.mu.Lock()
	c.bodyLength = r.ContentLength
	c.mu.Unlock()
	if c.reserve(clientlimit.ParsedCost(r.Header)) {
		return true
	}
	c.guard.tally.Record(kindHeaderMemory)
	return false
}

// StartBody records that the body of a request is about to be read. It gives the
// connection the whole receive buffer if the body needs it and there is room; otherwise
// the body arrives more slowly.
func (c *Conn) StartBody(length int64) {
	limits := c.guard.limits
	if 0 <= length && length <= int64(limits.PendingBuffer) {
		return
	}
	memory := limits.ReceiveMemory()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.buffer > 0 || !c.guard.uploads.Reserve(memory) {
		return
	}
	c.buffer = memory
	c.setBuffer(limits.SocketBuffer)
}

// lowerBuffer returns to the smaller receive buffer. What the kernel has received stays.
// c.mu is held.
func (c *Conn) lowerBuffer() {
	if c.buffer > 0 && !c.closed {
		c.setBuffer(c.guard.limits.PendingBuffer)
	}
	c.returnBuffer()
}

// returnBuffer returns the memory of the whole receive buffer. c.mu is held.
func (c *Conn) returnBuffer() {
	c.guard.uploads.Release(c.buffer)
	c.buffer = 0
}

// setBuffer sets the size of the receive buffer in bytes. If it fails, the connection is
// slower, or Sweep closes it when it holds much.
func (c *Conn) setBuffer(bytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
	})
}

// Run records that a whole request has arrived, so that the connection is not closed in
// favour of another one.
func (c *Conn) Run() {
	c.update((*clientlimit.Table).Run)
	c.mu.Lock()
	c.lowerBuffer()
	pipelines := c.isAhead()
	c.mu.Unlock()
	if pipelines {
		c.update((*clientlimit.Table).Pipeline)
	}
}

// isAhead reports whether bytes beyond the request in progress have arrived. c.mu is held.
func (c *Conn) isAhead() bool {
	return c.bodyLength >= 0 && c.afterHead > c.bodyLength
}

// EndRequest records that the handler of the request has ended.
func (c *Conn) EndRequest() { c.update((*clientlimit.Table).Receive) }

func (c *Conn) update(record func(*clientlimit.Table, clientlimit.ID, oleanderspool.Millis)) {
	now := c.guard.clock.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	record(c.guard.table, c.id, now)
}

// Write records how long the client lets a write wait.
func (c *Conn) Write(p []byte) (int, error) {
	c.update((*clientlimit.Table).Send)
	defer c.update((*clientlimit.Table).Sent)
	return c.TCPConn.Write(p)
}

// abort closes the connection at once. What it has not sent yet is dropped, so that the
// kernel keeps nothing of it.
func (c *Conn) abort() {
	c.cancel()
	_ = c.SetLinger(0) // fails only for a closed connection
	_ = c.Close()      // fails only if it is closed already
}

func (c *Conn) waitsTooLong(header, idle, now oleanderspool.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.inHeader:
		return false
	case c.headerStartedAt != 0:
		return now-c.headerStartedAt > header
	default:
		return now-c.waitingSince > idle
	}
}

// unread returns the number of bytes that the kernel has received.
func (c *Conn) unread() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if err != nil {
		return 0 // closed
	}
	return n
}
