package oleanderspool

// RequestKind tells what serves a request.
type RequestKind int

// The kinds of request.
const (
	// KindModel is a prompt for a model.
	KindModel RequestKind = iota
	// KindService is a call of a plain service.
	KindService
)

// Request is an admitted request of a caller. It is an immutable value: the
// With methods return changed copies.
type Request struct {
	ID            RequestID
	Account       ClientAccountID
	Kind          RequestKind
	Model         ModelID
	Adapter       AdapterID
	Route         RouteID
	Method        string // HTTP method of a service call
	Path          string // path of a service call, with the route and the query
	Idempotent    bool
	Key           IdempotencyKey // empty when the caller gave none
	Priority      int            // higher is served first
	Prompt        string         // prompt text of a model request
	GeneratedText string         // generated text that a later attempt continues from
	PromptTokens  int            // estimated prompt length in tokens
	MaxTokens     int            // upper bound of generated tokens
	Body          []byte         // body of a service call; not to be modified
	Deadline      Millis         // instant on the local clock by which the answer is due
	Fingerprint   Fingerprint
}

// WithDeadline returns a copy with the given deadline.
func (r Request) WithDeadline(deadline Millis) Request {
	r.Deadline = deadline
	return r
}

// WithGeneratedText returns a copy that continues from the given generated text.
func (r Request) WithGeneratedText(text string) Request {
	r.GeneratedText = text
	return r
}

// WithPriority returns a copy with the given priority.
func (r Request) WithPriority(priority int) Request {
	r.Priority = priority
	return r
}

// Remaining returns the span until the deadline, at least 0.
func (r Request) Remaining(now Millis) Millis {
	return max(0, r.Deadline-now)
}

// NeedsClaim reports whether the request may run only under a claim in the
// platform's log.
func (r Request) NeedsClaim() bool {
	return !r.Idempotent && r.Key != ""
}

// bytesPerToken is the mean length of a token in the texts of both users;
// engines count exactly, callers of the entry are admitted by this estimate.
const bytesPerToken = 4

// EstimateTokens returns the estimated length of text in tokens, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// Piece is a part of an answer. Pieces of an attempt are numbered from 1
// without gaps; the last one has Final set.
type Piece struct {
	Request  RequestID
	Attempt  AttemptID
	Sequence int64  // from 1
	Text     string // generated text, or the body of a service's answer
	Tokens   int    // generated tokens in Text
	Status   int    // HTTP status of a service's answer; 0 for models
	Type     string // content type of a service's answer
	Finish   string // why generation ended; set on the final piece
	Final    bool
}
