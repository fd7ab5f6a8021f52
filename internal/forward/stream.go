package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

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
	lastAt      oleanderspool.Millis // instant of the last event
	maxPause    oleanderspool.Millis // longest pause between two events
	contentType string               // of the answer that the caller receives
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
		t.gateway.logger.Info("answered", "request_id", t.call.ID, "instance", a.Server.Instance, "events", t.events,
			"first_ms", int64(out.firstAt-t.receivedAt), "predicted_ms", int64(a.TTFT), "max_pause_ms", int64(out.maxPause), "helpers", len(a.Helpers),
			"age_ms", int64(t.gateway.clock.Now()-t.receivedAt), "sends", t.sends)
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

// copyEvents passes the events of an answer on as they arrive, each as a
// whole. It returns nil after the end of a complete answer.
func (o *streamOutput) copyEvents(a *attempt) error {
	reader := bufio.NewReaderSize(a.exchange, 4<<10)
	event := buffer.New(o.transaction.gateway.buffers)
	defer event.Reset()
	id := ""
	for {
		line, err := reader.ReadSlice('\n')
		if event.Len()+len(line) > maxEvent {
			return oleanderspool.ErrInvalid.New("an event of the stream exceeds %d bytes", maxEvent)
		}
		if _, exhausted := event.Write(line); exhausted != nil {
			o.transaction.recordExhausted("event", exhausted)
			return exhausted
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF:
			return o.checkEnd(event.Bytes())
		case err != nil:
			return err
		}
		if value, found := o.transaction.gateway.format.EventID(bytes.TrimRight(line, "\r\n")); found {
			id = value
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if err := o.writeEvent(a, event.Bytes()); err != nil {
			return err
		}
		if id != "" {
			o.transaction.lastEvent = id
		}
		event.Reset()
	}
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

// recordEvent counts an event that has arrived, and the pause before it.
func (o *streamOutput) recordEvent() {
	now := o.transaction.gateway.clock.Now()
	if o.transaction.events > 0 {
		o.maxPause = max(o.maxPause, now-o.lastAt)
	}
	o.transaction.events++
	o.lastAt = now
}

func (o *streamOutput) writeEvent(a *attempt, event []byte) error {
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
	if err := o.controller.Flush(); err != nil {
		return errCallerClosed
	}
	return nil
}
