package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
)

// controlPath is the prefix of the paths that control a stand-in. Faults never
// apply to them.
const controlPath = "/control/"

// maxRequestBytes is the limit of the body of a request to a stand-in.
const maxRequestBytes = 256 << 20

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
	fault, cleared, found := f.match(r.Method, r.URL.Path)
	if !found {
		next.ServeHTTP(w, r)
		return
	}
	r, err := bufferBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch fault.Kind {
	case FaultOutage:
		WriteError(w, http.StatusServiceUnavailable, Error{Message: "outage", Code: "outage", Effect: "none"})
	case FaultSlow:
		f.heldRequests.Add(1)
		sleep(fault.Delay, r.Context().Done(), cleared)
		f.heldRequests.Add(-1)
		next.ServeHTTP(w, r)
	case FaultHang:
		f.heldRequests.Add(1)
		waitUntilCleared(r.Context(), cleared)
		f.heldRequests.Add(-1)
		panic(http.ErrAbortHandler)
	case FaultLoseResponse:
		next.ServeHTTP(&discardWriter{}, r.WithContext(context.WithoutCancel(r.Context())))
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		next.ServeHTTP(&discardWriter{}, r.WithContext(context.WithoutCancel(r.Context())))
		waitUntilCleared(r.Context(), cleared)
		panic(http.ErrAbortHandler)
	case FaultLate:
		go f.serveLate(r.Clone(context.WithoutCancel(r.Context())), next, fault)
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		next.ServeHTTP(&truncatingWriter{ResponseWriter: w, remaining: fault.Bytes, onLimit: func() {}}, r)
		panic(http.ErrAbortHandler)
	case FaultStall:
		next.ServeHTTP(&truncatingWriter{ResponseWriter: w, remaining: fault.Bytes, onLimit: func() { waitUntilCleared(r.Context(), cleared) }}, r)
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (f *Faults) serveLate(r *http.Request, next http.Handler, fault Fault) {
	defer func() {
		// Handlers panic with ErrAbortHandler to close their connection, which is
		// closed already here.
		p := recover()
		err, _ := p.(error)
		if p != nil && !errors.Is(err, http.ErrAbortHandler) {
			panic(p)
		}
	}()
	sleep(fault.Delay, nil, nil)
	next.ServeHTTP(&discardWriter{}, r)
}

// bufferBody returns the request with its body in memory, so that the body
// outlives the connection. The HTTP server detects a disconnect of the peer only
// after the body has been read.
func bufferBody(r *http.Request) (*http.Request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	c := r.WithContext(r.Context())
	c.Body = io.NopCloser(bytes.NewReader(body))
	return c, nil
}

func waitUntilCleared(ctx context.Context, cleared <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-cleared:
	}
}

// discardWriter discards a response.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

func (d *discardWriter) Write(data []byte) (int, error) { return len(data), nil }

func (d *discardWriter) WriteHeader(int) {}

// Flush does nothing. Streaming handlers require an [http.Flusher].
func (d *discardWriter) Flush() {}

// truncatingWriter sends the first bytes of a response body, then calls onLimit
// and aborts the handler.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int64
	onLimit   func()
}

func (t *truncatingWriter) Write(data []byte) (int, error) {
	if int64(len(data)) < t.remaining {
		t.remaining -= int64(len(data))
		return t.ResponseWriter.Write(data)
	}
	if _, err := t.ResponseWriter.Write(data[:t.remaining]); err != nil {
		return 0, err
	}
	t.Flush()
	t.onLimit()
	panic(http.ErrAbortHandler)
}

// Flush sends the data written so far.
func (t *truncatingWriter) Flush() {
	_ = http.NewResponseController(t.ResponseWriter).Flush()
}
