package oleanderspool

import "net/http"

// CallHeader is the content of the header of a caller's request.
type CallHeader struct {
	ID               RequestID
	Deadline         Millis // duration for which the caller waits; 0 when the header has none
	APIKey           string // empty when the caller sent none
	PromptTokens     int64  // 0 for a call of a plain service
	MaxAnswerTokens  int64  // limit of the answer's tokens
	AnswerTokensHint int64  // the caller's estimate of the answer's tokens; 0 when it gives none
	LastEventID      string // id of the event after which a stream resumes; empty for the whole stream
	// SharedParts are the parts of the prompt that other requests may have too, in
	// order: all but the last one.
	SharedParts []PromptPart
}

// ForwardHeader is the content that an entry adds to the header of a request to
// a backend server.
type ForwardHeader struct {
	Instance    InstanceID // the only backend server that may run the request
	Account     string     // name of the client account; empty without one
	Remaining   Millis     // time until the deadline of the answer
	Priority    int        // 0 to 9, 0 first; -1 for the backend server's default
	Helpers     []Helper   // backend servers that prefill other shards of the prompt
	LastEventID string     // id of the event after which the stream resumes
}

// Helper is a backend server that prefills a shard of a prompt for another one.
type Helper struct {
	Address     string // IP number and port
	Reservation string // id of the memory reservation for its shard; empty for none
}

// AnswerHeader is the content of the header of a backend server's answer.
type AnswerHeader struct {
	Status    int
	ID        RequestID // the request that the answer belongs to; empty when the header has none
	Signature string    // signature of the backend server; empty for an unsigned answer
	// NotRun reports that the backend server did not run the request and never
	// will.
	NotRun bool
	// FaultyServer is the backend server to which the answer attributes the
	// failure; empty for the sender of the answer.
	FaultyServer string
	// Leaving reports that the backend server is about to stop and wants no further
	// requests.
	Leaving bool
	// RetryAfter is the time for which a backend server that turned the request away
	// wants no requests from this entry; 0 for none.
	RetryAfter Millis
	// ColdRemaining is the time for which the backend server is still slow after its
	// start and tolerates fewer requests; 0 for none.
	ColdRemaining Millis
	// Invalid names the header fields that cannot be decoded and count as absent.
	Invalid []string
}

// ExchangeFormat encodes and decodes the headers of forwarded requests and their
// answers.
type ExchangeFormat interface {
	// DecodeCallHeader decodes the header of a caller's request.
	DecodeCallHeader(header http.Header) CallHeader
	// EncodeForwardHeader returns the header of a request to a backend server,
	// derived from the caller's header.
	EncodeForwardHeader(header http.Header, f ForwardHeader) http.Header
	// DecodeAnswerHeader decodes the header of a backend server's answer.
	DecodeAnswerHeader(status int, header http.Header) AnswerHeader
	// EncodeAnswerHeader returns the header with which a backend server's answer
	// is passed on to the caller.
	EncodeAnswerHeader(header http.Header) http.Header
	// EncodeRefusalHeader returns the header of an answer that the entry itself
	// generates. retryAfter is 0 when the caller should not retry.
	EncodeRefusalHeader(id RequestID, retryAfter Millis) http.Header
	// EventID returns the event id that a line of an event stream contains. It refers
	// to line.
	EventID(line []byte) (id []byte, found bool)
	// ReserveOrder and ReleaseOrder return orders that reserve and release memory
	// of a backend server. The lease of a reservation starts when the order
	// arrives; an order with the same id renews the lease.
	ReserveOrder(instance InstanceID, id string, tokens int64, lease Millis) MemoryOrder
	ReleaseOrder(instance InstanceID, id string) MemoryOrder
}

// MemoryOrder is an encoded memory order to a backend server.
type MemoryOrder struct {
	Path   string
	Header http.Header
	Body   []byte
}
