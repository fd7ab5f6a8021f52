package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
	"github.com/oleanderspool/oleanderspool/internal/service/once"
)

const (
	// drainTimeout and drainMaxBytes bound the read of the rest of a response
	// after the [DONE] event. The end follows at once, and a connection is
	// reused only if its response was read to the end.
	drainTimeout  = 20 * time.Millisecond
	drainMaxBytes = 4 << 10
)

// errNoEvent is the cause of an answer that ended because the engine sent no
// event within the first-event timeout or the idle timeout.
var errNoEvent = errors.New("engine sent no event within the timeout")

// Generate runs a request and calls emit for each chunk of the answer, in
// order. The last call has the finish reason and is made only after the [DONE]
// event of the stream, so that a truncated answer is never treated as complete.
// The error is of type ErrNotSent if no connection was made, of type
// ErrUnavailable or ErrInvalid if the engine refused the request without
// running it, and of type ErrUncertain otherwise.
func (c *Client) Generate(ctx context.Context, request oleanderspool.GenerateRequest, emit func(text string, tokens int, finish string)) error {
	m, err := c.codec.Generate(request)
	if err != nil {
		return err
	}
	ctx, cancel := once.WithTimeout(ctx, request.Remaining)
	defer cancel()
	ctx, watchdog := newIdleWatchdog(ctx, c.firstEventTimeout, c.idleTimeout)
	defer watchdog.stop()
	response, err := c.submit(ctx, m, string(request.Attempt))
	if err != nil {
		return watchdog.explain(err)
	}
	defer func() { _ = response.Body.Close() }()
	a := answerReader{codec: c.codec, watchdog: watchdog, emit: emit}
	err = watchdog.explain(a.read(openai.NewEventReader(response.Body)))
	if err == nil {
		c.acknowledges.Store(a.acknowledged)
		watchdog.reset(drainTimeout)
		_, _ = io.CopyN(io.Discard, response.Body, drainMaxBytes)
	}
	return err
}

// submit sends a generate request. It uses a pooled connection only for an
// engine that acknowledges requests with a comment before it works on them,
// since the wait for the first token of a long prompt looks like a dead
// connection.
//
// When no response arrives on a pooled connection, the request may have crashed
// the engine or may still run in it. It is sent again only if the engine
// reports the same run as before and the first copy has been cancelled. So only
// one copy runs, and a request that crashed the engine does not crash it again.
func (c *Client) submit(ctx context.Context, m Message, owner string) (*http.Response, error) {
	lastRunID := c.lastRunID.Load()
	if lastRunID == nil || !c.acknowledges.Load() {
		return c.send(ctx, c.unpooled, m)
	}
	response, err := c.send(ctx, c.pooled, m)
	if !errorx.IsOfType(err, once.ErrStale) {
		return response, err
	}
	report, retryErr := c.Report(ctx)
	if retryErr != nil || report.RunID != *lastRunID {
		return nil, err
	}
	if c.Cancel(ctx, owner) != nil {
		return nil, err
	}
	response, retryErr = c.send(ctx, c.unpooled, m)
	if errorx.IsOfType(retryErr, oleanderspool.ErrNotSent) {
		return nil, err // the first copy may have been received
	}
	return response, retryErr
}

// answerReader reads the stream of one answer and emits its chunks.
type answerReader struct {
	codec        Codec
	watchdog     *idleWatchdog
	emit         func(text string, tokens int, finish string)
	generated    int // tokens generated so far
	finishReason string
	acknowledged bool // the stream began with a comment
}

// read emits the chunks up to the [DONE] event.
func (a *answerReader) read(events *openai.EventReader) error {
	for first := true; ; first = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return oleanderspool.ErrUncertain.Wrap(err, "stream failed before its [DONE] event")
		}
		a.watchdog.recordEvent()
		if event.Comment {
			a.acknowledged = a.acknowledged || first
			continue
		}
		if event.Done() {
			return a.complete()
		}
		if err := a.emitChunk(event.Data); err != nil {
			return err
		}
	}
}

func (a *answerReader) emitChunk(data []byte) error {
	chunk, err := a.codec.DecodeChunk(data)
	if err != nil {
		return oleanderspool.ErrUncertain.Wrap(err, "stream has a malformed chunk")
	}
	if chunk.FinishReason != "" {
		a.finishReason = chunk.FinishReason
	}
	if tokens := a.countNewTokens(chunk); chunk.Text != "" || tokens > 0 {
		a.emit(chunk.Text, tokens, "")
	}
	return nil
}

// countNewTokens returns the number of tokens in a chunk. If the engine does
// not report how many tokens it has generated, each chunk with text counts as
// one.
func (a *answerReader) countNewTokens(chunk openai.Chunk) int {
	switch {
	case chunk.GeneratedTokens > a.generated:
		tokens := chunk.GeneratedTokens - a.generated
		a.generated = chunk.GeneratedTokens
		return tokens
	case chunk.GeneratedTokens == 0 && chunk.Text != "":
		a.generated++
		return 1
	default:
		return 0
	}
}

func (a *answerReader) complete() error {
	if a.finishReason == "" {
		return oleanderspool.ErrUncertain.New("stream ended without a finish reason")
	}
	a.emit("", 0, a.finishReason)
	return nil
}

// idleWatchdog cancels a context when no event arrives in time.
type idleWatchdog struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	idleTimeout time.Duration
	timer       *time.Timer // nil until a timeout is set
}

// newIdleWatchdog returns a context that ends if the first event takes longer
// than firstEvent milliseconds or any later one longer than idle milliseconds.
// A timeout of 0 is none.
func newIdleWatchdog(ctx context.Context, firstEvent, idle oleanderspool.Millis) (context.Context, *idleWatchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &idleWatchdog{ctx: ctx, cancel: cancel, idleTimeout: idle.Duration()}
	if firstEvent > 0 {
		w.timer = time.AfterFunc(firstEvent.Duration(), w.expire)
	}
	return ctx, w
}

func (w *idleWatchdog) expire() {
	w.cancel(errNoEvent)
}

// recordEvent restarts the idle timeout after an event.
func (w *idleWatchdog) recordEvent() {
	switch {
	case w.idleTimeout <= 0 && w.timer != nil:
		w.timer.Stop()
	case w.idleTimeout > 0:
		w.reset(w.idleTimeout)
	}
}

// reset replaces the current timeout with another one, counted from now.
func (w *idleWatchdog) reset(timeout time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(timeout, w.expire)
		return
	}
	w.timer.Reset(timeout)
}

func (w *idleWatchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// explain adds the cause to an error that the watchdog brought about. It keeps
// the type of the error.
func (w *idleWatchdog) explain(err error) error {
	if err != nil && errors.Is(context.Cause(w.ctx), errNoEvent) {
		return errorx.Decorate(err, "%s", errNoEvent.Error())
	}
	return err
}
