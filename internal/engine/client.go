// Package engine implements the client of a model engine over an
// OpenAI-compatible HTTP interface with extensions for memory reservations,
// model orders, KV cache transfers and cache events.
package engine

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/service/once"
)

// Defaults of the client, in milliseconds unless stated otherwise.
const (
	// DefaultTimeout bounds calls other than Generate, Apply, Export and
	// Import.
	DefaultTimeout = 3 * oleanderspool.Second
	// DefaultLongTimeout bounds Apply, Export and Import, which move weights or
	// KV cache.
	DefaultLongTimeout = 10 * oleanderspool.Minute
	// DefaultIdleTimeout bounds the time between two events of an answer's
	// stream.
	DefaultIdleTimeout = 5 * oleanderspool.Second
	// DefaultMaxResponse bounds the body of a response, in bytes.
	DefaultMaxResponse = 16 << 20
	// DefaultMaxExport bounds an exported KV cache, in bytes.
	DefaultMaxExport = 1 << 30
)

// Client calls the engine of one backend server. It implements
// [oleanderspool.Engine] and is safe for concurrent use. A call that is not
// idempotent opens a new connection, so that it is never repeated and never
// sent on a pooled connection that is dead. Idempotent calls use pooled
// connections, and so does Generate for an engine that has reported its run and
// acknowledges requests.
type Client struct {
	address           string
	codec             Codec
	unpooled          *once.Sender
	pooled            *once.PooledSender
	firstByteTimeout  oleanderspool.Millis
	lastRunID         atomic.Pointer[string] // run of the engine in its last report
	acknowledges      atomic.Bool            // the last answer began with a comment
	dialTimeout       oleanderspool.Millis
	timeout           oleanderspool.Millis
	longTimeout       oleanderspool.Millis
	idleTimeout       oleanderspool.Millis
	firstEventTimeout oleanderspool.Millis
	maxResponse       int64
	maxExport         int64
}

var _ oleanderspool.Engine = (*Client)(nil)

// Option configures a [Client].
type Option func(*Client)

// WithTimeout bounds calls other than Generate, Apply, Export and Import.
func WithTimeout(timeout oleanderspool.Millis) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithIdleTimeout bounds the time between two events of an answer's stream.
// Comments that keep the connection alive count as events. A timeout of 0 is
// none.
func WithIdleTimeout(timeout oleanderspool.Millis) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// WithFirstEventTimeout bounds the time to the first event of an answer's
// stream. By default only the request's remaining time bounds it, because an
// engine that sends no comments sends nothing while it prefills a long prompt.
func WithFirstEventTimeout(timeout oleanderspool.Millis) Option {
	return func(c *Client) { c.firstEventTimeout = timeout }
}

// WithMaxExport bounds an exported KV cache, in bytes.
func WithMaxExport(limit int64) Option {
	return func(c *Client) { c.maxExport = limit }
}

// NewClient returns a client of the engine at an IP address and port.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		address:          address,
		codec:            codec{},
		dialTimeout:      once.DefaultDialTimeout,
		firstByteTimeout: once.DefaultFirstByteTimeout,
		timeout:          DefaultTimeout,
		longTimeout:      DefaultLongTimeout,
		idleTimeout:      DefaultIdleTimeout,
		maxResponse:      DefaultMaxResponse,
		maxExport:        DefaultMaxExport,
	}
	for _, o := range options {
		o(c)
	}
	c.unpooled = once.NewSender(c.dialTimeout)
	c.pooled = once.NewPooledSender(c.dialTimeout, c.firstByteTimeout)
	return c
}

// Cancel ends an attempt or a reservation and frees its memory. Cancelling an
// unknown owner is not an error.
func (c *Client) Cancel(ctx context.Context, owner string) error {
	m, err := c.codec.Cancel(owner)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, m, c.timeout, c.maxResponse)
	return err
}

