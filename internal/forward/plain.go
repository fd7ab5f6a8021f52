package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
)

const (
	// hedgeGoals is the number of goals after which an idempotent request is sent
	// to another server.
	hedgeGoals = 4
	// hedgeMin is the shortest span of that kind.
	hedgeMin = 400 * oleanderspool.Millis(1)
	// maxBuffered bounds the answer that is read before any of it is passed on, in
	// bytes. A longer one can no longer be replaced by that of another server.
	maxBuffered = 4 << 20
)

// runPlain answers a request for a plain service.
func (t *ticket) runPlain(w http.ResponseWriter) *oleanderspool.Refusal {
	for {
		ctx, limit := t.limitAttempt()
		a, found := t.try(ctx)
		if !found {
			limit.cancel()
			return t.unplaced(a)
		}
		a.limit = limit
		done := t.finishPlain(w, &a)
		t.close(a)
		limit.cancel()
		if done {
			return nil
		}
		if a.outcome != retryable && !t.again(a) {
			return t.failure()
		}
		t.g.metrics.Retried(oleanderspool.RetryEngineDied)
	}
}

// attemptLimit ends an attempt that another server can take over.
type attemptLimit struct {
	cancel context.CancelFunc
	timer  *time.Timer // nil when only the request itself bounds the attempt
}

// limitAttempt returns the context of an attempt and its limit.
func (t *ticket) limitAttempt() (context.Context, attemptLimit) {
	ctx, cancel := context.WithCancel(t.ctx)
	limit := attemptLimit{cancel: cancel}
	if t.route.Kind == directory.KindIdempotent && t.sends+1 < t.route.Attempts {
		limit.timer = time.AfterFunc(max(hedgeMin, hedgeGoals*t.route.TTFTGoal).Duration(), cancel)
	}
	return ctx, limit
}

// lift removes the limit before the caller gets a part of the answer. It reports
// false when the attempt has been ended already.
func (l attemptLimit) lift() bool {
	return l.timer == nil || l.timer.Stop()
}

// finishPlain passes a complete answer on. It reports false when the request has
// no final answer yet, and then sets the outcome.
func (t *ticket) finishPlain(w http.ResponseWriter, a *attempt) bool {
	if a.outcome != answered {
		return false
	}
	body, complete, err := readStart(a.exchange)
	if err != nil {
		a.outcome = broken
		t.incomplete(a, len(body), err)
		return false
	}
	answer := a.exchange.Answer
	if answer.Status >= http.StatusInternalServerError {
		t.g.logger.Info("server error", "request_id", t.call.ID, "instance", a.Server.Instance, "status", answer.Status)
		if t.again(*a) {
			a.outcome = retryable
			return false
		}
	}
	if !t.passable(answer) {
		a.outcome = broken
		return false
	}
	t.g.shared.answered(t.fingerprint, a.Server.Instance)
	if complete {
		t.pass(w, a, body)
		return true
	}
	if !a.limit.lift() {
		a.outcome = broken
		return false
	}
	t.passOn(w, a, body)
	return true
}

// readStart reads an answer up to maxBuffered bytes and reports whether that is
// all of it.
func readStart(r io.Reader) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxBuffered))
	if err != nil || len(body) < maxBuffered {
		return body, err == nil, err
	}
	var next [1]byte
	n, err := io.ReadFull(r, next[:])
	if errors.Is(err, io.EOF) {
		return body, true, nil
	}
	return append(body, next[:n]...), false, err
}

// incomplete notes an answer whose end is missing.
func (t *ticket) incomplete(a *attempt, size int, err error) {
	t.g.logger.Warn("answer incomplete", "request_id", t.call.ID, "instance", a.Server.Instance, "bytes", size, "error", err.Error())
	t.suspect(a.Server)
}

// passable reports whether an answer may be given to the caller: a success is
// signed, and a status that promises "not run" does not come from a run.
func (t *ticket) passable(a oleanderspool.Answer) bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return a.Signature != ""
}

// pass gives the caller a whole answer of a backend server.
func (t *ticket) pass(w http.ResponseWriter, a *attempt, body []byte) {
	t.copyHeader(w, a.exchange.Header)
	if length, stated := a.exchange.Length(); t.request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if stated {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.exchange.Answer.Status)
	if _, err := w.Write(body); err != nil {
		t.left(err)
	}
	t.answered(a, len(body))
}

// passOn gives the caller the start of an answer and then the rest as it arrives.
// An answer whose end does not come is broken off, so that it does not look
// complete.
func (t *ticket) passOn(w http.ResponseWriter, a *attempt, start []byte) {
	t.copyHeader(w, a.exchange.Header)
	if length, stated := a.exchange.Length(); stated {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.exchange.Answer.Status)
	if _, err := w.Write(start); err != nil {
		t.left(err)
		return
	}
	rest, err := io.Copy(w, a.exchange)
	size := len(start) + int(rest)
	switch {
	case err == nil:
		t.answered(a, size)
	case t.request.Context().Err() != nil:
		t.left(err)
	default:
		t.incomplete(a, size, err)
		t.close(*a)
		panic(http.ErrAbortHandler)
	}
}

func (t *ticket) left(err error) {
	t.g.logger.Info("caller left", "request_id", t.call.ID, "error", err.Error())
}

func (t *ticket) answered(a *attempt, size int) {
	t.g.logger.Info("answered", "request_id", t.call.ID, "instance", a.Server.Instance, "status", a.exchange.Answer.Status,
		"bytes", size, "age_ms", int64(t.g.clock.Now()-t.receivedAt), "sends", t.sends)
}

func (t *ticket) copyHeader(w http.ResponseWriter, header http.Header) {
	for name, values := range t.g.format.EncodeAnswer(header) {
		w.Header()[name] = values
	}
	if _, found := w.Header()["Content-Type"]; !found {
		w.Header()["Content-Type"] = nil // keeps the library from guessing one
	}
}
