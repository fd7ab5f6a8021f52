package openai

import (
	"encoding/json"

	"github.com/oleanderspool/oleanderspool"
)

// Chunk is one part of a streamed answer.
type Chunk struct {
	Text   string
	Finish string // why generation ended; empty before the end
	// Generated is the number of tokens generated so far; 0 when unknown.
	Generated int
}

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content *string `json:"content"`
		} `json:"delta"`
		Text         *string `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usageBody `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// ParseChunk returns the chunk in the data of an event, of a chat or of a
// completion. An event that reports an error gives an error of type
// ErrUncertain, a malformed one an error of type ErrInvalid.
func ParseChunk(data []byte) (Chunk, error) {
	var b chunkBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Chunk{}, oleanderspool.ErrInvalid.Wrap(err, "chunk is malformed")
	}
	if b.Error != nil {
		return Chunk{}, oleanderspool.ErrUncertain.New("stream reports an error: %s", b.Error.Message)
	}
	var c Chunk
	if b.Usage != nil {
		c.Generated = b.Usage.CompletionTokens
	}
	for _, choice := range b.Choices {
		c.Text += valueOf(choice.Delta.Content) + valueOf(choice.Text)
		if reason := valueOf(choice.FinishReason); reason != "" {
			c.Finish = reason
		}
	}
	return c, nil
}

func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
