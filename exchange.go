package oleanderspool

import "net/http"

// CallHeader is what an entry reads from the header of a forwarded request.
type CallHeader struct {
	ID               RequestID
	Deadline         Millis // span for which the caller waits; 0 when it does not say
	IdempotencyKey   string // empty without a key
	PromptTokens     int64  // 0 for a call of a plain service
	MaxAnswerTokens  int64  // most tokens of the answer
	AnswerTokensHint int64  // the caller's estimate of the answer's tokens; 0 when it gives none
	LastEventID      string // the event after which a stream goes on; empty for the whole
}

// ForwardHeader is what an entry says in the header of a request to a backend
// server.
type ForwardHeader struct {
	Instance    InstanceID // the only backend server that may run the request
	Account     string     // name of the client account; empty without one
	Remaining   Millis     // span until the answer is due
	Priority    int        // 0 to 9, 0 first; -1 for the backend server's default
	Helpers     []Helper   // backend servers that read the prompt too
	LastEventID string     // the event after which the stream goes on
}

// Helper is a backend server that reads a part of a prompt for another one.
type Helper struct {
	Address     string // IP number and port
	Reservation string // memory that holds its part; empty for none
}

// AnswerHeader is what an entry reads from the header of a backend server's answer.
type AnswerHeader struct {
	Status    int
	ID        RequestID // the request that the answer belongs to; empty when it does not say
	Signature string    // mark of the backend server; empty for an unsigned answer
	// NotRun says that the backend server did not run the request and never will.
	NotRun bool
	// FaultyServer is the backend server that the answer blames; empty for the sender.
	FaultyServer string
}

// ExchangeFormat maps the headers of forwarded requests and their answers.
type ExchangeFormat interface {
	// DecodeCallHeader reads the header of a caller's request.
	DecodeCallHeader(header http.Header) CallHeader
	// EncodeForwardHeader returns the header of a request to a backend server, made
	// from the caller's header.
	EncodeForwardHeader(header http.Header, f ForwardHeader) http.Header
	// DecodeAnswerHeader reads the header of a backend server's answer.
	DecodeAnswerHeader(status int, header http.Header) AnswerHeader
	// EncodeAnswerHeader returns the header for the caller of a backend server's answer.
	EncodeAnswerHeader(header http.Header) http.Header
	// EncodeRefusalHeader returns the header of an answer that the entry gives itself.
	// retryAfter is 0 when the caller should not come back.
	EncodeRefusalHeader(id RequestID, retryAfter Millis) http.Header
	// EventID returns the id that a line of an event stream gives its event.
	EventID(line []byte) (id string, found bool)
	// ReserveOrder and ReleaseOrder return orders for memory of a backend server.
	// The lease of a reservation begins when it arrives; the same ID renews it.
	ReserveOrder(instance InstanceID, id string, tokens int64, lease Millis) MemoryOrder
	ReleaseOrder(instance InstanceID, id string) MemoryOrder
}

// MemoryOrder is an order to a backend server in the form in which it is sent.
type MemoryOrder struct {
	Path   string
	Header http.Header
	Body   []byte
}
