package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
)

// maxEvent bounds the size of an event of a stream in bytes.
const maxEvent = 1 << 20

// streamOutput writes the events of a stream to the caller, over all attempts.
type streamOutput struct {
	transaction *transaction
	w           *callerAnswer
	controller  *http.ResponseController
	firstAt     oleanderspool.Millis
	lastAt      oleanderspool.Millis // instant of the last event, or the first of several that arrived together
	maxPause    oleanderspool.Millis // longest pause between two events
	contentType string               // of the answer that the caller receives
	pending     bool                 // the last event was not flushed, since the next one has arrived too
}

// errCallerClosed means that the caller closed its connection.
var errCallerClosed = errors.New("the caller closed the connection")

// runStream answers a request with a stream of events. A resumable stream that
// is interrupted continues from another server within the same answer.
func (t *transaction) runStream(w *callerAnswer) *oleanderspool.Refusal {
	t.lastEvent = t.call.LastEventID
	out := &streamOutput{transaction: t, w: w, controller: http.NewResponseController(w)}
	for {
		a, found := t.try(t.ctx)
		if !found {
			return out.refuseOrBreakOff(t.unplacedRefusal(a))
		}
		done := t.deliverStream(out, &a)
		t.close(a)
		if done {
			return nil
		}
		if a.outcome != retryable && !t.claimRetry(a) {
			return out.refuseOrBreakOff(t.failureRefusal())
		}
		t.gateway.metrics.Retried(oleanderspool.RetryEngineDied)
	}
}

// refuseOrBreakOff returns the refusal if the caller has no part of an answer yet, and
// nil to break off the answer otherwise.
func (o *streamOutput) refuseOrBreakOff(r *oleanderspool.Refusal) *oleanderspool.Refusal {
	if !o.transaction.committed {
		return r
	}
	o.w.breakOff()
	if o.transaction.callerClosed() {
		o.transaction.logCallerClosed(context.Canceled)
		return nil
	}
	const message = "stream to the caller aborted"
	if !o.transaction.gateway.lines.Allow(message) {
		return nil
	}
	o.transaction.gateway.logger.Warn(message, "request_id", o.transaction.call.ID, "events", o.transaction.events, "last_event", o.transaction.lastEvent,
		"reason", string(r.Reason), "sends", o.transaction.sends, "age_ms", int64(o.transaction.gateway.clock.Now()-o.transaction.receivedAt))
	return nil
}

// deliverStream passes the events of an attempt on. It reports whether no other attempt
// may follow.
func (t *transaction) deliverStream(out *streamOutput, a *attempt) bool {
	if a.outcome != answered {
		return false
	}
	answer := a.exchange.Answer
	if answer.Status != http.StatusOK {
		if t.committed {
			a.outcome = broken
			return false
		}
		return t.deliverPlain(out.w, a)
	}
	if answer.Signature == "" || !out.continuedBy(a.exchange.Header) {
		a.outcome = broken
		return false
	}
	err := out.copyEvents(a)
	switch {
	case err == nil:
		out.w.finish()
		t.gateway.shared.recordAnswer(t.subject, a.Server.Instance)
		t.gateway.logger.LogAttrs(t.ctx, slog.LevelInfo, "answered", slog.String("request_id", string(t.call.ID)), slog.String("instance", string(a.Server.Instance)),
			slog.Int("events", t.events), slog.Int64("first_ms", int64(out.firstAt-t.receivedAt)), slog.Int64("predicted_ms", int64(a.TTFT)),
			slog.Int64("max_pause_ms", int64(out.maxPause)), slog.Int("helpers", len(a.Helpers)),
			slog.Int64("age_ms", int64(t.gateway.clock.Now()-t.receivedAt)), slog.Int("sends", t.sends))
		return true
	case errors.Is(err, errCallerClosed):
		t.logCallerClosed(err)
		out.w.breakOff()
		return true
	}
	a.outcome = broken
	if t.ctx.Err() == nil {
		t.gateway.logger.Warn("stream from the backend server interrupted", "request_id", t.call.ID, "instance", a.Server.Instance, "events", t.events,
			"last_event", t.lastEvent, "error", err.Error())
		t.gateway.shared.recordFailure(a.Server.Instance)
		t.gateway.shared.recordLinkFailure(a.assignment)
		t.checkForCrash(*a)
	}
	return false
}

// continuedBy reports whether an answer may continue the stream: it has the media type
// of the part that the caller has, unless one of them states none.
func (o *streamOutput) continuedBy(header http.Header) bool {
	contentType := header.Get("Content-Type")
	return contentType == "" || o.contentType == "" || contentType == o.contentType
}

