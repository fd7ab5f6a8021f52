package engine

// maxHistory is the maximum number of ended requests kept in the history.
const maxHistory = 10000

// Outcomes of a request other than finish reasons and failure messages.
const (
	OutcomeRunning = "running"
	OutcomeCrashed = "crashed"
)

// Request is the history record of a request that the engine has accepted.
type Request struct {
	ID           string
	Model        string // with adapter, as the request names it
	PromptTokens int64
	CachedTokens int64
	Prefilled    int64 // tokens
	Generated    int
	Outcome      string
}

// history records the requests that the engine has accepted. Prompts are dropped
// once the requests have ended.
type history struct {
	ended   []Request
	started []*sequence
}

func (h *history) add(q *sequence) {
	h.archiveEnded()
	h.started = append(h.started, q)
}

// archiveEnded replaces ended requests by records without prompts, in order of
// arrival, up to the first request that has not ended.
func (h *history) archiveEnded() {
	n := 0
	for n < len(h.started) && h.started[n].ended() {
		h.ended = append(h.ended, summarize(h.started[n]))
		n++
	}
	h.started = h.started[n:]
	if len(h.ended) > maxHistory {
		h.ended = h.ended[len(h.ended)-maxHistory:]
	}
}

func (h *history) list() []Request {
	h.archiveEnded()
	requests := append([]Request(nil), h.ended...)
	for _, q := range h.started {
		requests = append(requests, summarize(q))
	}
	return requests
}

func summarize(q *sequence) Request {
	r := Request{
		ID: q.owner, Model: q.model, PromptTokens: countTokens(q.prompt),
		CachedTokens: q.cachedTokens, Prefilled: q.prefilledTokens, Generated: q.generated, Outcome: OutcomeRunning,
	}
	switch {
	case q.crashed:
		r.Outcome = OutcomeCrashed
	case q.failure != "":
		r.Outcome = q.failure
	case q.finishReason != "":
		r.Outcome = q.finishReason
	}
	return r
}
