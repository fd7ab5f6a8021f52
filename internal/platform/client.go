// Package platform implements an HTTP client of the platform: its log, its
// instance list and its weight store.
package platform

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/service/once"
)

// DefaultTimeout is the timeout of each call, in milliseconds. The wait of a long
// poll is added to it.
const DefaultTimeout = 3 * oleanderspool.Second

// slowCall is the duration from which on a call that exceeded its caller's
// deadline counts as a failure of the platform. A caller with less time does not
// show that the platform is slow.
const slowCall = oleanderspool.Second

// DefaultMaxResponse is the maximum size of a response body, in bytes. It is
// several times the size of the largest configuration snapshot.
const DefaultMaxResponse = 64 << 20

// Client calls the platform. It implements [oleanderspool.Log],
// [oleanderspool.InstanceList] and [oleanderspool.WeightStore] and is safe for
// concurrent use.
//
// After a failure the client makes one call of the same kind after each backoff
// delay and rejects the others at once with ErrUnavailable, so that an outage
// causes little load and waiting.
type Client struct {
	address     string
	clock       oleanderspool.Clock
	timeout     oleanderspool.Millis
	dialTimeout oleanderspool.Millis
	maxResponse int64
	sender      *once.Sender    // for calls that must not be repeated
	transport   *http.Transport // for calls that may be repeated

	appends, reads, instances, weights *backoff
}

var (
	_ oleanderspool.Log          = (*Client)(nil)
	_ oleanderspool.InstanceList = (*Client)(nil)
	_ oleanderspool.WeightStore  = (*Client)(nil)
)

// Option configures a [Client].
type Option func(*Client)

// WithClock sets the clock that times the backoff delays.
func WithClock(c oleanderspool.Clock) Option {
	return func(p *Client) { p.clock = c }
}

// WithTimeout sets the timeout of each call. The wait of a long poll is added to
// it. A response that arrives later counts as none.
func WithTimeout(timeout oleanderspool.Millis) Option {
	return func(p *Client) { p.timeout = timeout }
}

// WithMaxResponse sets the maximum size of a response body, in bytes.
func WithMaxResponse(limit int64) Option {
	return func(p *Client) { p.maxResponse = limit }
}

// WithJitter sets the source of the backoff's jitter, which returns values in
// [0, 1).
func WithJitter(jitter func() float64) Option {
	return func(p *Client) {
		for _, b := range []*backoff{p.appends, p.reads, p.instances, p.weights} {
			b.jitter = jitter
		}
	}
}

// NewClient returns a client of the platform at the given IP number and port.
func NewClient(address string, options ...Option) *Client {
	p := &Client{
		address:     address,
		clock:       clock.NewSystem(),
		timeout:     DefaultTimeout,
		dialTimeout: once.DefaultDialTimeout,
		maxResponse: DefaultMaxResponse,
		appends:     &backoff{jitter: rand.Float64},
		reads:       &backoff{jitter: rand.Float64},
		instances:   &backoff{jitter: rand.Float64},
		weights:     &backoff{jitter: rand.Float64},
	}
	for _, o := range options {
		o(p)
	}
	p.sender = once.NewSender(p.dialTimeout)
	p.transport = once.NewTransport(p.dialTimeout)
	return p
}

// Append atomically appends records in order and returns the offset of the first.
// The request is sent at most once. An error is of type ErrUnavailable if nothing
// was sent or the platform states that the append had no effect, of type
// ErrInvalid if the platform states that it had no effect because the request is
// invalid, and of type ErrUncertain in every other case.
func (p *Client) Append(ctx context.Context, stream oleanderspool.Stream, data [][]byte) (oleanderspool.Offset, error) {
	body, err := encodeAppend(data)
	if err != nil {
		return 0, oleanderspool.ErrInvalid.Wrap(err, "records cannot be encoded")
	}
	c := call{path: appendPath(stream), body: body, backoff: p.appends}
	response, err := p.post(ctx, c)
	if err != nil {
		return 0, err
	}
	offset, err := decodeAppend(response)
	if err != nil {
		return 0, oleanderspool.ErrUncertain.Wrap(err, "response to an append to %s is malformed", stream)
	}
	return offset, nil
}

