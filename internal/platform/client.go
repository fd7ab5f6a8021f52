// Package platform implements the client of the platform over HTTP: its log,
// its instance list and its weight store.
package platform

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/service/once"
)

// DefaultTimeout bounds each call, in milliseconds. The wait of a long poll is
// added to it.
const DefaultTimeout = 3 * oleanderspool.Second

// slowCall is the span after which a call whose caller ran out of time counts
// as a failure of the platform. A caller with less time than this proves nothing.
const slowCall = oleanderspool.Second

// DefaultMaxResponse bounds the body of a response, in bytes. It holds the
// largest configuration snapshot several times over.
const DefaultMaxResponse = 64 << 20

// Client calls the platform. It implements [oleanderspool.Log],
// [oleanderspool.InstanceList] and [oleanderspool.WeightStore] and is safe for
// concurrent use.
//
// After a failure the client lets one call of the same kind through in each
// backoff span and fails the others at once with ErrUnavailable, so that an
// outage costs little.
type Client struct {
	address     string
	clock       oleanderspool.Clock
	timeout     oleanderspool.Millis
	dialTimeout oleanderspool.Millis
	maxResponse int64
	sender      *once.Sender    // for calls with an effect
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

// WithClock sets the clock of the backoff.
func WithClock(c oleanderspool.Clock) Option {
	return func(p *Client) { p.clock = c }
}

// WithTimeout bounds each call; the wait of a long poll is added to it.
func WithTimeout(timeout oleanderspool.Millis) Option {
	return func(p *Client) { p.timeout = timeout }
}

// WithMaxResponse bounds the body of a response, in bytes.
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

// NewClient returns a client of the platform at an IP number and port.
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

// Append appends records in order, all or none, and returns the offset of the
// first. The request is written at most once. An error is of type
// ErrUnavailable if nothing was sent or the platform states that the append had
// no effect, of type ErrInvalid if it states so and refuses the records as such,
// and of type ErrUncertain in every other case.
func (p *Client) Append(ctx context.Context, stream oleanderspool.Stream, data [][]byte) (oleanderspool.Offset, error) {
	body, err := encodeAppend(data)
	if err != nil {
		return 0, oleanderspool.ErrInvalid.Wrap(err, "records cannot be encoded")
	}
	c := call{path: appendPath(stream), body: body, gate: p.appends}
	response, err := p.change(ctx, c)
	if err != nil {
		return 0, err
	}
	offset, err := decodeAppend(response)
	if err != nil {
		return 0, oleanderspool.ErrUncertain.Wrap(err, "response to an append to %s is malformed", stream)
	}
	return offset, nil
}

// Read returns up to limit records from the given offset on, and waits up to
// wait milliseconds when there is none. Errors are of type ErrUnavailable. A
// read that probes after a failure does not wait.
func (p *Client) Read(ctx context.Context, stream oleanderspool.Stream, from oleanderspool.Offset, limit int, wait oleanderspool.Millis) ([]oleanderspool.Record, oleanderspool.Offset, error) {
	v, err := p.admit(p.reads)
	if err != nil {
		return nil, 0, err
	}
	if v == probing {
		wait = 0
	}
	c := call{path: readPath(stream, from, limit, wait), wait: wait, gate: p.reads, verdict: v}
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

// Instances returns the list as the platform knows it. Errors are of type
// ErrUnavailable.
func (p *Client) Instances(ctx context.Context) ([]oleanderspool.InstanceState, error) {
	v, err := p.admit(p.instances)
	if err != nil {
		return nil, err
	}
	body, err := p.fetch(ctx, call{path: instancesPath, gate: p.instances, verdict: v})
	if err != nil {
		return nil, err
	}
	states, err := decodeInstances(body)
	if err != nil {
		return nil, oleanderspool.ErrUnavailable.Wrap(err, "instance list is malformed")
	}
	return states, nil
}

// Reserve asks to start loading an artefact and returns how many milliseconds
// the caller must wait before it asks again; 0 means that the load may start
// now. An error is of type ErrUnavailable if nothing was reserved and of type
// ErrUncertain if a turn may have been used up.
func (p *Client) Reserve(ctx context.Context, artefact string) (oleanderspool.Millis, error) {
	body, err := encodeWeights(artefact)
	if err != nil {
		return 0, oleanderspool.ErrInvalid.Wrap(err, "artefact cannot be encoded")
	}
	response, err := p.change(ctx, call{path: weightsPath, body: body, gate: p.weights})
	if err != nil {
		return 0, err
	}
	wait, err := decodeWeights(response)
	if err != nil {
		return 0, oleanderspool.ErrUncertain.Wrap(err, "weight reservation is malformed")
	}
	return wait, nil
}

// call is one HTTP call.
type call struct {
	path    string
	body    []byte
	wait    oleanderspool.Millis // long poll
	gate    *backoff
	verdict verdict
}

// result is what a call led to. A platform that refuses is alive: only a call
// without an answer, or answered with a server error, counts for the backoff.
type result struct {
	body  []byte
	alive bool
	err   error
}

// admit asks a backoff for a call.
func (p *Client) admit(gate *backoff) (verdict, error) {
	v, wait := gate.start(p.clock.Now())
	if v == denied {
		return v, oleanderspool.ErrUnavailable.New("platform at %s failed; next call in %d ms", p.address, wait)
	}
	return v, nil
}

// change makes a call with an effect, written at most once.
func (p *Client) change(ctx context.Context, c call) ([]byte, error) {
	v, err := p.admit(c.gate)
	if err != nil {
		return nil, err
	}
	c.verdict = v
	return p.run(ctx, c, p.send)
}

// fetch makes a call without an effect, which the backoff has let through.
func (p *Client) fetch(ctx context.Context, c call) ([]byte, error) {
	return p.run(ctx, c, p.get)
}

// run makes a call within its time limit and reports it to the backoff.
func (p *Client) run(ctx context.Context, c call, do func(context.Context, call) result) ([]byte, error) {
	start := p.clock.Now()
	callContext, cancel := context.WithTimeout(ctx, (p.timeout + c.wait).Duration())
	defer cancel()
	r := do(callContext, c)
	now := p.clock.Now()
	if r.alive || !gaveUp(ctx, now-start) {
		c.gate.finish(now, c.verdict, !r.alive)
	}
	return r.body, r.err
}

// gaveUp reports whether a call that lasted for span failed because its caller
// ended it, which says nothing about the platform.
func gaveUp(ctx context.Context, span oleanderspool.Millis) bool {
	err := ctx.Err()
	return errors.Is(err, context.Canceled) || err != nil && span < slowCall
}

func (p *Client) send(ctx context.Context, c call) result {
	request, err := p.encode(ctx, http.MethodPost, c)
	if err != nil {
		return result{alive: true, err: err}
	}
	response, err := p.sender.Send(request)
	if errorx.IsOfType(err, oleanderspool.ErrNotSent) {
		return result{err: oleanderspool.ErrUnavailable.Wrap(err, "call of %s was not sent", c.path)}
	}
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := once.ReadBody(response.Body, p.maxResponse)
	if err != nil {
		return result{err: err}
	}
	return result{body: body, alive: alive(response.StatusCode), err: changeError(response.StatusCode, body)}
}

func alive(status int) bool {
	return status < http.StatusInternalServerError
}

// changeError returns the error for a response to a call with an effect.
func changeError(status int, body []byte) error {
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
		// Other kept connections may be silent too.
		p.transport.CloseIdleConnections()
		return result{err: oleanderspool.ErrUnavailable.Wrap(err, "call of %s failed", c.path)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := once.ReadBody(response.Body, p.maxResponse)
	if err != nil {
		return result{err: oleanderspool.ErrUnavailable.Wrap(err, "call of %s failed", c.path)}
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
		return nil, oleanderspool.ErrInvalid.Wrap(err, "call of %s cannot be encoded", c.path)
	}
	if len(c.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
