// Package service implements the HTTP client for backend services that are not
// inference engines.
package service

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/service/once"
)

// DefaultMaxResponse bounds the body of a response, in bytes.
const DefaultMaxResponse = 4 << 20

// DefaultTimeout bounds a call whose request states no remaining time, in
// milliseconds.
const DefaultTimeout = 30 * oleanderspool.Second

// Client calls the service of one backend server. It implements
// [oleanderspool.Service] and is safe for concurrent use.
type Client struct {
	address     string
	sender      *once.Sender
	dialTimeout oleanderspool.Millis
	timeout     oleanderspool.Millis
	maxResponse int64
}

var _ oleanderspool.Service = (*Client)(nil)

// Option configures a [Client].
type Option func(*Client)

// WithMaxResponse bounds the body of a response, in bytes.
func WithMaxResponse(limit int64) Option {
	return func(c *Client) { c.maxResponse = limit }
}

// NewClient returns a client of the service at an IP address and port.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		address:     address,
		dialTimeout: once.DefaultDialTimeout,
		timeout:     DefaultTimeout,
		maxResponse: DefaultMaxResponse,
	}
	for _, o := range options {
		o(c)
	}
	c.sender = once.NewSender(c.dialTimeout)
	return c
}

// Call sends the request once, on a connection of its own, and never retries it.
// A response of any HTTP status is returned without an error. An error is of
// type ErrInvalid if the method or path is malformed, of type ErrNotSent if no
// connection was made, and of type ErrUncertain if the call may have run. A
// response that is too long or truncated is also uncertain.
func (c *Client) Call(ctx context.Context, request oleanderspool.ServiceRequest) (oleanderspool.ServiceAnswer, error) {
	ctx, cancel := c.withTimeout(ctx, request)
	defer cancel()
	outgoing, err := c.encode(ctx, request)
	if err != nil {
		return oleanderspool.ServiceAnswer{}, err
	}
	response, err := c.sender.Send(outgoing)
	if err != nil {
		return oleanderspool.ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := once.ReadBody(response.Body, c.maxResponse)
	if err != nil {
		return oleanderspool.ServiceAnswer{}, err
	}
	return oleanderspool.ServiceAnswer{
		Status: response.StatusCode,
		Type:   response.Header.Get("Content-Type"),
		Body:   body,
	}, nil
}

func (c *Client) withTimeout(ctx context.Context, request oleanderspool.ServiceRequest) (context.Context, context.CancelFunc) {
	if request.Remaining > 0 {
		return once.WithTimeout(ctx, request.Remaining)
	}
	return context.WithTimeout(ctx, c.timeout.Duration())
}

func (c *Client) encode(ctx context.Context, request oleanderspool.ServiceRequest) (*http.Request, error) {
	path := "/" + strings.TrimPrefix(request.Path, "/")
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+c.address+path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, oleanderspool.ErrInvalid.Wrap(err, "service call cannot be encoded")
	}
	if outgoing.URL.Host != c.address {
		return nil, oleanderspool.ErrInvalid.New("path %q leaves the service", request.Path)
	}
	if len(request.Body) > 0 {
		outgoing.Header.Set("Content-Type", "application/json")
	}
	outgoing.Header.Set("X-Attempt", string(request.Attempt))
	return outgoing, nil
}