// Read returns up to limit records from the given offset on and the head offset
// of the stream. If there is no record, it waits for one up to wait milliseconds;
// a read that probes the platform after a failure does not wait. Errors are of
// type ErrUnavailable.
func (p *Client) Read(ctx context.Context, stream oleanderspool.Stream, from oleanderspool.Offset, limit int, wait oleanderspool.Millis) ([]oleanderspool.Record, oleanderspool.Offset, error) {
	d, err := p.admit(p.reads)
	if err != nil {
		return nil, 0, err
	}
	if d == probing {
		wait = 0
	}
	c := call{path: readPath(stream, from, limit, wait), wait: wait, backoff: p.reads, decision: d}
	body, err := p.fetch(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	records, head, err := decodeRead(body, from)
	if err != nil {
		return nil, 0, oleanderspool.ErrUnavailable.Wrap(err, "read of %s is malformed", stream)
	}
	return records, head, nil
}

// Instances returns the platform's instance list. Errors are of type
// ErrUnavailable.
func (p *Client) Instances(ctx context.Context) ([]oleanderspool.InstanceState, error) {
	d, err := p.admit(p.instances)
	if err != nil {
		return nil, err
	}
	body, err := p.fetch(ctx, call{path: instancesPath, backoff: p.instances, decision: d})
	if err != nil {
		return nil, err
	}
	states, err := decodeInstances(body)
	if err != nil {
		return nil, oleanderspool.ErrUnavailable.Wrap(err, "instance list is malformed")
	}
	return states, nil
}

// Reserve requests permission to start loading an artefact. It returns 0 if the
// load may start now, or else how many milliseconds the caller must wait before
// it asks again. An error is of type ErrUnavailable if nothing was reserved and
// of type ErrUncertain if a permission may have been consumed.
func (p *Client) Reserve(ctx context.Context, artefact string) (oleanderspool.Millis, error) {
	body, err := encodeWeights(artefact)
	if err != nil {
		return 0, oleanderspool.ErrInvalid.Wrap(err, "artefact cannot be encoded")
	}
	response, err := p.post(ctx, call{path: weightsPath, body: body, backoff: p.weights})
	if err != nil {
		return 0, err
	}
	wait, err := decodeWeights(response)
	if err != nil {
		return 0, oleanderspool.ErrUncertain.Wrap(err, "weight reservation is malformed")
	}
	return wait, nil
}

// call is an HTTP call to the platform.
type call struct {
	path     string
	body     []byte
	wait     oleanderspool.Millis // wait of a long poll
	backoff  *backoff
	decision decision
}

// result is the result of a call. The platform is alive if it refuses a request:
// only a call without an answer, or one answered with a server error, is a
// failure for the backoff.
type result struct {
	body  []byte
	alive bool
	err   error
}

// admit asks the backoff whether a call may be made and returns an error if it is
// denied.
func (p *Client) admit(b *backoff) (decision, error) {
	d, wait := b.start(p.clock.Now())
	if d == denied {
		return d, oleanderspool.ErrUnavailable.New("platform at %s failed; next call allowed in %d ms", p.address, wait)
	}
	return d, nil
}

// post makes a call with an effect. The request is sent at most once.
func (p *Client) post(ctx context.Context, c call) ([]byte, error) {
	d, err := p.admit(c.backoff)
	if err != nil {
		return nil, err
	}
	c.decision = d
	return p.run(ctx, c, p.send)
}

// fetch makes a call without an effect, which the backoff has already allowed.
func (p *Client) fetch(ctx context.Context, c call) ([]byte, error) {
	return p.run(ctx, c, p.get)
}

// run makes a call within its timeout and records its result in the backoff.
func (p *Client) run(ctx context.Context, c call, do func(context.Context, call) result) ([]byte, error) {
	start := p.clock.Now()
	callContext, cancel := context.WithTimeout(ctx, (p.timeout + c.wait).Duration())
	defer cancel()
	r := do(callContext, c)
	now := p.clock.Now()
	if r.alive || !abandoned(ctx, now-start) {
		c.backoff.finish(now, c.decision, !r.alive)
	}
	return r.body, r.err
}

// abandoned reports whether a call failed because its caller cancelled it or set a
// deadline that passed within slowCall, which is no evidence about the platform.
func abandoned(ctx context.Context, elapsed oleanderspool.Millis) bool {
	err := ctx.Err()
	return errors.Is(err, context.Canceled) || (err != nil || expired(ctx)) && elapsed < slowCall
}

// expired reports whether the deadline of a call has passed. The goroutine that ends
// the context may run late on a busy machine, so that a response that arrives after
// the deadline is read without an error.
func expired(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return bounded && !time.Now().Before(deadline)
}

func (p *Client) send(ctx context.Context, c call) result {
	request, err := p.encode(ctx, http.MethodPost, c)
	if err != nil {
		return result{alive: true, err: err}
	}
	response, err := p.sender.Send(request)
	if errorx.IsOfType(err, oleanderspool.ErrNotSent) {
		return result{err: oleanderspool.ErrUnavailable.Wrap(err, "request to %s was not sent", c.path)}
	}
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := once.ReadBody(response.Body, p.maxResponse)
	if err != nil {
		return result{err: err}
	}
	if expired(ctx) {
		return result{err: oleanderspool.ErrUncertain.New("response of %s arrived after the timeout", c.path)}
	}
	return result{body: body, alive: alive(response.StatusCode), err: postError(response.StatusCode, body)}
}

func alive(status int) bool {
	return status < http.StatusInternalServerError
}

// postError returns the error for a response to a call with an effect.
func postError(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	message, noEffect := decodeError(body)
	if !noEffect {
		return oleanderspool.ErrUncertain.New("platform answered %d: %s", status, message)
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return oleanderspool.ErrUnavailable.New("platform answered %d: %s", status, message)
	default:
		return oleanderspool.ErrInvalid.New("platform answered %d: %s", status, message)
	}
}

func (p *Client) get(ctx context.Context, c call) result {
	request, err := p.encode(ctx, http.MethodGet, c)
	if err != nil {
		return result{alive: true, err: err}
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		// The server may be unreachable on other idle connections too.
		p.transport.CloseIdleConnections()
		return result{err: oleanderspool.ErrUnavailable.Wrap(err, "request to %s failed", c.path)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := once.ReadBody(response.Body, p.maxResponse)
	if err != nil {
		return result{err: oleanderspool.ErrUnavailable.Wrap(err, "request to %s failed", c.path)}
	}
	if expired(ctx) {
		return result{err: oleanderspool.ErrUnavailable.New("response of %s arrived after the timeout", c.path)}
	}
	if response.StatusCode != http.StatusOK {
		message, _ := decodeError(body)
		err := oleanderspool.ErrUnavailable.New("platform answered %d: %s", response.StatusCode, message)
		return result{alive: alive(response.StatusCode), err: err}
	}
	return result{body: body, alive: true}
}

func (p *Client) encode(ctx context.Context, method string, c call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, oleanderspool.ErrInvalid.Wrap(err, "request to %s cannot be encoded", c.path)
	}
	if len(c.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
