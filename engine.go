package oleanderspool

import "context"

// GenerateRequest asks an engine to generate.
type GenerateRequest struct {
	Attempt       AttemptID
	Model         ModelID
	Adapter       AdapterID
	Prompt        string
	GeneratedText string // generated text to continue from
	MaxTokens     int    // upper bound of generated tokens
	Priority      int    // higher is served first
	Remaining     Millis // span until the answer is due
	// Group names the memory that was reserved on several engines for the
	// prompt; empty when this engine serves it alone.
	Group   string
	Engines int // number of engines that share the prompt; 0 without a group
}

// EngineReport is an engine's lagging account of itself.
type EngineReport struct {
	CapacityTokens int64 // memory, in tokens
	FreeTokens     int64 // free memory, in tokens
	Running        int   // requests in the engine
	Models         []ModelID
	Adapters       []AdapterID
	// RunID identifies the run of the engine process. A changed value means
	// that the engine was restarted and lost its memory.
	RunID string
}

// MemoryAllocation is memory that an engine holds for an owner.
type MemoryAllocation struct {
	Owner  string // attempt or group that the memory was reserved for
	Tokens int64  // memory, in tokens
}

// OrderKind tells what an order asks for.
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
	FencingToken int64 // rises with each order; some engines refuse a lower one
}

// CacheEvent is an engine's late news of its prefix cache. Sequence numbers
// may have gaps.
type CacheEvent struct {
	Sequence int64
	Prefix   Fingerprint
	Tokens   int64 // length of the prefix, in tokens
	Evicted  bool  // the prefix left the cache; else it entered
}

// Engine is the model engine beside an agent. Errors of type [ErrNotSent]
// say that the engine did not receive the call.
type Engine interface {
	// Generate runs a request and calls emit for each part of the answer, in
	// order, from one goroutine; tokens is the number of tokens in text, and
	// finish is set on the last part only. It returns when the answer ended or
	// failed. An error of type [ErrUnavailable] or [ErrInvalid] says that the
	// engine refused the request; after any other but [ErrNotSent] it may have
	// generated a part.
	Generate(ctx context.Context, request GenerateRequest, emit func(text string, tokens int, finish string)) error
	// Cancel ends an attempt and frees its memory. Cancelling an unknown
	// attempt is no error. After an error the memory may still be held.
	Cancel(ctx context.Context, owner string) error
	// Report returns the engine's account of itself.
	Report(ctx context.Context) (EngineReport, error)
	// Allocations lists the memory that the engine holds.
	Allocations(ctx context.Context) ([]MemoryAllocation, error)
	// Apply carries out an order and returns once it is in force. An error of
	// type [ErrFenced] says that the engine refused the fencing number; after
	// other errors the order may have been carried out or may still be.
	Apply(ctx context.Context, order Order) error
	// Reserve holds memory, in tokens, for an owner before work starts. An
	// error of type [ErrUnavailable] says that there is not enough.
	Reserve(ctx context.Context, owner string, tokens int64) error
	// Export returns the KV cache of an attempt.
	Export(ctx context.Context, owner string) ([]byte, error)
	// Import takes a KV cache for an attempt.
	Import(ctx context.Context, owner string, data []byte) error
	// CacheEvents returns cache events after the given sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	Attempt    AttemptID
	Route      RouteID
	Method     string // HTTP method
	Path       string // path with the route and the query
	Body       []byte // not to be modified
	Idempotent bool
	Remaining  Millis // span until the answer is due
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status int    // HTTP status
	Type   string // content type
	Body   []byte
}

// Service is the plain service beside an agent.
type Service interface {
	// Call makes one call and never repeats it. An error of type [ErrNotSent]
	// says that the service did not receive it; after any other error it may
	// have run.
	Call(ctx context.Context, request ServiceRequest) (ServiceAnswer, error)
}
