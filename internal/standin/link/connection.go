package link

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the read buffer, so the largest chunk.
	chunkBytes = 32 << 10
	// maxQueuedChunks bounds the chunks in transit in one direction of a
	// connection.
	maxQueuedChunks = 256
	// dialTimeout is the timeout for connecting to the target.
	dialTimeout = 5 * time.Second
)

// connection is one relayed connection.
type connection struct {
	relay  *Relay
	client *net.TCPConn

	mu            sync.Mutex
	target        *net.TCPConn // nil until connected
	closed        bool
	blackHoled    chan struct{} // closed by blackHole
	done          chan struct{} // closed when the connection is reset
	resetOnce     sync.Once
	blackHoleOnce sync.Once
}

// chunk is a piece of the byte stream of one direction. A chunk with nil data
// marks the end of the stream.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

func newConnection(r *Relay, client *net.TCPConn) *connection {
	return &connection{relay: r, client: client, blackHoled: make(chan struct{}), done: make(chan struct{})}
}

// blackHole stops the delivery of all bytes in both directions for good.
func (c *connection) blackHole() {
	c.blackHoleOnce.Do(func() { close(c.blackHoled) })
}

// reset closes both sides immediately with a TCP reset.
func (c *connection) reset() {
	c.resetOnce.Do(func() { close(c.done) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	abort(c.client)
	if c.target != nil {
		abort(c.target)
	}
}

func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// run relays bytes until both directions have ended or the connection is reset.
func (c *connection) run(address string) {
	defer c.reset()
	target, ok := c.connect(address)
	if !ok {
		return
	}
	var transfers sync.WaitGroup
	transfers.Go(func() { c.transfer(Forward, c.client, target) })
	transfers.Go(func() { c.transfer(Backward, target, c.client) })
	transfers.Wait()
}

func (c *connection) connect(address string) (*net.TCPConn, bool) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, false
	}
	target := conn.(*net.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		abort(target)
		return nil, false
	}
	c.target = target
	return target, true
}

// transfer relays the bytes of one direction.
func (c *connection) transfer(d Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	go c.read(d, from, queue)
	for next := range queue {
		if !c.waitUntilDeliverable(d, next.deliverAt) {
			return
		}
		if next.data == nil {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(next.data); err != nil {
			c.reset()
			return
		}
	}
}

// read queues the bytes that arrive from one side, and the end of the stream.
func (c *connection) read(d Direction, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		delay, _, _ := c.relay.faults(d)
		next := chunk{data: buffer[:n], deliverAt: time.Now().Add(delay)}
		if n > 0 && !c.enqueue(queue, next) {
			return
		}
		if err != nil {
			c.enqueue(queue, chunk{deliverAt: next.deliverAt})
			return
		}
	}
}

func (c *connection) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-c.done:
		return false
	}
}

// waitUntilDeliverable blocks until deliverAt has passed and the direction is not
// cut. It returns false if the connection is reset first. On a black-holed
// connection it blocks until the reset.
func (c *connection) waitUntilDeliverable(d Direction, deliverAt time.Time) bool {
	if !c.sleep(time.Until(deliverAt)) {
		return false
	}
	for {
		select {
		case <-c.blackHoled:
			<-c.done
			return false
		default:
		}
		_, cut, healed := c.relay.faults(d)
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-c.blackHoled:
		case <-c.done:
			return false
		}
	}
}

// sleep waits for a duration. It returns false if the connection is reset first.
func (c *connection) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
