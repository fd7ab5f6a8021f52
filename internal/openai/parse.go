package openai

import (
	"slices"
	"strings"
)

// roles lists the roles of a message.
var roles = []string{"system", "developer", "user", "assistant"}

// unsupported lists the fields that ask for features the system lacks. A request
// with a non-empty one is refused, because an answer that silently ignores the
// field would be wrong.
var unsupported = []string{
	"tools", "functions", "stop", "logprobs", "top_logprobs", "echo", "suffix", "audio", "logit_bias",
}

// ParseChat parses the body of a chat request. Unknown fields are ignored. The
// error is of type ErrInvalid and holds all findings.
func ParseChat(body []byte) (Request, error) {
	o, err := parseObject(body)
	if err != nil {
		return Request{}, err
	}
	r := parseCommon(o)
	r.Chat = true
	r.Prompt = parseMessages(o)
	return requestOrError(o, r)
}

// ParseCompletion parses the body of a completion request. Unknown fields are
// ignored. The error is of type ErrInvalid and holds all findings.
func ParseCompletion(body []byte) (Request, error) {
	o, err := parseObject(body)
	if err != nil {
		return Request{}, err
	}
	r := parseCommon(o)
	r.Prompt = parsePrompt(o)
	return requestOrError(o, r)
}

// requestOrError returns r, or one error with all findings about o.
func requestOrError(o value, r Request) (Request, error) {
	if len(r.Prompt) > MaxPromptBytes {
		o.findings.addf("", "prompt must be at most %d bytes", MaxPromptBytes)
	}
	if err := o.findings.err(); err != nil {
		return Request{}, err
	}
	return r, nil
}

// parseCommon parses the fields that both kinds of body have.
func parseCommon(o value) Request {
	r := Request{Stream: o.boolField("stream")}
	r.Model, r.Adapter = SplitModelName(parseModel(o))
	r.MaxTokens = parseMaxTokens(o)
	if options, found := o.field("stream_options"); found && options.hasKind(kindObject, "an object") {
		r.IncludeUsage = options.boolField("include_usage")
	}
	o.checkNumberField("temperature", 0, 2)
	o.checkNumberField("top_p", 0, 1)
	o.checkNumberField("presence_penalty", -2, 2)
	o.checkNumberField("frequency_penalty", -2, 2)
	o.positiveField("n", 1)
	o.positiveField("best_of", 1)
	for _, key := range unsupported {
		if f, found := o.field(key); found && !f.isEmpty() {
			f.addf("is not supported")
		}
	}
	return r
}

func parseModel(o value) string {
	f, found := o.field("model")
	if !found {
		o.addMissing("model")
		return ""
	}
	name, ok := f.text()
	model, adapter, colon := strings.Cut(name, ":")
	switch {
	case !ok:
	case len(name) > MaxNameBytes:
		f.addf("must be at most %d bytes", MaxNameBytes)
	case model == "" || colon && adapter == "" || strings.Contains(adapter, ":"):
		f.addf(`must be "model" or "model:adapter"`)
	}
	return name
}

func parseMaxTokens(o value) int {
	limit := int64(DefaultMaxTokens)
	if n, found := o.positiveField("max_tokens", MaxTokensLimit); found {
		limit = n
	}
	if n, found := o.positiveField("max_completion_tokens", MaxTokensLimit); found {
		limit = n
	}
	return int(limit)
}

// parsePrompt returns the prompt of a completion: a string, or an array of one
// string as some client libraries send it.
func parsePrompt(o value) string {
	f, found := o.field("prompt")
	if !found {
		o.addMissing("prompt")
		return ""
	}
	if f.node().kind == kindArray {
		if f.node().count != 1 {
			f.addf("must be a string or an array of one string")
			return ""
		}
		f.eachElement(1, func(element value) { f = element })
	}
	prompt, ok := f.text()
	if ok && prompt == "" {
		f.addf("must not be empty")
	}
	return prompt
}

// parseMessages returns the messages of a chat joined into one prompt.
func parseMessages(o value) string {
	f, found := o.field("messages")
	if !found {
		o.addMissing("messages")
		return ""
	}
	var b strings.Builder
	f.eachElement(MaxMessages, func(message value) {
		if message.hasKind(kindObject, "an object") {
			role := parseRole(message)
			writeMessage(&b, role, parseContent(message, role))
		}
	})
	if f.node().kind == kindArray && f.node().count == 0 {
		f.addf("must not be empty")
	}
	b.WriteString(assistantMarker)
	return b.String()
}

// assistantMarker ends the prompt of a chat; the model generates the assistant's
// message after it.
const assistantMarker = "<|assistant|>\n"

// writeMessage appends a message to a prompt. The format is specific to this
// system: engines receive the whole prompt as one user message.
func writeMessage(b *strings.Builder, role, content string) {
	b.Grow(len(role) + len(content) + len("<||>\n\n") + len(assistantMarker))
	b.WriteString("<|")
	b.WriteString(role)
	b.WriteString("|>\n")
	b.WriteString(content)
	b.WriteString("\n")
}

func parseRole(message value) string {
	f, found := message.field("role")
	if !found {
		message.addMissing("role")
		return ""
	}
	role, ok := f.text()
	if ok && !slices.Contains(roles, role) {
		f.addf("must be one of %s", strings.Join(roles, ", "))
	}
	return role
}

// parseContent returns the content of a message: a string or an array of text
// parts. Client libraries send null for an empty assistant message.
func parseContent(message value, role string) string {
	f, found := message.field("content")
	if !found && role == "assistant" {
		return ""
	}
	if !found {
		message.addMissing("content")
		return ""
	}
	switch f.node().kind {
	case kindString:
		content, _ := f.text()
		return content
	case kindArray:
		var b strings.Builder
		f.eachElement(MaxParts, func(part value) { b.WriteString(parsePart(part)) })
		return b.String()
	default:
		f.addf("must be a string or an array of text parts")
		return ""
	}
}

func parsePart(part value) string {
	if !part.hasKind(kindObject, "an object") {
		return ""
	}
	f, found := part.field("type")
	if !found {
		part.addMissing("type")
		return ""
	}
	if k, ok := f.text(); !ok || k != "text" {
		f.addf(`must be "text"`)
		return ""
	}
	f, found = part.field("text")
	if !found {
		part.addMissing("text")
		return ""
	}
	text, _ := f.text()
	return text
}
