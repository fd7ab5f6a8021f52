package openai

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// roles lists the roles of a message.
var roles = []string{"system", "developer", "user", "assistant"}

// unsupported lists the fields that would change the answer in a way that the
// system cannot provide. They are refused unless they are empty, because an
// answer that silently ignores them would be wrong.
var unsupported = []string{
	"tools", "functions", "stop", "logprobs", "top_logprobs", "echo", "suffix", "audio", "logit_bias",
}

// ParseChat parses the body of a chat. Unknown fields are ignored. The error is
// of type ErrInvalid and holds all findings.
func ParseChat(body []byte) (Request, error) {
	findings := &collector{}
	o, ok := parseObject(body, findings)
	if !ok {
		return Request{}, findings.err()
	}
	r := parseCommon(o)
	r.Chat = true
	r.Prompt = parseMessages(o)
	return finish(o, r)
}

// ParseCompletion parses the body of a completion. Unknown fields are ignored.
// The error is of type ErrInvalid and holds all findings.
func ParseCompletion(body []byte) (Request, error) {
	findings := &collector{}
	o, ok := parseObject(body, findings)
	if !ok {
		return Request{}, findings.err()
	}
	r := parseCommon(o)
	r.Prompt = parsePrompt(o)
	return finish(o, r)
}

func finish(o object, r Request) (Request, error) {
	if len(r.Prompt) > MaxPromptBytes {
		o.addf("prompt", "must be at most %d bytes", MaxPromptBytes)
	}
	if err := o.findings.err(); err != nil {
		return Request{}, err
	}
	return r, nil
}

// parseCommon parses the fields that both kinds of body have.
func parseCommon(o object) Request {
	r := Request{Stream: o.flag("stream")}
	r.Model, r.Adapter = SplitModelName(parseModel(o))
	r.MaxTokens = parseMaxTokens(o)
	if options, found := o.child("stream_options"); found {
		r.IncludeUsage = options.flag("include_usage")
	}
	o.number("temperature", 0, 2)
	o.number("top_p", 0, 1)
	o.number("presence_penalty", -2, 2)
	o.number("frequency_penalty", -2, 2)
	for _, key := range []string{"n", "best_of"} {
		if n, found := o.integer(key, 1, 128); found && n != 1 {
			o.addf(key, "only 1 is supported")
		}
	}
	for _, key := range unsupported {
		if !o.empty(key) {
			o.addf(key, "is not supported")
		}
	}
	return r
}

func parseModel(o object) string {
	name, found := o.text("model")
	if !found {
		if o.empty("model") {
			o.addf("model", "is missing")
		}
		return ""
	}
	model, adapter, colon := strings.Cut(name, ":")
	switch {
	case len(name) > MaxNameBytes:
		o.addf("model", "must be at most %d bytes", MaxNameBytes)
	case model == "" || colon && adapter == "" || strings.Contains(adapter, ":"):
		o.addf("model", `must be "model" or "model:adapter"`)
	}
	return name
}

func parseMaxTokens(o object) int {
	limit := int64(DefaultMaxTokens)
	if n, found := o.integer("max_tokens", 1, MaxTokensLimit); found {
		limit = n
	}
	if n, found := o.integer("max_completion_tokens", 1, MaxTokensLimit); found {
		limit = n
	}
	return int(limit)
}

// parsePrompt returns the prompt of a completion: a string, or an array of one
// string as some client libraries send it.
func parsePrompt(o object) string {
	value, found := o.raw("prompt")
	if !found {
		o.addf("prompt", "is missing")
		return ""
	}
	var prompt string
	if json.Unmarshal(value, &prompt) == nil {
		if prompt == "" {
			o.addf("prompt", "must not be empty")
		}
		return prompt
	}
	var prompts []string
	if json.Unmarshal(value, &prompts) != nil || len(prompts) != 1 || prompts[0] == "" {
		o.addf("prompt", "must be a string or an array of one string")
		return ""
	}
	return prompts[0]
}

// parseMessages returns the messages of a chat as one text.
func parseMessages(o object) string {
	messages, found := o.list("messages", MaxMessages)
	if !found {
		if _, present := o.raw("messages"); !present {
			o.addf("messages", "is missing")
		}
		return ""
	}
	if len(messages) == 0 {
		o.addf("messages", "must not be empty")
		return ""
	}
	var b strings.Builder
	for i, value := range messages {
		message, ok := o.objectAt(fmt.Sprintf("messages[%d]", i), value)
		if ok {
			writeMessage(&b, parseRole(message), parseContent(message))
		}
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// writeMessage adds a message to a prompt. The format is the system's own;
// engines take the prompt as one user message.
func writeMessage(b *strings.Builder, role, content string) {
	b.WriteString("<|")
	b.WriteString(role)
	b.WriteString("|>\n")
	b.WriteString(content)
	b.WriteString("\n")
}

func parseRole(message object) string {
	role, found := message.text("role")
	switch {
	case !found && message.empty("role"):
		message.addf("role", "is missing")
	case found && !slices.Contains(roles, role):
		message.addf("role", "must be one of %s", strings.Join(roles, ", "))
	}
	return role
}

// parseContent returns the content of a message: a string or an array of text
// parts.
func parseContent(message object) string {
	value, found := message.raw("content")
	if !found {
		message.addf("content", "is missing")
		return ""
	}
	var content string
	if json.Unmarshal(value, &content) == nil {
		return content
	}
	if len(value) == 0 || value[0] != '[' {
		message.addf("content", "must be a string or an array of text parts")
		return ""
	}
	parts, _ := message.list("content", MaxParts)
	var b strings.Builder
	for i, part := range parts {
		b.WriteString(parsePart(message, fmt.Sprintf("content[%d]", i), part))
	}
	return b.String()
}

func parsePart(message object, key string, value json.RawMessage) string {
	part, ok := message.objectAt(key, value)
	if !ok {
		return ""
	}
	if kind, _ := part.text("type"); kind != "text" {
		part.addf("type", `must be "text"`)
		return ""
	}
	text, found := part.text("text")
	if !found {
		part.addf("text", "is missing or no string")
	}
	return text
}
