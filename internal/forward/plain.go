package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

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
		ctx, cancel := t.attemptContext()
		a, found := t.try(ctx)
		if !found {
			cancel()
			return t.unplaced(a)
		}
		done := t.finishPlain(w, &a)
		t.close(a)
		cancel()
		if done {
			return nil
		}
		if a.outcome != retryable && !t.again(a) {
			return t.failure()
		}
		t.g.metrics.Retried(oleanderspool.RetryEngineDied)
	}
}

// attemptContext bounds an attempt that another server can take over.
func (t *ticket) attemptContext() (context.Context, context.CancelFunc) {
	if t.route.Kind == directory.KindIdempotent && t.sends+1 < t.route.Attempts {
		return context.WithTimeout(t.ctx, max(hedgeMin, hedgeGoals*t.route.Goal).Duration())
	}
	return context.WithCancel(t.ctx)
}

// finishPlain passes a complete answer on. It reports false when the request has
// no final answer yet, and then sets the outcome.
func (t *ticket) finishPlain(w http.ResponseWriter, a *attempt) bool {
	if a.outcome != answered {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxBuffered))
	if err != nil {
		a.outcome = broken
		t.g.logger.Warn("answer incomplete", "request_id", t.call.ID, "instance", a.Server.Instance, "bytes", len(body), "error", err.Error())
		t.suspect(a.Server)
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
	t.g.shared.clear(t.fingerprint)
	t.g.shared.forgive(a.Server.Instance)
	t.pass(w, a, body)
	return true
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

// pass gives the caller an answer of a backend server.
func (t *ticket) pass(w http.ResponseWriter, a *attempt, body []byte) {
	t.copyHeader(w, a.exchange.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.exchange.Answer.Status)
	if _, err := io.Copy(w, bytes.NewReader(body)); err != nil {
		t.g.logger.Info("caller left", "request_id", t.call.ID, "error", err.Error())
	}
	t.g.logger.Info("answered", "request_id", t.call.ID, "instance", a.Server.Instance, "status", a.exchange.Answer.Status,
		"age_ms", int64(t.g.clock.Now()-t.receivedAt), "sends", t.sends)
}

func (t *ticket) copyHeader(w http.ResponseWriter, header http.Header) {
	for name, values := range t.g.format.EncodeAnswer(header) {
		w.Header()[name] = values
	}
	if _, found := w.Header()["Content-Type"]; !found {
		w.Header()["Content-Type"] = nil // keeps the library from guessing one
	}
}