// eventReaders holds the readers of streams that have ended. One of them is a quarter of
// what a stream allocates.
var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// copyEvents passes the events of an answer on as they arrive, each as a
// whole. It returns nil after the end of a complete answer.
func (o *streamOutput) copyEvents(a *attempt) error {
	reader := eventReaders.Get().(*bufio.Reader)
	reader.Reset(a.exchange)
	defer func() {
		reader.Reset(nil)
		eventReaders.Put(reader)
	}()
	event := buffer.New(o.transaction.gateway.buffers)
	defer event.Reset()
	defer o.flushPending()
	var id, written []byte
	lineStart := 0 // of the line that is being read, in the event
	defer func() {
		if len(written) > 0 {
			o.transaction.lastEvent = string(written)
		}
	}()
	for {
		part, err := reader.ReadSlice('\n')
		if event.Len()+len(part) > maxEvent {
			return oleanderspool.ErrInvalid.New("an event of the stream exceeds %d bytes", maxEvent)
		}
		if _, exhausted := event.Write(part); exhausted != nil {
			o.transaction.recordExhausted("event", exhausted)
			return exhausted
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line is longer than the reader's buffer
		case err == io.EOF:
			return o.checkEnd(event.Bytes())
		case err != nil:
			return err
		}
		content := bytes.TrimRight(event.Bytes()[lineStart:], "\r\n")
		lineStart = event.Len()
		if value, found := o.transaction.gateway.format.EventID(content); found {
			id = append(id[:0], value...)
		}
		if len(content) > 0 {
			continue
		}
		if err := o.writeEvent(a, event.Bytes(), eventBuffered(reader)); err != nil {
			return err
		}
		if len(id) > 0 {
			written = append(written[:0], id...)
		}
		event.Reset()
		lineStart = 0
	}
}

// eventBuffered reports whether a whole event can be read without waiting, when all
// before it has been read.
func eventBuffered(reader *bufio.Reader) bool {
	rest, _ := reader.Peek(reader.Buffered()) // what is buffered can always be read
	return bytes.Contains(rest, []byte("\n\n")) || bytes.Contains(rest, []byte("\n\r\n"))
}

// checkEnd returns an error if the answer ended within an event, to which the
// remaining bytes belong, or before the caller received any event.
func (o *streamOutput) checkEnd(rest []byte) error {
	if len(rest) > 0 {
		return io.ErrUnexpectedEOF
	}
	if !o.transaction.committed {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// recordEvent counts an event that has arrived, and the pause before it. There is none
// between events that arrived together.
func (o *streamOutput) recordEvent() {
	o.transaction.events++
	if o.pending {
		return
	}
	now := o.transaction.gateway.clock.Now()
	if o.transaction.events > 1 {
		o.maxPause = max(o.maxPause, now-o.lastAt)
	}
	o.lastAt = now
}

// flushPending flushes events that were written and not flushed.
func (o *streamOutput) flushPending() {
	if o.pending {
		_ = o.controller.Flush() // the attempt has failed already
	}
	o.pending = false
}

// writeEvent writes an event to the caller. If more says that another one follows at
// once, it is flushed with that one: a late entry, which receives several events
// together, then sends them together.
func (o *streamOutput) writeEvent(a *attempt, event []byte, more bool) error {
	if !o.transaction.committed {
		o.transaction.copyHeader(o.w, a.exchange.Header)
		o.w.WriteHeader(a.exchange.Answer.Status)
		o.transaction.committed, o.contentType = true, a.exchange.Header.Get("Content-Type")
		o.firstAt = o.transaction.gateway.clock.Now()
		o.transaction.gateway.metrics.ObserveFirstToken(int(o.transaction.call.PromptTokens), o.firstAt-o.transaction.receivedAt)
		o.transaction.gateway.metrics.ObservePredictionError(int(o.transaction.call.PromptTokens), a.TTFT, o.firstAt-a.placedAt)
	}
	if !a.decoding {
		a.decoding, a.firstEventAt = true, o.transaction.gateway.clock.Now()
		if a.memory != nil {
			a.memory.markUsed()
		}
		o.transaction.gateway.shared.recordFirstToken(a.assignment)
		o.transaction.gateway.shared.recordFirstByte(a.assignment, o.transaction.route.TTFTGoal)
	}
	o.recordEvent()
	a.received += int64(len(event))
	if _, err := o.w.Write(event); err != nil {
		return errCallerClosed
	}
	if o.pending = more; more {
		return nil
	}
	if err := o.controller.Flush(); err != nil {
		return errCallerClosed
	}
	return nil
}
