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
	// drainBound and drainBytes bound the wait for the end of a response after
	// the end mark of the answer. It follows at once, and only a response that
	// was read to its end leaves its connection for the next request.
	drainBound = 20 * time.Millisecond
	drainBytes = 4 << 10
)

// errSilent is the cause of an answer that ended because the engine was silent
// for too long.
var errSilent = errors.New("engine was silent for too long")

// Generate runs a request and calls emit for each part of the answer, in order.
// The last call has the finish reason and comes only after the stream's end
// mark, so an answer without one is never taken for complete. The error is of
// type ErrNotSent if no connection was made, of type ErrUnavailable or ErrInvalid
// if the engine refused the request without running it, and of type ErrUncertain
// otherwise.
func (c *Client) Generate(ctx context.Context, request oleanderspool.GenerateRequest, emit func(text string, tokens int, finish string)) error {
	m, err := c.codec.Generate(request)
	if err != nil {
		return err
	}
	ctx, cancel := once.WithTimeout(ctx, request.Remaining)
	defer cancel()
	ctx, guard := guardSilence(ctx, c.firstPart, c.silence)
	defer guard.stop()
	response, err := c.submit(ctx, m, string(request.Attempt))
	if err != nil {
		return guard.explain(err)
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{codec: c.codec, guard: guard, emit: emit}
	err = guard.explain(a.read(openai.NewEventReader(response.Body)))
	if err == nil {
		c.acknowledge.Store(a.acknowledged)
		guard.bound(drainBound)
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
	}
	return err
}

// submit sends a request to generate. It uses a kept connection only for an
// engine that acknowledges requests by a comment before it works on them, since
// the wait for the first token of a long prompt looks like a silent connection.
//
// A kept connection without an answer says nothing of the request, which may
// have crashed the engine or run in it. It is sent again only if the engine still
// is the run that reported before, and after the first copy was cancelled, so
// that one copy runs and one crash is not made two.
func (c *Client) submit(ctx context.Context, m Message, owner string) (*http.Response, error) {
	started := c.started.Load()
	if started == nil || !c.acknowledge.Load() {
		return c.send(ctx, c.sender, m)
	}
	response, err := c.send(ctx, c.kept, m)
	if !errorx.IsOfType(err, once.ErrStale) {
		return response, err
	}
	report, failure := c.Report(ctx)
	if failure != nil || report.RunID != *started {
		return nil, err
	}
	if c.Cancel(ctx, owner) != nil {
		return nil, err
	}
	response, failure = c.send(ctx, c.sender, m)
	if errorx.IsOfType(failure, oleanderspool.ErrNotSent) {
		return nil, err // the first copy may have been received
	}
	return response, failure
}

// answer reads the parts of one answer.
type answer struct {
	codec     Codec
	guard     *silenceGuard
	emit      func(text string, tokens int, finish string)
	generated int
	finish    string
	// acknowledged says that the answer began with a comment.
	acknowledged bool
}

// read passes on the parts up to the end mark.
func (a *answer) read(events *openai.EventReader) error {
	for first := true; ; first = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return oleanderspool.ErrUncertain.Wrap(err, "answer has no end mark")
		}
		a.guard.progress()
		if event.Comment {
			a.acknowledged = a.acknowledged || first
			continue
		}
		if event.Done() {
			return a.end()
		}
		if err := a.part(event.Data); err != nil {
			return err
		}
	}
}

func (a *answer) part(data []byte) error {
	chunk, err := a.codec.DecodeChunk(data)
	if err != nil {
		return oleanderspool.ErrUncertain.Wrap(err, "answer is broken")
	}
	if chunk.Finish != "" {
		a.finish = chunk.Finish
	}
	if tokens := a.count(chunk); chunk.Text != "" || tokens > 0 {
		a.emit(chunk.Text, tokens, "")
	}
	return nil
}

// count returns the tokens in a chunk. An engine that does not state how many it
// has generated sends one token in each chunk.
func (a *answer) count(chunk openai.Chunk) int {
	switch {
	case chunk.Generated > a.generated:
		tokens := chunk.Generated - a.generated
		a.generated = chunk.Generated
		return tokens
	case chunk.Generated == 0 && chunk.Text != "":
		a.generated++
		return 1
	default:
		return 0
	}
}

func (a *answer) end() error {
	if a.finish == "" {
		return oleanderspool.ErrUncertain.New("answer ended without a finish reason")
	}
	a.emit("", 0, a.finish)
	return nil
}

// silenceGuard cancels a context when no part arrives in time.
type silenceGuard struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence time.Duration
	timer   *time.Timer // nil until there is a bound
}

// guardSilence returns a context that ends after first milliseconds without a
// part, or silence milliseconds after the last part. A bound of 0 is none.
func guardSilence(ctx context.Context, first, silence oleanderspool.Millis) (context.Context, *silenceGuard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &silenceGuard{ctx: ctx, cancel: cancel, silence: silence.Duration()}
	if first > 0 {
		g.timer = time.AfterFunc(first.Duration(), g.expire)
	}
	return ctx, g
}

func (g *silenceGuard) expire() {
	g.cancel(errSilent)
}

// progress restarts the bound after a part.
func (g *silenceGuard) progress() {
	switch {
	case g.silence <= 0 && g.timer != nil:
		g.timer.Stop()
	case g.silence > 0:
		g.bound(g.silence)
	}
}

// bound replaces the bound by a span from now on.
func (g *silenceGuard) bound(span time.Duration) {
	if g.timer == nil {
		g.timer = time.AfterFunc(span, g.expire)
		return
	}
	g.timer.Reset(span)
}

func (g *silenceGuard) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.cancel(nil)
}

// explain adds the cause to an error that the guard has brought about. The type
// of the error stays.
func (g *silenceGuard) explain(err error) error {
	if err != nil && errors.Is(context.Cause(g.ctx), errSilent) {
		return errorx.Decorate(err, "%s", errSilent.Error())
	}
	return err
}
