// Package engine implements the client of a model engine over an
// OpenAI-compatible HTTP interface with extensions for memory, orders and cache
// events.
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
	// DefaultTimeout bounds calls other than Generate, Apply, Export and Import.
	DefaultTimeout = 3 * oleanderspool.Second
	// DefaultLongTimeout bounds Apply, Export and Import, which move weights or
	// KV cache.
	DefaultLongTimeout = 10 * oleanderspool.Minute
	// DefaultIdleTimeout bounds the time between two parts of an answer.
	DefaultIdleTimeout = 5 * oleanderspool.Second
	// DefaultMaxResponse bounds the body of a response, in bytes.
	DefaultMaxResponse = 16 << 20
	// DefaultMaxExport bounds an exported KV cache, in bytes.
	DefaultMaxExport = 1 << 30
)

// Client calls the engine of one backend server. It implements
// [oleanderspool.Engine] and is safe for concurrent use. Calls that are not
// idempotent have a connection of their own, so that nothing is repeated and no
// silent kept connection is used. Idempotent calls, and Generate where its
// conditions hold, use kept connections.
type Client struct {
	address     string
	codec       Codec
	sender      *once.Sender
	kept        *once.PooledSender
	firstByte   oleanderspool.Millis
	started     atomic.Pointer[string] // run of the engine in its last report
	acknowledge atomic.Bool            // the last answer began with a comment
	dialTimeout oleanderspool.Millis
	timeout     oleanderspool.Millis
	longTimeout oleanderspool.Millis
	silence     oleanderspool.Millis
	firstPart   oleanderspool.Millis
	maxResponse int64
	maxExport   int64
}

var _ oleanderspool.Engine = (*Client)(nil)

// Option configures a [Client].
type Option func(*Client)

// WithTimeout bounds calls other than Generate, Apply, Export and Import.
func WithTimeout(timeout oleanderspool.Millis) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithIdleTimeout bounds the time between two parts of an answer. Comments that keep
// the connection alive count as parts.
func WithIdleTimeout(silence oleanderspool.Millis) Option {
	return func(c *Client) { c.silence = silence }
}

// WithFirstEventTimeout bounds the time to the first part of an answer. Without it only
// the request's remaining time bounds it, because an engine that sends no
// comments is silent while it prefills a long prompt.
func WithFirstEventTimeout(span oleanderspool.Millis) Option {
	return func(c *Client) { c.firstPart = span }
}

// WithMaxExport bounds an exported KV cache, in bytes.
func WithMaxExport(limit int64) Option {
	return func(c *Client) { c.maxExport = limit }
}

// NewClient returns a client of the engine at an IP number and port.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		address:     address,
		codec:       codec{},
		dialTimeout: once.DefaultDialTimeout,
		firstByte:   once.DefaultFirstByteTimeout,
		timeout:     DefaultTimeout,
		longTimeout: DefaultLongTimeout,
		silence:     DefaultIdleTimeout,
		maxResponse: DefaultMaxResponse,
		maxExport:   DefaultMaxExport,
	}
	for _, o := range options {
		o(c)
	}
	c.sender = once.NewSender(c.dialTimeout)
	c.kept = once.NewPooledSender(c.dialTimeout, c.firstByte)
	return c
}

// Cancel ends an attempt, or a reservation, and frees its memory. Cancelling an
// unknown owner is no error.
func (c *Client) Cancel(ctx context.Context, owner string) error {
	m, err := c.codec.Cancel(owner)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, m, c.timeout, c.maxResponse)
	return err
}

// Report returns the engine's account of itself.
func (c *Client) Report(ctx context.Context) (oleanderspool.EngineReport, error) {
	report, err := fetch(ctx, c, c.codec.Report(), c.codec.DecodeReport)
	if err == nil {
		c.started.Store(&report.RunID)
	}
	return report, err
}

// Allocations lists the memory that the engine holds.
func (c *Client) Allocations(ctx context.Context) ([]oleanderspool.MemoryAllocation, error) {
	return fetch(ctx, c, c.codec.Allocations(), c.codec.DecodeAllocations)
}

// CacheEvents returns cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]oleanderspool.CacheEvent, error) {
	return fetch(ctx, c, c.codec.CacheEvents(after), c.codec.DecodeCacheEvents)
}

// Apply carries out an order and returns once it is in force. The error is of
// type ErrFenced if the engine refuses the fencing number.
func (c *Client) Apply(ctx context.Context, order oleanderspool.Order) error {
	m, err := c.codec.Apply(order)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, m, c.longTimeout, c.maxResponse)
	return err
}

// Reserve holds memory for an owner before work starts. The error is of type
// ErrUnavailable if there is not enough.
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

// Import takes a KV cache for an attempt. The error is of type ErrUnavailable if
// there is not enough memory.
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

// call makes a call and returns the body of its response. An idempotent call is
// made again on a connection of its own when a kept one turns out to be stale.
// An error is of type ErrNotSent if no connection was made; other types are
// those of the codec, and ErrUncertain.
func (c *Client) call(ctx context.Context, m Message, timeout oleanderspool.Millis, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if m.Idempotent {
		body, err := c.callOver(ctx, c.kept, m, limit)
		if !errorx.IsOfType(err, once.ErrStale) {
			return body, err
		}
	}
	return c.callOver(ctx, c.sender, m, limit)
}

func (c *Client) callOver(ctx context.Context, s sender, m Message, limit int64) ([]byte, error) {
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
