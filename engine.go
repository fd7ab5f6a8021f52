package oleanderspool

import "context"

// GenerateRequest asks an engine to generate text.
type GenerateRequest struct {
	Attempt       AttemptID
	Model         ModelID
	Adapter       AdapterID
	Prompt        string
	GeneratedText string // generated text to continue from
	MaxTokens     int    // upper bound of generated tokens
	Priority      int    // higher values are served first
	Remaining     Millis // time until the deadline of the answer
	// Group identifies the memory reserved on several engines for the prompt;
	// empty when this engine serves it alone.
	Group   string
	Engines int // number of engines that prefill the prompt; 0 without a group
}

// EngineReport is the state that an engine reports about itself. It lags behind
// the actual state.
type EngineReport struct {
	CapacityTokens int64 // total memory, in tokens
	FreeTokens     int64 // free memory, in tokens
	Running        int   // requests in the engine
	Models         []ModelID
	Adapters       []AdapterID
	// RunID identifies the run of the engine process. A changed value means
	// that the engine restarted and lost its memory contents.
	RunID string
}

// MemoryAllocation is memory that an engine holds for an owner.
type MemoryAllocation struct {
	Owner  string // attempt or group for which the memory was reserved
	Tokens int64  // memory, in tokens
}

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoad       OrderKind = "load"
	OrderUnload     OrderKind = "unload"
	OrderChangeRole OrderKind = "change_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind         OrderKind
	Model        ModelID
	Version      VersionID
	Adapter      AdapterID // empty for an order about the model itself
	Role         string
	FencingToken int64 // increases with each order; some engines refuse a lower one
}

// CacheEvent is a change of an engine's prefix cache, reported with a delay.
// Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence int64
	Prefix   Fingerprint
	Tokens   int64 // length of the prefix, in tokens
	Evicted  bool  // the prefix was evicted; otherwise it was added
}

// Engine is the model engine that an agent manages. Errors of type [ErrNotSent]
// mean that the engine did not receive the call.
type Engine interface {
	// Generate runs a request and calls emit for each part of the answer, in
	// order, from one goroutine; tokens is the number of tokens in text, and
	// finish is set on the last part only. It returns when the answer is complete
	// or has failed. An error of type [ErrUnavailable] or [ErrInvalid] means that
	// the engine refused the request; after any other error except [ErrNotSent]
	// the engine may have generated a part of the answer.
	Generate(ctx context.Context, request GenerateRequest, emit func(text string, tokens int, finish string)) error
	// Cancel ends an attempt and frees its memory. Cancelling an unknown
	// attempt is not an error. After an error the memory may still be held.
	Cancel(ctx context.Context, owner string) error
	// Report returns the state that the engine reports about itself.
	Report(ctx context.Context) (EngineReport, error)
	// Allocations lists the memory that the engine holds.
	Allocations(ctx context.Context) ([]MemoryAllocation, error)
	// Apply executes an order and returns once it has taken effect. An error of
	// type [ErrFenced] means that the engine refused the fencing token; after
	// other errors the order may have been executed or may still be.
	Apply(ctx context.Context, order Order) error
	// Reserve reserves memory, in tokens, for an owner before work starts. An
	// error of type [ErrUnavailable] means that there is not enough memory.
	Reserve(ctx context.Context, owner string, tokens int64) error
	// Export returns the KV cache of an attempt.
	Export(ctx context.Context, owner string) ([]byte, error)
	// Import loads a KV cache for an attempt.
	Import(ctx context.Context, owner string, data []byte) error
	// CacheEvents returns cache events after the given sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}

// ServiceRequest is a call of a plain service, which is an HTTP service without
// a model.
type ServiceRequest struct {
	Attempt    AttemptID
	Route      RouteID
	Method     string // HTTP method
	Path       string // path with the route and the query
	Body       []byte // not to be modified
	Idempotent bool
	Remaining  Millis // time until the deadline of the answer
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status int    // HTTP status
	Type   string // content type
	Body   []byte
}

// Service is the plain service that an agent forwards calls to.
type Service interface {
	// Call makes one call and never retries it. An error of type [ErrNotSent]
	// means that the service did not receive the call; after any other error the
	// call may have run.
	Call(ctx context.Context, request ServiceRequest) (ServiceAnswer, error)
}
