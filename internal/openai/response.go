package openai

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
)

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens    int
	GeneratedTokens int
}

// Response is a complete answer.
type Response struct {
	Chat         bool
	ID           string
	Model        string // as the caller wrote it
	Created      int64  // Unix time in seconds
	Text         string
	FinishReason string // why generation ended
	Usage        Usage
}

// Model is an entry of the model list.
type Model struct {
	ID      string
	Created int64 // Unix time in seconds
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func encodeUsage(u Usage) *usageBody {
	return &usageBody{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.GeneratedTokens,
		TotalTokens:      u.PromptTokens + u.GeneratedTokens,
	}
}

type responseBody struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []any      `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

type messageBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type messageChoice struct {
	Index        int         `json:"index"`
	Message      messageBody `json:"message"`
	FinishReason *string     `json:"finish_reason"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type deltaBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type deltaChoice struct {
	Index        int       `json:"index"`
	Delta        deltaBody `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// WriteResponse writes a complete answer.
func WriteResponse(w http.ResponseWriter, r Response) error {
	body := responseBody{ID: r.ID, Created: r.Created, Model: r.Model, Usage: encodeUsage(r.Usage)}
	if r.Chat {
		body.Object = "chat.completion"
		message := messageBody{Role: "assistant", Content: r.Text}
		body.Choices = []any{messageChoice{Message: message, FinishReason: &r.FinishReason}}
	} else {
		body.Object = "text_completion"
		body.Choices = []any{textChoice{Text: r.Text, FinishReason: &r.FinishReason}}
	}
	return writeJSON(w, http.StatusOK, body)
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

// WriteModels writes the model list.
func WriteModels(w http.ResponseWriter, models []Model) error {
	body := modelsBody{Object: "list", Data: make([]modelBody, 0, len(models))}
	for _, m := range models {
		body.Data = append(body.Data, modelBody{ID: m.ID, Object: "model", Created: m.Created, OwnedBy: "oleanderspool"})
	}
	return writeJSON(w, http.StatusOK, body)
}

// encode returns value as JSON without HTML escaping, which would lengthen
// prompts and answers.
func encode(value any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, err = w.Write(data)
	return err
}
