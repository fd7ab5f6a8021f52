package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/oleanderspool/oleanderspool"
)

// maxEvent bounds an event of a stream in bytes.
const maxEvent = 1 << 20

// relay is the caller's side of a stream.
type relay struct {
	t       *ticket
	w       http.ResponseWriter
	flush   *http.ResponseController
	events  int
	firstAt oleanderspool.Millis
}

// errCallerLeft says that the caller no longer reads.
var errCallerLeft = errors.New("the caller left")

// runStream answers a request with a stream of events. A resumable stream that
// breaks goes on at another server within the same answer.
func (t *ticket) runStream(w http.ResponseWriter) *oleanderspool.Refusal {
	t.lastEvent = t.call.LastEvent
	out := &relay{t: t, w: w, flush: http.NewResponseController(w)}
	for {
		a, found := t.try(t.ctx)
		if !found {
			return out.end(t.unplaced(a))
		}
		done := t.finishStream(out, &a)
		t.close(a)
		if done {
			return nil
		}
		if a.outcome != retryable && !t.again(a) {
			return out.end(t.failure())
		}
		t.g.metrics.Retried(oleanderspool.RetryEngineDied)
	}
}

// end gives a refusal back if the caller has no part of an answer yet. Else it
// breaks the answer off, so that it does not look complete.
func (o *relay) end(r *oleanderspool.Refusal) *oleanderspool.Refusal {
	if !o.t.committed {
		return r
	}
	o.t.g.logger.Warn("stream broken off", "request_id", o.t.call.ID, "events", o.events, "last_event", o.t.lastEvent,
		"reason", string(r.Reason), "sends", o.t.sends, "age_ms", int64(o.t.g.clock.Now()-o.t.receivedAt))
	panic(http.ErrAbortHandler)
}

// finishStream passes the events of an attempt on. It reports whether the
// request has its final answer.
func (t *ticket) finishStream(out *relay, a *attempt) bool {
	if a.outcome != answered {
		return false
	}
	answer := a.exchange.Answer
	if answer.Status != http.StatusOK {
		if t.committed {
			a.outcome = broken
			return false
		}
		return t.finishPlain(out.w, a)
	}
	if answer.Signature == "" {
		a.outcome = broken
		return false
	}
	err := out.copy(a)
	switch {
	case err == nil:
		t.g.shared.answered(t.fingerprint, a.Server.Instance)
		t.g.logger.Info("answered", "request_id", t.call.ID, "instance", a.Server.Instance, "events", out.events,
			"first_ms", int64(out.firstAt-t.receivedAt), "predicted_ms", int64(a.TTFT), "helpers", len(a.Helpers),
			"age_ms", int64(t.g.clock.Now()-t.receivedAt), "sends", t.sends)
		return true
	case errors.Is(err, errCallerLeft) || t.request.Context().Err() != nil:
		t.g.logger.Info("caller left", "request_id", t.call.ID, "events", out.events, "age_ms", int64(t.g.clock.Now()-t.receivedAt))
		return true
	}
	a.outcome = broken
	if t.ctx.Err() == nil {
		t.g.logger.Warn("stream broken", "request_id", t.call.ID, "instance", a.Server.Instance, "events", out.events,
			"last_event", t.lastEvent, "error", err.Error())
		t.g.shared.avoid(a.Server.Instance)
		t.suspect(a.Server)
	}
	return false
}

// copy passes the events of an answer on as they arrive, each as a whole. It
// returns nil after the end of a complete answer.
func (o *relay) copy(a *attempt) error {
	reader := bufio.NewReaderSize(a.exchange, 4<<10)
	var event []byte
	id := ""
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF:
			return o.finish(event)
		case err != nil:
			return err
		}
		if len(event) > maxEvent {
			return oleanderspool.ErrInvalid.New("an event exceeds %d bytes", maxEvent)
		}
		if value, found := o.t.g.format.EventID(bytes.TrimRight(line, "\r\n")); found {
			id = value
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if err := o.send(a, event); err != nil {
			return err
		}
		if id != "" {
			o.t.lastEvent = id
		}
		event = event[:0]
	}
}

// finish ends a complete answer. Bytes after the last whole event belong to an
// event that was cut off.
func (o *relay) finish(rest []byte) error {
	if len(rest) > 0 {
		return io.ErrUnexpectedEOF
	}
	if !o.t.committed {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func (o *relay) send(a *attempt, event []byte) error {
	if !o.t.committed {
		o.t.copyHeader(o.w, a.exchange.Header)
		o.w.WriteHeader(a.exchange.Answer.Status)
		o.t.committed = true
		o.firstAt = o.t.g.clock.Now()
		o.t.g.metrics.FirstToken(int(o.t.call.PromptTokens), o.firstAt-o.t.receivedAt)
		o.t.g.metrics.Predicted(int(o.t.call.PromptTokens), a.TTFT, o.firstAt-a.placedAt)
	}
	if !a.writing {
		a.writing = true
		if a.memory != nil {
			a.memory.begin()
		}
		o.t.g.shared.write(a.placed)
	}
	o.events++
	if _, err := o.w.Write(event); err != nil {
		return errCallerLeft
	}
	if err := o.flush.Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}
