package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

const (
	// maxMessageBytes is the largest message. It has room to spare for a prompt of
	// a million tokens.
	maxMessageBytes = 32 << 20
	// idleExpiration is how long an idle connection is kept. A connection can break
	// unnoticed while it is idle; the shorter it is kept, the fewer calls are sent
	// on a broken one.
	idleExpiration      = 20 * time.Second
	dialTimeout         = 1 * time.Second
	maxIdleConns        = 512
	maxIdleConnsPerPeer = 16
)

// Client calls peers. One connection carries one call at a time, so idle
// connections are pooled by address. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client with an empty connection pool.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsPerPeer,
	})}
}

// Agent returns a client of the agent at the given IP address and port. The first
// call dials.
func (c *Client) Agent(address string) peerpb.DRPCAgentClient {
	return peerpb.NewDRPCAgentClient(c.pool.Get(context.Background(), address, dial))
}

// DialAgent opens a connection outside the pool to the agent at the given IP
// address and port. It is meant for calls that must not run twice: a pooled
// connection may have broken unnoticed, and then it is unknown whether the call
// arrived. The returned function closes the connection. The error is a
// [*DialError].
func (c *Client) DialAgent(ctx context.Context, address string) (peerpb.DRPCAgentClient, func(), error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return peerpb.NewDRPCAgentClient(conn), func() { _ = conn.Close() }, nil
}

// DialProcess opens a connection outside the pool to the process at the given IP
// address and port, so that calls to many processes do not displace the pooled
// connections to agents. The returned function closes the connection. The error
// is a [*DialError].
func (c *Client) DialProcess(ctx context.Context, address string) (peerpb.DRPCPeerClient, func(), error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return peerpb.NewDRPCPeerClient(conn), func() { _ = conn.Close() }, nil
}

// Process returns a client of the process at the given IP address and port. The
// first call dials.
func (c *Client) Process(address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(context.Background(), address, dial))
}

// CloseIdle closes the idle connections to an address, so that the next call
// dials. It is called after a connection to that address stopped responding,
// since the idle ones may be broken too.
func (c *Client) CloseIdle(address string) {
	for {
		conn, ok := c.pool.Take(address)
		if !ok {
			return
		}
		_ = conn.Close()
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}

// DialError reports that the connection to a peer could not be opened, so that the
// peer received nothing of the call.
type DialError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *DialError) Error() string {
	return "dial " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}
