package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

const (
	// attemptTimeoutGoals is the timeout of an attempt at an idempotent
	// request, as a multiple of the route's goal. After it the request is sent
	// to another server.
	attemptTimeoutGoals = 4
	// minAttemptTimeout is the lower bound of that timeout.
	minAttemptTimeout = 400 * oleanderspool.Millis(1)
	// maxBuffered bounds the part of an answer, in bytes, that is read before
	// any of it is passed on. A longer answer, or one for which no memory is left,
	// is passed on from then on, and the answer of another server can no longer
	// replace it.
	maxBuffered = 1 << 20
)

// runPlain answers a request for a plain service.
func (t *transaction) runPlain(w *callerAnswer) *oleanderspool.Refusal {
	for {
		ctx, timeout := t.withAttemptTimeout()
		a, found := t.try(ctx)
		if !found {
			timeout.cancel()
			return t.unplacedRefusal(a)
		}
		a.timeout = timeout
		done := t.deliverPlain(w, &a)
		t.close(a)
		timeout.cancel()
		if done {
			return nil
		}
		if a.outcome != retryable && !t.claimRetry(a) {
			return t.failureRefusal()
		}
		t.gateway.metrics.Retried(oleanderspool.RetryEngineDied)
	}
}

// attemptTimeout ends an attempt while another server can still take the
// request.
type attemptTimeout struct {
	cancel context.CancelFunc
	timer  *time.Timer // nil when only the deadline of the request applies
}

// withAttemptTimeout returns the context of an attempt and its timeout.
func (t *transaction) withAttemptTimeout() (context.Context, attemptTimeout) {
	ctx, cancel := context.WithCancel(t.ctx)
	timeout := attemptTimeout{cancel: cancel}
	if t.route.Kind == directory.KindIdempotent && t.sends+1 < t.route.Attempts {
		timeout.timer = time.AfterFunc(max(minAttemptTimeout, attemptTimeoutGoals*t.route.TTFTGoal).Duration(), cancel)
	}
	return ctx, timeout
}

// stop removes the timeout before the caller gets a part of the answer. It
// reports false when the timeout has already ended the attempt.
func (at attemptTimeout) stop() bool {
	return at.timer == nil || at.timer.Stop()
}

// deliverPlain passes the answer on to the caller. It reports false when the
// request has no final answer yet; the attempt's outcome then says why.
func (t *transaction) deliverPlain(w *callerAnswer, a *attempt) bool {
	if a.outcome != answered {
		return false
	}
	body := buffer.New(t.gateway.buffers)
	defer body.Reset()
	complete, err := body.ReadUpTo(a.exchange, maxBuffered)
	a.received = int64(body.Len())
	if errorx.IsOfType(err, buffer.ErrExhausted) {
		t.recordExhausted("answer", err)
		err = nil
	}
	if err != nil {
		a.outcome = broken
		t.recordIncomplete(a, body.Len(), err)
		return false
	}
	answer := a.exchange.Answer
	if answer.Status >= http.StatusInternalServerError {
		t.gateway.logger.Info("backend server returned a server error", "request_id", t.call.ID, "instance", a.Server.Instance, "status", answer.Status)
		if t.claimRetry(*a) {
			a.outcome = retryable
			return false
		}
	}
	if !t.deliverable(answer) {
		a.outcome = broken
		return false
	}
	t.gateway.shared.recordAnswer(t.answeredSubject(answer.Status), a.Server.Instance)
	t.gateway.shared.recordFirstByte(a.assignment, t.route.TTFTGoal)
	if complete {
		t.writeAnswer(w, a, body.Bytes())
		return true
	}
	if !a.timeout.stop() {
		a.outcome = broken
		return false
	}
	t.streamAnswer(w, a, body.Bytes())
	return true
}

// answeredSubject returns what an answer clears of suspicion. A failure does not show
// that a server can answer a prompt with these parts.
func (t *transaction) answeredSubject(status int) quarantine.Subject {
	if status == http.StatusOK {
		return t.subject
	}
	return quarantine.Subject{Request: t.subject.Request}
}

// recordIncomplete logs an answer whose end is missing, and checks whether its
// server crashed.
func (t *transaction) recordIncomplete(a *attempt, size int, err error) {
	t.gateway.logger.Warn("answer incomplete", "request_id", t.call.ID, "instance", a.Server.Instance, "bytes", size, "error", err.Error())
	t.checkForCrash(*a)
}

// deliverable reports whether an answer may be passed to the caller. It must
// be signed, and it must not have a status that promises callers that the
// request did not run, since it may have run.
func (t *transaction) deliverable(a oleanderspool.AnswerHeader) bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return a.Signature != ""
}

// writeAnswer sends the caller a complete answer of a backend server.
func (t *transaction) writeAnswer(w *callerAnswer, a *attempt, body []byte) {
	t.copyHeader(w, a.exchange.Header)
	if length, stated := a.exchange.ContentLength(); t.request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if stated {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.exchange.Answer.Status)
	if _, err := w.Write(body); err != nil {
		t.logCallerClosed(err)
		w.breakOff()
		return
	}
	w.finish()
	t.logAnswered(a, len(body))
}

// streamAnswer sends the caller the start of an answer and then the rest as it
// arrives.
func (t *transaction) streamAnswer(w *callerAnswer, a *attempt, start []byte) {
	t.copyHeader(w, a.exchange.Header)
	if length, stated := a.exchange.ContentLength(); stated {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.exchange.Answer.Status)
	w.breakOff() // unless the rest arrives
	if _, err := w.Write(start); err != nil {
		t.logCallerClosed(err)
		return
	}
	rest, err := io.Copy(w, a.exchange)
	size := len(start) + int(rest)
	a.received = int64(size)
	switch {
	case err == nil:
		w.finish()
		t.logAnswered(a, size)
	case t.request.Context().Err() != nil:
		t.logCallerClosed(err)
	default:
		t.recordIncomplete(a, size, err)
	}
}

func (t *transaction) logCallerClosed(err error) {
	const message = "caller closed the connection"
	if !t.gateway.lines.Allow(message) {
		return
	}
	t.gateway.logger.Info(message, "request_id", t.call.ID, "error", err.Error(), "events", t.events,
		"age_ms", int64(t.gateway.clock.Now()-t.receivedAt), "sends", t.sends)
}

func (t *transaction) logAnswered(a *attempt, size int) {
	t.gateway.logger.LogAttrs(t.ctx, slog.LevelInfo, "answered", slog.String("request_id", string(t.call.ID)), slog.String("instance", string(a.Server.Instance)),
		slog.Int("status", a.exchange.Answer.Status), slog.Int("bytes", size),
		slog.Int64("age_ms", int64(t.gateway.clock.Now()-t.receivedAt)), slog.Int("sends", t.sends))
}

func (t *transaction) copyHeader(w *callerAnswer, header http.Header) {
	for name, values := range t.gateway.format.EncodeAnswerHeader(header) {
		w.Header()[name] = values
	}
	if _, found := w.Header()["Content-Type"]; !found {
		w.Header()["Content-Type"] = nil // keeps the library from guessing one
	}
}
