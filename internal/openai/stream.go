package openai

import (
	"net/http"

	"github.com/oleanderspool/oleanderspool"
)

// Stream writes an answer as server-sent events, each sent at once. It is used
// from one goroutine.
type Stream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	form    Response // identifies the answer in each chunk
	started bool
	role    bool // the first chunk of a chat, which states the role, was written
}

// NewStream returns a stream for an answer of which the Chat, ID, Model and
// Created fields are used. Nothing is written yet.
func NewStream(w http.ResponseWriter, form Response) *Stream {
	return &Stream{writer: w, control: http.NewResponseController(w), form: form}
}

// Started reports whether the response has begun, so that a refusal can no
// longer have its own status.
func (s *Stream) Started() bool {
	return s.started
}

// Text writes a part of the answer.
func (s *Stream) Text(text string) error {
	return s.chunk(s.choice(text, nil), nil)
}

// Heartbeat writes a comment that keeps the connection alive.
func (s *Stream) Heartbeat() error {
	return s.write(": heartbeat\n\n")
}

// Finish writes why generation ended, the usage unless it is nil, and the end
// mark.
func (s *Stream) Finish(reason string, usage *Usage) error {
	if err := s.chunk(s.choice("", &reason), nil); err != nil {
		return err
	}
	if usage != nil {
		if err := s.chunk([]any{}, encodeUsage(*usage)); err != nil {
			return err
		}
	}
	return s.write("data: " + doneData + "\n\n")
}

// Refuse ends the answer with a refusal. Before the first part it is written as
// a whole response with its status; afterwards it is an event, and the end mark
// is left out, so that no client takes the answer for a complete one.
func (s *Stream) Refuse(refusal *oleanderspool.Refusal) error {
	if !s.started {
		s.started = true
		return WriteRefusal(s.writer, refusal)
	}
	return s.event(encodeRefusal(refusal))
}

func (s *Stream) choice(text string, finish *string) []any {
	if s.form.Chat {
		delta := deltaBody{Content: text}
		if !s.role {
			delta.Role = "assistant"
			s.role = true
		}
		return []any{deltaChoice{Delta: delta, FinishReason: finish}}
	}
	return []any{textChoice{Text: text, FinishReason: finish}}
}

func (s *Stream) chunk(choices []any, usage *usageBody) error {
	object := "text_completion"
	if s.form.Chat {
		object = "chat.completion.chunk"
	}
	return s.event(responseBody{
		ID: s.form.ID, Object: object, Created: s.form.Created, Model: s.form.Model,
		Choices: choices, Usage: usage,
	})
}

func (s *Stream) event(value any) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	return s.write("data: " + string(data) + "\n\n")
}

func (s *Stream) write(event string) error {
	if !s.started {
		s.started = true
		header := s.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	if _, err := s.writer.Write([]byte(event)); err != nil {
		return err
	}
	return s.control.Flush()
}
