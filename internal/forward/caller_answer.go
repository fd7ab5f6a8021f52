package forward

import (
	"net/http"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// ownAnswerTimeout bounds the time in which a caller reads a refusal, or what is left
	// of an answer at the deadline of its request.
	ownAnswerTimeout = 5 * oleanderspool.Second
	// drainTimeout bounds the time in which the rest of the body of a refused request may
	// arrive, so that its connection can be reused.
	drainTimeout = oleanderspool.Second
)

// callerAnswer is the answer of a request to its caller. net/http completes an answer
// that a handler leaves unfinished, and the caller would take it for a success. So each
// request ends with finish or breakOff, and the entry closes the connection of a request
// that does not end with finish.
type callerAnswer struct {
	http.ResponseWriter
	state answerState
}

// answerState says how an answer has ended.
type answerState int

const (
	unfinished answerState = iota
	finished
	brokenOff
)

// Unwrap returns the underlying writer for [http.ResponseController].
func (a *callerAnswer) Unwrap() http.ResponseWriter {
	return a.ResponseWriter
}

// limitWrites sets the time in which the caller must read the answer, so that one that
// reads nothing does not hold the request's memory and server.
func (a *callerAnswer) limitWrites(timeout oleanderspool.Millis) {
	// Without a connection there is nothing to limit.
	_ = http.NewResponseController(a).SetWriteDeadline(time.Now().Add(max(0, timeout).Duration()))
}

// abandonBody limits what is still read of the body of a refused request. A body that is
// too large or too slow is not read on.
func (a *callerAnswer) abandonBody(reason oleanderspool.RefusalReason) {
	switch reason {
	case oleanderspool.RefusalBodyTooLarge, oleanderspool.RefusalSlowSender, oleanderspool.RefusalOverloaded:
		a.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(a).SetReadDeadline(time.Now().Add(drainTimeout.Duration())) // as in limitWrites
}

// finish marks the answer as whole, after all of it was written.
func (a *callerAnswer) finish() {
	a.state = finished
}

// breakOff marks the answer as one that stays incomplete.
func (a *callerAnswer) breakOff() {
	a.state = brokenOff
}

// endAnswer closes the connection of a caller whose answer is not whole.
func (g *Gateway) endAnswer(a *callerAnswer, t *transaction) {
	switch a.state {
	case finished:
		return
	case brokenOff:
		g.metrics.StateChanged("answer_broken_off")
	case unfinished:
		g.metrics.StateChanged("answer_missing")
		g.logger.Error("request ended without an answer", "request_id", t.call.ID, "route", t.route.Name, "sends", t.sends, "age_ms", int64(g.clock.Now()-t.receivedAt))
	}
	panic(http.ErrAbortHandler)
}
