// Package openai converts between domain values and the OpenAI chat and
// completion formats that callers and engines use. It performs no I/O besides
// reading events and writing responses.
package openai

import (
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Bounds of a request body.
const (
	// MaxPromptBytes bounds the prompt text. A million tokens are about 4 MiB.
	MaxPromptBytes = 16 << 20
	// MaxMessages bounds the messages of a chat.
	MaxMessages = 4096
	// MaxParts bounds the parts of one message's content.
	MaxParts = 4096
	// MaxNameBytes bounds the model field.
	MaxNameBytes = 256
	// MaxTokensLimit bounds the tokens that a request may ask for.
	MaxTokensLimit = 1 << 20
	// DefaultMaxTokens applies when a request states no limit.
	DefaultMaxTokens = 1024
	// MaxFindings bounds the findings of one error, so that a bad body cannot
	// cause an answer much larger than itself.
	MaxFindings = 100
)

// Request is a parsed chat or completion body.
type Request struct {
	Chat         bool
	Model        oleanderspool.ModelID
	Adapter      oleanderspool.AdapterID // empty without an adapter
	Prompt       string
	MaxTokens    int // upper bound of generated tokens
	Stream       bool
	IncludeUsage bool // send the usage as the last chunk of a stream
}

// ModelName returns the name of a model with an adapter as callers write it.
func ModelName(model oleanderspool.ModelID, adapter oleanderspool.AdapterID) string {
	if adapter == "" {
		return string(model)
	}
	return string(model) + ":" + string(adapter)
}

// SplitModelName returns the parts of "model" or "model:adapter".
func SplitModelName(name string) (oleanderspool.ModelID, oleanderspool.AdapterID) {
	model, adapter, _ := strings.Cut(name, ":")
	return oleanderspool.ModelID(model), oleanderspool.AdapterID(adapter)
}
