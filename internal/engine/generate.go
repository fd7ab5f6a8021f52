package engine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
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
	if request.Remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Remaining.Duration())
		defer cancel()
	}
	ctx, guard := guardSilence(ctx, c.firstPart, c.silence)
	defer guard.stop()
	response, err := c.send(ctx, m)
	if err != nil {
		return guard.explain(err)
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{codec: c.codec, guard: guard, emit: emit}
	return guard.explain(a.read(openai.NewEventReader(response.Body)))
}

// answer reads the parts of one answer.
type answer struct {
	codec     Codec
	guard     *silenceGuard
	emit      func(text string, tokens int, finish string)
	generated int
	finish    string
}

// read passes on the parts up to the end mark.
func (a *answer) read(events *openai.EventReader) error {
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return oleanderspool.ErrUncertain.Wrap(err, "answer has no end mark")
		}
		a.guard.progress()
		if event.Comment {
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
	case g.silence <= 0:
	case g.timer == nil:
		g.timer = time.AfterFunc(g.silence, g.expire)
	default:
		g.timer.Reset(g.silence)
	}
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
