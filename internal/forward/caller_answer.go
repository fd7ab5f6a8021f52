package forward

import "net/http"

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
