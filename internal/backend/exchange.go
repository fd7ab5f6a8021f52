package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// inlineBody is the largest body, in bytes, that is sent in one write with
	// the header. A longer one is sent while the answer is read, since a server
	// may answer before it has read the body.
	inlineBody = 32 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 2
)

// Request is a request to a backend server.
type Request struct {
	Method        string
	Target        string // path and query, unchanged
	Host          string
	Header        http.Header
	Body          []byte
	ID            oleanderspool.RequestID
	NonIdempotent bool // runs at most once, so the connection must be fresh
}

// Exchange is a request with its answer. Close ends it.
type Exchange struct {
	Answer oleanderspool.AnswerHeader
	Header http.Header

	pool       *Pool
	connection *connection
	response   *http.Response
	keep       bool
	stop       func() bool
	sending    chan error // nil when the request was sent before the answer was read
	ended      bool
}

// Do sends a request and reads the header of its answer. An error of type
// [oleanderspool.ErrNotSent] says that no byte of the request left. The end of
// ctx ends the connection, also while the body of the answer is read.
func (p *Pool) Do(ctx context.Context, s directory.Server, r Request, format oleanderspool.ExchangeFormat) (*Exchange, error) {
	limit := idleLimit
	if r.NonIdempotent {
		limit = freshLimit
	}
	c, err := p.connect(ctx, s, limit)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.keep(c)
		return nil, oleanderspool.ErrNotSent.Wrap(ctx.Err(), "request to %s", s.Instance)
	}
	e := &Exchange{pool: p, connection: c, stop: context.AfterFunc(ctx, c.close)}
	if err := e.send(r); err != nil {
		e.abort()
		return nil, oleanderspool.ErrUncertain.Wrap(err, "send to %s", s.Instance)
	}
	if err := e.receive(r, format); err != nil {
		e.abort()
		return nil, oleanderspool.ErrUncertain.Wrap(err, "answer of %s", s.Instance)
	}
	return e, nil
}

func (e *Exchange) send(r Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || !slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodDelete}, r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if len(r.Body) <= inlineBody {
		b.Write(r.Body)
		_, err := e.connection.conn.Write(b.Bytes())
		return err
	}
	if _, err := e.connection.conn.Write(b.Bytes()); err != nil {
		return err
	}
	e.sending = make(chan error, 1)
	go func() {
		_, err := e.connection.conn.Write(r.Body)
		e.sending <- err
	}()
	return nil
}

// receive reads the header of the answer and skips interim answers and whole
// answers to other requests.
func (e *Exchange) receive(r Request, format oleanderspool.ExchangeFormat) error {
	for foreign := 0; ; {
		//nolint:bodyclose // Close ends the body with the connection.
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answer := format.DecodeAnswerHeader(response.StatusCode, response.Header)
		keep := e.connection.note(response)
		if answer.ID == "" || r.ID == "" || answer.ID == r.ID {
			e.Answer, e.Header, e.response, e.keep = answer, response.Header, response, keep
			return nil
		}
		foreign++
		if foreign > maxForeign || !keep {
			return oleanderspool.ErrUncertain.New("an answer to request %q", answer.ID)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
}

// Read reads the body of the answer. It returns io.EOF after a complete body
// only.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.response.Body.Read(b)
	if err == io.EOF {
		e.ended = true
	}
	return n, err
}

// ContentLength returns the length of the body in bytes that the server states.
func (e *Exchange) ContentLength() (length int64, stated bool) {
	return max(0, e.response.ContentLength), e.response.ContentLength >= 0
}

// Discard reads the body of the answer to its end.
func (e *Exchange) Discard() error {
	_, err := io.Copy(io.Discard, e)
	return err
}

// Close ends the exchange. A connection whose answer was read to its end and
// whose request was sent to its end is kept; any other is closed.
func (e *Exchange) Close() {
	if !e.ended || !e.keep || !e.sent() || e.connection.reader.Buffered() > 0 {
		e.abort()
		return
	}
	if e.stop() {
		e.pool.keep(e.connection)
	}
}

func (e *Exchange) sent() bool {
	if e.sending == nil {
		return true
	}
	select {
	case err := <-e.sending:
		return err == nil
	default:
		return false
	}
}

func (e *Exchange) abort() {
	e.stop()
	e.connection.close()
}
