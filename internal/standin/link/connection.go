package link

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the most that is relayed at once.
	chunkBytes = 32 << 10
	// queuedChunks bounds what is on its way in one direction of a connection.
	queuedChunks = 256
	// dialTimeout bounds the time to connect to the target.
	dialTimeout = 5 * time.Second
)

// connection is one relayed connection.
type connection struct {
	relay  *Relay
	client *net.TCPConn

	mu     sync.Mutex
	target *net.TCPConn // nil until connected
	ended  bool
	silent chan struct{} // closed when the connection becomes silent
	done   chan struct{} // closed when the connection is reset
	once   sync.Once
	mute   sync.Once
}

// chunk is a part of what is relayed; one without data is the end.
type chunk struct {
	data []byte
	due  time.Time
}

func newConnection(r *Relay, client *net.TCPConn) *connection {
	return &connection{relay: r, client: client, silent: make(chan struct{}), done: make(chan struct{})}
}

// silence holds back everything from now on.
func (c *connection) silence() {
	c.mute.Do(func() { close(c.silent) })
}

// reset closes both sides at once, which the peers see as a reset.
func (c *connection) reset() {
	c.once.Do(func() { close(c.done) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	abort(c.client)
	if c.target != nil {
		abort(c.target)
	}
}

func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// run relays until both directions have ended or the connection is reset.
func (c *connection) run(address string) {
	defer c.reset()
	target, ok := c.connect(address)
	if !ok {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(Forward, c.client, target) })
	pumps.Go(func() { c.pump(Backward, target, c.client) })
	pumps.Wait()
}

func (c *connection) connect(address string) (*net.TCPConn, bool) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, false
	}
	target := conn.(*net.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		abort(target)
		return nil, false
	}
	c.target = target
	return target, true
}

// pump relays one direction.
func (c *connection) pump(d Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queuedChunks)
	go c.read(d, from, queue)
	for part := range queue {
		if !c.wait(d, part.due) {
			return
		}
		if part.data == nil {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(part.data); err != nil {
			c.reset()
			return
		}
	}
}

// read queues what arrives from one side, and its end.
func (c *connection) read(d Direction, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		delay, _, _ := c.relay.state(d)
		part := chunk{data: buffer[:n], due: time.Now().Add(delay)}
		if n > 0 && !c.enqueue(queue, part) {
			return
		}
		if err != nil {
			c.enqueue(queue, chunk{due: part.due})
			return
		}
	}
}

func (c *connection) enqueue(queue chan<- chunk, part chunk) bool {
	select {
	case queue <- part:
		return true
	case <-c.done:
		return false
	}
}

// wait holds a part until it is due and its direction is not cut. It returns
// false when the connection was reset meanwhile. A silent connection waits until
// it is reset.
func (c *connection) wait(d Direction, due time.Time) bool {
	if !c.pause(time.Until(due)) {
		return false
	}
	for {
		select {
		case <-c.silent:
			<-c.done
			return false
		default:
		}
		_, cut, healed := c.relay.state(d)
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-c.silent:
		case <-c.done:
			return false
		}
	}
}

func (c *connection) pause(span time.Duration) bool {
	if span <= 0 {
		return true
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
