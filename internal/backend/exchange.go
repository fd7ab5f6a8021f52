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
	// maxInlineBody is the size in bytes of the largest body that is sent in one
	// write with the header. A longer one is sent while the answer is read, since a
	// server may answer before it has read the body.
	maxInlineBody = 32 << 10
	// usualHeader is the size in bytes of the header of most requests, so that its
	// buffer need not grow.
	usualHeader = 512
	// maxSkippedAnswers is the maximum number of answers to other requests that are
	// skipped.
	maxSkippedAnswers = 2
	// maxInterimAnswers is the maximum number of interim answers (1xx) before the
	// final one.
	maxInterimAnswers = 16
	// maxAnswerHeader bounds the header of an answer in bytes. Servers send less than
	// 1 KiB.
	maxAnswerHeader = 64 << 10
	// maxSkippedBody bounds the body of a skipped answer, and of one that
	// [Exchange.Discard] reads, in bytes. Reading more costs more than a new
	// connection.
	maxSkippedBody = 256 << 10
)

// Request is a request to a backend server.
type Request struct {
	Method        string
	Target        string // path and query as the caller sent them
	Host          string
	Header        http.Header
	Body          []byte
	ID            oleanderspool.RequestID
	NonIdempotent bool // may run at most once, so the connection must have been used recently
	// Confirm is called when the connection is ready, immediately before the request is
	// sent. The request is not sent if it reports false. nil means always.
	Confirm func() bool
}

// Exchange is a request that was sent and its answer. The caller must close it.
type Exchange struct {
	Answer oleanderspool.AnswerHeader
	Header http.Header

	server     directory.Server
	pool       *Pool
	connection *connection
	response   *http.Response
	reusable   bool        // the connection may be reused after the answer
	stop       func() bool // detaches ctx from the connection; false if ctx has closed it
	bodySent   chan error  // result of sending the body; nil if it was sent with the header
	complete   bool        // the body of the answer was read to its end
}

// Do sends a request and reads the header of its answer. An error of type
// [oleanderspool.ErrNotSent] means that no byte of the request was sent, and one
// of type [oleanderspool.ErrUncertain] that the request may have run. When ctx
// ends, the connection is closed, also while the body of the answer is read.
func (p *Pool) Do(ctx context.Context, s directory.Server, r Request, format oleanderspool.ExchangeFormat) (*Exchange, error) {
	maxIdle := idleTimeout
	if r.NonIdempotent {
		maxIdle = nonIdempotentIdleTimeout
	}
	c, err := p.connect(ctx, s, maxIdle, r.ID)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, oleanderspool.ErrNotSent.Wrap(ctx.Err(), "request to %s ended before it was sent", s.Instance)
	}
	if r.Confirm != nil && !r.Confirm() {
		p.put(c)
		return nil, oleanderspool.ErrNotSent.New("request to %s was withdrawn before it was sent", s.Instance)
	}
	e := &Exchange{server: s, pool: p, connection: c, stop: context.AfterFunc(ctx, c.close)}
	if err := e.send(r); err != nil {
		e.abort()
		return nil, oleanderspool.ErrUncertain.Wrap(err, "cannot send the request to %s", s.Instance)
	}
	if err := e.receive(r, format); err != nil {
		e.abort()
		return nil, oleanderspool.ErrUncertain.Wrap(err, "cannot read the answer of %s", s.Instance)
	}
	return e, nil
}

func (e *Exchange) send(r Request) error {
	var b bytes.Buffer
	b.Grow(usualHeader + min(len(r.Body), maxInlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || !slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodDelete}, r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxInlineBody {
		b.Write(r.Body)
		_, err := e.connection.conn.Write(b.Bytes())
		return err
	}
	if _, err := e.connection.conn.Write(b.Bytes()); err != nil {
		return err
	}
	e.bodySent = make(chan error, 1)
	go func() {
		_, err := e.connection.conn.Write(r.Body)
		e.bodySent <- err
	}()
	return nil
}

// receive reads the header of the answer. It skips interim answers and complete
// answers to other requests.
func (e *Exchange) receive(r Request, format oleanderspool.ExchangeFormat) error {
	for skipped, interim := 0, 0; ; {
		//nolint:bodyclose // Close ends the body together with the connection.
		response, err := e.readHeader(r.Method)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusContinue {
			return oleanderspool.ErrUncertain.New("received an answer with the status %03d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return errAnswerTooLong
			}
			continue
		}
		answer := format.DecodeAnswerHeader(response.StatusCode, response.Header)
		e.pool.observe(e.server, r.ID, answer)
		reusable := e.connection.recordKeepAlive(response)
		if e.answers(r, answer) {
			if answer.NotRun {
				e.connection.rejected = append(e.connection.rejected, r.ID)
				reusable = reusable && len(e.connection.rejected) < maxRejected
			}
			e.Answer, e.Header, e.response, e.reusable = answer, response.Header, response, reusable
			return nil
		}
		skipped++
		if answer.ID == "" || skipped > maxSkippedAnswers || !reusable {
			return oleanderspool.ErrUncertain.New("received an answer to request %q", answer.ID)
		}
		if err := skip(response.Body); err != nil {
			return err
		}
	}
}

// readHeader reads the header of the next answer. Its body follows on the
// connection without a bound.
func (e *Exchange) readHeader(method string) (*http.Response, error) {
	e.connection.input.setBound(maxAnswerHeader)
	defer e.connection.input.setBound(0)
	return http.ReadResponse(e.connection.reader, &http.Request{Method: method})
}

// answers reports whether an answer belongs to a request. A server repeats the ID
// of a request, so an answer with another ID is a late copy, also when the request
// has no ID. An answer without an ID may be a copy of an earlier answer: on a
// connection that carried one it is not trusted to say that the request did not run.
func (e *Exchange) answers(r Request, answer oleanderspool.AnswerHeader) bool {
	if answer.ID != "" {
		return answer.ID == r.ID
	}
	return !e.connection.reused || !answer.NotRun
}

// skip reads a body that nobody needs, so that the connection can be reused.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBody+1))
	if err == nil && n > maxSkippedBody {
		return errAnswerTooLong
	}
	return err
}

// Read reads the body of the answer. It returns io.EOF only after a complete body.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.response.Body.Read(b)
	if err == io.EOF {
		e.complete = true
	}
	return n, err
}

// ContentLength returns the length of the body in bytes as stated by the server.
func (e *Exchange) ContentLength() (length int64, stated bool) {
	return max(0, e.response.ContentLength), e.response.ContentLength >= 0
}

// Discard reads the body of the answer to its end. It fails on a body that is not
// worth reading.
func (e *Exchange) Discard() error {
	return skip(e)
}

// Close ends the exchange. It returns the connection to the pool if the request
// was sent and the answer was read completely, and closes it otherwise.
func (e *Exchange) Close() {
	e.connection.input.release()
	if !e.complete || !e.reusable || !e.requestSent() || e.connection.reader.Buffered() > 0 {
		e.abort()
		return
	}
	if e.stop() {
		e.connection.reused = true
		e.pool.put(e.connection)
	}
}

func (e *Exchange) requestSent() bool {
	if e.bodySent == nil {
		return true
	}
	select {
	case err := <-e.bodySent:
		return err == nil
	default:
		return false
	}
}

func (e *Exchange) abort() {
	e.connection.input.release()
	e.stop()
	e.connection.close()
}
