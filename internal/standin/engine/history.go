package engine

// maxHistory bounds the requests that are remembered.
const maxHistory = 10000

// Outcomes of a request besides the finish reasons and the messages of failures.
const (
	OutcomeRunning = "running"
	OutcomeCrashed = "crashed"
)

// Request is what the engine remembers of a request that it has taken.
type Request struct {
	ID           string
	Model        string // with adapter, as the request names it
	PromptTokens int64
	CachedTokens int64
	Prefilled    int64 // tokens
	Generated    int
	Outcome      string
}

// history remembers the requests that the engine has taken, without their
// prompts once they have ended.
type history struct {
	ended   []Request
	started []*sequence
}

func (h *history) add(q *sequence) {
	h.settle()
	h.started = append(h.started, q)
}

// settle moves requests that have ended to the list without prompts, in the
// order in which they were taken.
func (h *history) settle() {
	n := 0
	for n < len(h.started) && h.started[n].ended() {
		h.ended = append(h.ended, describe(h.started[n]))
		n++
	}
	h.started = h.started[n:]
	if len(h.ended) > maxHistory {
		h.ended = h.ended[len(h.ended)-maxHistory:]
	}
}

func (h *history) list() []Request {
	h.settle()
	requests := append([]Request(nil), h.ended...)
	for _, q := range h.started {
		requests = append(requests, describe(q))
	}
	return requests
}

func describe(q *sequence) Request {
	r := Request{
		ID: q.owner, Model: q.model, PromptTokens: countTokens(q.prompt),
		CachedTokens: q.cached, Prefilled: q.prefilled, Generated: q.generated, Outcome: OutcomeRunning,
	}
	switch {
	case q.crashed:
		r.Outcome = OutcomeCrashed
	case q.failure != "":
		r.Outcome = q.failure
	case q.finish != "":
		r.Outcome = q.finish
	}
	return r
}
