package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// Message is the content of an HTTP request to an engine.
type Message struct {
	Method      string
	Path        string
	ContentType string // of the body
	Body        []byte
	// Idempotent is set if the message may be sent again when it is not known
	// whether the engine received it.
	Idempotent bool
}

// Codec maps calls of an engine to HTTP messages and decodes the responses. An
// engine with other paths or field names needs only another codec.
type Codec interface {
	Generate(request oleanderspool.GenerateRequest) (Message, error)
	Cancel(owner string) (Message, error)
	Report() Message
	Allocations() Message
	Apply(order oleanderspool.Order) (Message, error)
	Reserve(owner string, tokens int64) (Message, error)
	Export(owner string) (Message, error)
	Import(owner string, data []byte) (Message, error)
	CacheEvents(after int64) Message

	DecodeChunk(data []byte) (openai.Chunk, error)
	DecodeReport(body []byte) (oleanderspool.EngineReport, error)
	DecodeAllocations(body []byte) ([]oleanderspool.MemoryAllocation, error)
	DecodeCacheEvents(body []byte) ([]oleanderspool.CacheEvent, error)
	// DecodeError returns the error for a response with a status other than
	// 200.
	DecodeError(status int, body []byte) error
}

// codec implements the OpenAI-compatible interface with the extensions that the
// stand-in engine also serves.
type codec struct{}

var _ Codec = codec{}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	// ContinueFinalMessage asks the engine to continue the last message instead
	// of answering it.
	ContinueFinalMessage bool       `json:"continue_final_message,omitempty"`
	RequestID            string     `json:"request_id"`
	Priority             int        `json:"priority"`
	TimeoutMS            int64      `json:"timeout_ms,omitempty"`
	Group                *groupBody `json:"group,omitempty"`
}

type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

type groupBody struct {
	Owner   string `json:"owner"`
	Engines int    `json:"engines"`
}

// Generate implements [Codec].
func (codec) Generate(r oleanderspool.GenerateRequest) (Message, error) {
	b := chatRequest{
		Model:         openai.ModelName(r.Model, r.Adapter),
		Messages:      []chatMessage{{Role: "user", Content: r.Prompt}},
		MaxTokens:     r.MaxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true, ContinuousUsageStats: true},
		RequestID:     string(r.Attempt),
		Priority:      r.Priority,
		TimeoutMS:     int64(r.Remaining),
	}
	if r.GeneratedText != "" {
		b.Messages = append(b.Messages, chatMessage{Role: "assistant", Content: r.GeneratedText})
		b.ContinueFinalMessage = true
	}
	if r.Group != "" {
		b.Group = &groupBody{Owner: r.Group, Engines: r.Engines}
	}
	return post("/v1/chat/completions", b)
}

type ownerBody struct {
	Owner  string `json:"owner"`
	Tokens int64  `json:"tokens,omitempty"`
}

// Cancel implements [Codec].
func (codec) Cancel(owner string) (Message, error) {
	m, err := post("/v1/cancel", ownerBody{Owner: owner})
	m.Idempotent = true
	return m, err
}

// Report implements [Codec].
func (codec) Report() Message { return get("/v1/report") }

// Allocations implements [Codec].
func (codec) Allocations() Message { return get("/v1/entries") }

type orderBody struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing int64  `json:"fencing"`
}

// Apply implements [Codec].
func (codec) Apply(o oleanderspool.Order) (Message, error) {
	return post("/v1/orders", orderBody{
		Kind: string(o.Kind), Model: string(o.Model), Version: string(o.Version),
		Adapter: string(o.Adapter), Role: o.Role, Fencing: o.FencingToken,
	})
}

// Reserve implements [Codec].
func (codec) Reserve(owner string, tokens int64) (Message, error) {
	return post("/v1/reserve", ownerBody{Owner: owner, Tokens: tokens})
}

// Export implements [Codec].
func (codec) Export(owner string) (Message, error) {
	return post("/v1/export", ownerBody{Owner: owner})
}

// Import implements [Codec].
func (codec) Import(owner string, data []byte) (Message, error) {
	return Message{
		Method:      http.MethodPost,
		Path:        "/v1/import?owner=" + url.QueryEscape(owner),
		ContentType: "application/octet-stream",
		Body:        data,
	}, nil
}

// CacheEvents implements [Codec].
func (codec) CacheEvents(after int64) Message {
	return get("/v1/cache_events?after=" + strconv.FormatInt(after, 10))
}

// DecodeChunk implements [Codec].
func (codec) DecodeChunk(data []byte) (openai.Chunk, error) {
	return openai.ParseChunk(data)
}

