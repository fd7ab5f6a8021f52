package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
)

// controlPath is where a stand-in is told what to do. Faults never apply to it.
const controlPath = "/control/"

// maxRequest bounds the body of a request to a stand-in, in bytes.
const maxRequest = 256 << 20

// Wrap returns a handler that applies the faults to next and serves
// /control/faults: GET lists the faults, POST adds one, DELETE clears them.
func (f *Faults) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/faults", f.serveList)
	mux.HandleFunc("POST /control/faults", f.serveAdd)
	mux.HandleFunc("DELETE /control/faults", f.serveClear)
	mux.Handle("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, controlPath) {
			next.ServeHTTP(w, r)
			return
		}
		f.serve(w, r, next)
	}))
	return mux
}

func (f *Faults) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	fault, cleared, found := f.take(r.Method, r.URL.Path)
	if !found {
		next.ServeHTTP(w, r)
		return
	}
	r, err := readWhole(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch fault.Kind {
	case FaultOutage:
		WriteError(w, http.StatusServiceUnavailable, Error{Message: "outage", Code: "outage", Effect: "none"})
	case FaultSlow:
		f.held.Add(1)
		sleep(fault.Delay, r.Context().Done(), cleared)
		f.held.Add(-1)
		next.ServeHTTP(w, r)
	case FaultHang:
		f.held.Add(1)
		hold(r.Context(), cleared)
		f.held.Add(-1)
		panic(http.ErrAbortHandler)
	case FaultLoseResponse:
		next.ServeHTTP(&lostWriter{}, r.WithContext(context.WithoutCancel(r.Context())))
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		next.ServeHTTP(&lostWriter{}, r.WithContext(context.WithoutCancel(r.Context())))
		hold(r.Context(), cleared)
		panic(http.ErrAbortHandler)
	case FaultLate:
		go f.serveLate(r.Clone(context.WithoutCancel(r.Context())), next, fault)
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		next.ServeHTTP(&cutWriter{ResponseWriter: w, left: fault.Bytes, end: func() {}}, r)
		panic(http.ErrAbortHandler)
	case FaultStall:
		next.ServeHTTP(&cutWriter{ResponseWriter: w, left: fault.Bytes, end: func() { hold(r.Context(), cleared) }}, r)
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (f *Faults) serveLate(r *http.Request, next http.Handler, fault Fault) {
	defer func() {
		// A handler ends its connection with this panic; here there is none left.
		p := recover()
		err, _ := p.(error)
		if p != nil && !errors.Is(err, http.ErrAbortHandler) {
			panic(p)
		}
	}()
	sleep(fault.Delay, nil, nil)
	next.ServeHTTP(&lostWriter{}, r)
}

// readWhole returns the request with its body in memory, so that the body
// outlives the connection and the peer's leaving is noticed.
func readWhole(r *http.Request) (*http.Request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		return nil, err
	}
	c := r.WithContext(r.Context())
	c.Body = io.NopCloser(bytes.NewReader(body))
	return c, nil
}

func hold(ctx context.Context, cleared <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-cleared:
	}
}

// lostWriter drops a response.
type lostWriter struct {
	header http.Header
}

func (l *lostWriter) Header() http.Header {
	if l.header == nil {
		l.header = http.Header{}
	}
	return l.header
}

func (l *lostWriter) Write(data []byte) (int, error) { return len(data), nil }

func (l *lostWriter) WriteHeader(int) {}

// Flush does nothing; streaming handlers need it.
func (l *lostWriter) Flush() {}

// cutWriter passes on the first bytes of a response body, then calls end and
// aborts the handler.
type cutWriter struct {
	http.ResponseWriter
	left int64
	end  func()
}

func (c *cutWriter) Write(data []byte) (int, error) {
	if int64(len(data)) < c.left {
		c.left -= int64(len(data))
		return c.ResponseWriter.Write(data)
	}
	if _, err := c.ResponseWriter.Write(data[:c.left]); err != nil {
		return 0, err
	}
	c.Flush()
	c.end()
	panic(http.ErrAbortHandler)
}

// Flush sends what was written so far.
func (c *cutWriter) Flush() {
	_ = http.NewResponseController(c.ResponseWriter).Flush()
}
