package engine

import (
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type generateBody struct {
	Model                string        `json:"model"`
	Prompt               string        `json:"prompt"`
	Messages             []messageBody `json:"messages"`
	MaxTokens            int           `json:"max_tokens"`
	Stream               bool          `json:"stream"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
	RequestID            string        `json:"request_id"`
	Priority             int           `json:"priority"`
	TimeoutMS            int64         `json:"timeout_ms"`
	Group                *groupBody    `json:"group"`
}

type groupBody struct {
	Owner   string `json:"owner"`
	Engines int64  `json:"engines"`
}

// texts returns the prompt and the partial answer to continue, if any.
func (b generateBody) texts() (prompt, continued string) {
	messages := b.Messages
	if n := len(messages); n > 0 && b.ContinueFinalMessage {
		continued = messages[n-1].Content
		messages = messages[:n-1]
	}
	prompt = b.Prompt
	for _, m := range messages {
		prompt += m.Content
	}
	return prompt, continued
}

type ownerBody struct {
	Owner  string `json:"owner"`
	Tokens int64  `json:"tokens"`
}

type freedBody struct {
	FreedTokens int64 `json:"freed_tokens"`
}

type entriesBody struct {
	Entries []ownerBody `json:"entries"`
}

func entryBodies(entries []oleanderspool.MemoryAllocation) entriesBody {
	body := entriesBody{Entries: make([]ownerBody, 0, len(entries))}
	for _, e := range entries {
		body.Entries = append(body.Entries, ownerBody{Owner: e.Owner, Tokens: e.Tokens})
	}
	return body
}

// report is a load report: a snapshot of the engine's state.
type report struct {
	SizeTokens int64    `json:"size_tokens"`
	FreeTokens int64    `json:"free_tokens"`
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
	Models     []string `json:"models"`
	Adapters   []string `json:"adapters"`
	Role       string   `json:"role"`
	Started    string   `json:"started"`
}

type orderBody struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fencing int64  `json:"fencing"`
}

type cacheEventBody struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Tokens   int64  `json:"tokens"`
	Evicted  bool   `json:"evicted"`
}

type cacheEventsBody struct {
	Events []cacheEventBody `json:"events"`
}

func cacheEventBodies(events []oleanderspool.CacheEvent) cacheEventsBody {
	body := cacheEventsBody{Events: make([]cacheEventBody, 0, len(events))}
	for _, v := range events {
		body.Events = append(body.Events, cacheEventBody{
			Sequence: v.Sequence,
			Prefix:   strconv.FormatUint(uint64(v.Prefix), 16),
			Tokens:   v.Tokens,
			Evicted:  v.Evicted,
		})
	}
	return body
}

// exportBody describes an exported KV cache.
type exportBody struct {
	Owner  string `json:"owner"`
	Model  string `json:"model"`
	Tokens int64  `json:"tokens"`
}

type controlBody struct {
	Action string  `json:"action"`
	Factor float64 `json:"factor"`
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Delta        *messageBody `json:"delta,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   usageBody    `json:"usage"`
}

type failureBody struct {
	Error failureFields `json:"error"`
}

type failureFields struct {
	Message string `json:"message"`
}

type requestBody struct {
	RequestID    string `json:"request_id"`
	Model        string `json:"model"`
	PromptTokens int64  `json:"prompt_tokens"`
	CachedTokens int64  `json:"cached_tokens"`
	Prefilled    int64  `json:"prefilled_tokens"`
	Generated    int    `json:"generated"`
	Outcome      string `json:"outcome"`
}

type requestsBody struct {
	Crashes  int           `json:"crashes"`
	Requests []requestBody `json:"requests"`
}

func requestBodies(crashes int, requests []Request) requestsBody {
	body := requestsBody{Crashes: crashes, Requests: make([]requestBody, 0, len(requests))}
	for _, r := range requests {
		body.Requests = append(body.Requests, requestBody{
			RequestID: r.ID, Model: r.Model, PromptTokens: r.PromptTokens,
			CachedTokens: r.CachedTokens, Prefilled: r.Prefilled, Generated: r.Generated, Outcome: r.Outcome,
		})
	}
	return body
}