type reportBody struct {
	SizeTokens int64    `json:"size_tokens"`
	FreeTokens int64    `json:"free_tokens"`
	Running    int      `json:"running"`
	Models     []string `json:"models"`
	Adapters   []string `json:"adapters"`
	RunID      string   `json:"started"`
}

// DecodeReport implements [Codec].
func (codec) DecodeReport(body []byte) (oleanderspool.EngineReport, error) {
	var b reportBody
	if err := json.Unmarshal(body, &b); err != nil {
		return oleanderspool.EngineReport{}, err
	}
	if b.RunID == "" {
		return oleanderspool.EngineReport{}, oleanderspool.ErrInvalid.New("report does not identify the run of the engine")
	}
	r := oleanderspool.EngineReport{
		CapacityTokens: b.SizeTokens, FreeTokens: b.FreeTokens, Running: b.Running, RunID: b.RunID,
	}
	for _, m := range b.Models {
		r.Models = append(r.Models, oleanderspool.ModelID(m))
	}
	for _, a := range b.Adapters {
		_, adapter := openai.SplitModelName(a)
		r.Adapters = append(r.Adapters, adapter)
	}
	return r, nil
}

type allocationsBody struct {
	Allocations []ownerBody `json:"entries"`
}

// DecodeAllocations implements [Codec].
func (codec) DecodeAllocations(body []byte) ([]oleanderspool.MemoryAllocation, error) {
	var b allocationsBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, err
	}
	if b.Allocations == nil {
		return nil, oleanderspool.ErrInvalid.New("list of allocations has no entries field")
	}
	list := make([]oleanderspool.MemoryAllocation, 0, len(b.Allocations))
	for _, e := range b.Allocations {
		list = append(list, oleanderspool.MemoryAllocation{Owner: e.Owner, Tokens: e.Tokens})
	}
	return list, nil
}

type cacheEventsBody struct {
	Events []struct {
		Sequence int64  `json:"sequence"`
		Prefix   string `json:"prefix"` // hexadecimal, because a JSON number cannot hold 64 bits exactly
		Tokens   int64  `json:"tokens"`
		Evicted  bool   `json:"evicted"`
	} `json:"events"`
}

// DecodeCacheEvents implements [Codec].
func (codec) DecodeCacheEvents(body []byte) ([]oleanderspool.CacheEvent, error) {
	var b cacheEventsBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, err
	}
	list := make([]oleanderspool.CacheEvent, 0, len(b.Events))
	for _, e := range b.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return nil, oleanderspool.ErrInvalid.Wrap(err, "prefix of cache event %d is malformed", e.Sequence)
		}
		list = append(list, oleanderspool.CacheEvent{
			Sequence: e.Sequence, Prefix: oleanderspool.Fingerprint(prefix), Tokens: e.Tokens, Evicted: e.Evicted,
		})
	}
	return list, nil
}

// Values of the fields code and effect of an error.
const (
	codeFenced = "fenced"
	effectNone = "none"
)

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Effect  string `json:"effect"`
	} `json:"error"`
}

// DecodeError implements [Codec]. A server error is of type ErrUncertain unless
// the engine states that the call had no effect.
func (codec) DecodeError(status int, body []byte) error {
	var b errorBody
	if err := json.Unmarshal(body, &b); err != nil {
		return oleanderspool.ErrUncertain.Wrap(err, "engine answered %d", status)
	}
	e := b.Error
	switch {
	case e.Code == codeFenced:
		return oleanderspool.ErrFenced.New("engine answered %d: %s", status, e.Message)
	case e.Effect == effectNone && (status >= http.StatusInternalServerError || status == http.StatusTooManyRequests):
		return oleanderspool.ErrUnavailable.New("engine answered %d: %s", status, e.Message)
	case status >= http.StatusInternalServerError:
		return oleanderspool.ErrUncertain.New("engine answered %d: %s", status, e.Message)
	default:
		return oleanderspool.ErrInvalid.New("engine answered %d: %s", status, e.Message)
	}
}

func get(path string) Message {
	return Message{Method: http.MethodGet, Path: path, Idempotent: true}
}

// post returns a message with a JSON body. HTML characters are not escaped,
// since escapes would make prompts longer.
func post(path string, value any) (Message, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return Message{}, oleanderspool.ErrInvalid.Wrap(err, "call of %s cannot be encoded", path)
	}
	return Message{Method: http.MethodPost, Path: path, ContentType: "application/json", Body: b.Bytes()}, nil
}