// Report returns the engine's memory, running requests, loaded models and run
// ID.
func (c *Client) Report(ctx context.Context) (oleanderspool.EngineReport, error) {
	report, err := fetch(ctx, c, c.codec.Report(), c.codec.DecodeReport)
	if err == nil {
		c.lastRunID.Store(&report.RunID)
	}
	return report, err
}

// Allocations lists the memory that the engine holds, by owner.
func (c *Client) Allocations(ctx context.Context) ([]oleanderspool.MemoryAllocation, error) {
	return fetch(ctx, c, c.codec.Allocations(), c.codec.DecodeAllocations)
}

// CacheEvents returns cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]oleanderspool.CacheEvent, error) {
	return fetch(ctx, c, c.codec.CacheEvents(after), c.codec.DecodeCacheEvents)
}

// Apply sends an order and returns once the engine has carried it out. The
// error is of type ErrFenced if the engine refuses the fencing token.
func (c *Client) Apply(ctx context.Context, order oleanderspool.Order) error {
	m, err := c.codec.Apply(order)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, m, c.longTimeout, c.maxResponse)
	return err
}

// Reserve reserves memory for an owner before its work starts. The error is of
// type ErrUnavailable if there is not enough memory.
func (c *Client) Reserve(ctx context.Context, owner string, tokens int64) error {
	m, err := c.codec.Reserve(owner, tokens)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, m, c.timeout, c.maxResponse)
	return err
}

// Export returns the KV cache of an attempt.
func (c *Client) Export(ctx context.Context, owner string) ([]byte, error) {
	m, err := c.codec.Export(owner)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, m, c.longTimeout, c.maxExport)
}

// Import loads an exported KV cache for an attempt. The error is of type
// ErrUnavailable if there is not enough memory.
func (c *Client) Import(ctx context.Context, owner string, data []byte) error {
	m, err := c.codec.Import(owner, data)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, m, c.longTimeout, c.maxResponse)
	return err
}

// fetch makes a call and decodes its response.
func fetch[T any](ctx context.Context, c *Client, m Message, decode func([]byte) (T, error)) (T, error) {
	var zero T
	body, err := c.call(ctx, m, c.timeout, c.maxResponse)
	if err != nil {
		return zero, err
	}
	value, err := decode(body)
	if err != nil {
		return zero, oleanderspool.ErrUncertain.Wrap(err, "response of %s is malformed", m.Path)
	}
	return value, nil
}

// sender sends one HTTP request.
type sender interface {
	Send(request *http.Request) (*http.Response, error)
}

// call makes a call and returns the body of its response. An idempotent call
// uses a pooled connection and is repeated on a new one if the pooled one was
// stale. An error is of type ErrNotSent if no connection was made, of type
// ErrUncertain if the engine may have received the call, or of a type that the
// codec returns.
func (c *Client) call(ctx context.Context, m Message, timeout oleanderspool.Millis, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if m.Idempotent {
		body, err := c.callWith(ctx, c.pooled, m, limit)
		if !errorx.IsOfType(err, once.ErrStale) {
			return body, err
		}
	}
	return c.callWith(ctx, c.unpooled, m, limit)
}

func (c *Client) callWith(ctx context.Context, s sender, m Message, limit int64) ([]byte, error) {
	response, err := c.send(ctx, s, m)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return once.ReadBody(response.Body, limit)
}

// send sends a message and returns a response with status 200, whose body the
// caller must close.
func (c *Client) send(ctx context.Context, s sender, m Message) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, m.Method, "http://"+c.address+m.Path, bytes.NewReader(m.Body))
	if err != nil {
		return nil, oleanderspool.ErrInvalid.Wrap(err, "call of %s cannot be encoded", m.Path)
	}
	if m.ContentType != "" {
		request.Header.Set("Content-Type", m.ContentType)
	}
	response, err := s.Send(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := once.ReadBody(response.Body, c.maxResponse)
	if err != nil {
		return nil, err
	}
	return nil, c.codec.DecodeError(response.StatusCode, body)
}
