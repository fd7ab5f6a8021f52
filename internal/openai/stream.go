package openai

import (
	"bytes"
	"net/http"
	"unicode/utf8"

	"github.com/oleanderspool/oleanderspool"
)

// What encloses the data of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

// Stream writes an answer as server-sent events, each sent at once. It is used
// from one goroutine.
type Stream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	form    Response // identifies the answer in each chunk
	started bool
	role    bool // the first chunk of a chat, which states the role, was written
	// head and tail enclose the text of a chunk. They are the same in all chunks
	// but the first and the last, and nil before the second.
	head, tail []byte
	buffer     []byte
}

// NewStream returns a stream for an answer of which the Chat, ID, Model and
// Created fields are used. Nothing is written yet.
func NewStream(w http.ResponseWriter, form Response) *Stream {
	return &Stream{writer: w, control: http.NewResponseController(w), form: form}
}

// WriteText writes a part of the answer.
func (s *Stream) WriteText(text string) error {
	if !s.role || !plain(text) {
		return s.chunk(s.choice(text, nil), nil)
	}
	if s.head == nil {
		if err := s.prepare(); err != nil {
			return err
		}
	}
	s.buffer = append(s.buffer[:0], s.head...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, s.tail...)
	return s.write(s.buffer)
}

// plain reports whether a text is the same within a JSON string. An empty text
// is not, since its field is left out.
func plain(text string) bool {
	for i := range len(text) {
		if c := text[i]; special[c] || c >= utf8.RuneSelf {
			return false
		}
	}
	return text != ""
}

// prepare encodes what encloses the text of a chunk.
func (s *Stream) prepare() error {
	const sample = "text"
	data, err := encode(s.body(s.choice(sample, nil), nil))
	if err != nil {
		return err
	}
	// What follows the text is fixed and does not contain the sample.
	at := bytes.LastIndex(data, []byte(sample))
	s.head = append([]byte(eventStart), data[:at]...)
	s.tail = append(data[at+len(sample):], eventEnd...)
	return nil
}

// WriteHeartbeat writes a comment that keeps the connection alive.
func (s *Stream) WriteHeartbeat() error {
	return s.write([]byte(": heartbeat" + eventEnd))
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
	return s.write([]byte(eventStart + doneData + eventEnd))
}

// WriteRefusal ends the answer with a refusal. Before the first part it is written as
// a whole response with its status; afterwards it is an event, and the end mark
// is left out, so that no client takes the answer for a complete one.
func (s *Stream) WriteRefusal(refusal *oleanderspool.Refusal) error {
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
	s.role = true // a completion states none
	return []any{textChoice{Text: text, FinishReason: finish}}
}

func (s *Stream) chunk(choices []any, usage *usageBody) error {
	return s.event(s.body(choices, usage))
}

func (s *Stream) body(choices []any, usage *usageBody) responseBody {
	object := "text_completion"
	if s.form.Chat {
		object = "chat.completion.chunk"
	}
	return responseBody{
		ID: s.form.ID, Object: object, Created: s.form.Created, Model: s.form.Model,
		Choices: choices, Usage: usage,
	}
}

func (s *Stream) event(value any) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	return s.write([]byte(eventStart + string(data) + eventEnd))
}

func (s *Stream) write(event []byte) error {
	if !s.started {
		s.started = true
		header := s.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.writer.WriteHeader(http.StatusOK)
	}
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	return s.control.Flush()
}
