package openai

import (
	"bytes"
	"net/http"
	"unicode/utf8"

	"github.com/oleanderspool/oleanderspool"
)

// Delimiters of the data of a server-sent event.
const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
)

// Stream writes an answer as server-sent events and flushes after each. It is not
// safe for concurrent use.
type Stream struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	template Response // identifies the answer in each chunk
	started  bool     // the header was written
	roleSent bool     // the first chunk, which has the role in a chat, was built
	// prefix and suffix enclose the text of a chunk. They are the same in all
	// chunks but the first and the last, and nil until they are needed.
	prefix, suffix []byte
	buffer         []byte
}

// NewStream returns a stream for an answer. It uses the Chat, ID, Model and
// Created fields of template, and writes nothing yet.
func NewStream(w http.ResponseWriter, template Response) *Stream {
	return &Stream{writer: w, control: http.NewResponseController(w), template: template}
}

// WriteText writes a part of the answer.
func (s *Stream) WriteText(text string) error {
	if !s.roleSent || !isPlain(text) {
		return s.writeChunk(s.newChoices(text, nil), nil)
	}
	if s.prefix == nil {
		if err := s.encodeEnvelope(); err != nil {
			return err
		}
	}
	s.buffer = append(s.buffer[:0], s.prefix...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, s.suffix...)
	return s.write(s.buffer)
}

// isPlain reports whether JSON encoding leaves a text unchanged. It returns false
// for an empty text, since the encoder omits its field.
func isPlain(text string) bool {
	for i := range len(text) {
		if c := text[i]; special[c] || c >= utf8.RuneSelf {
			return false
		}
	}
	return text != ""
}

// encodeEnvelope encodes a sample chunk and keeps what precedes and follows its
// text.
func (s *Stream) encodeEnvelope() error {
	const sample = "text"
	data, err := encode(s.newBody(s.newChoices(sample, nil), nil))
	if err != nil {
		return err
	}
	// What follows the text is fixed and does not contain the sample, so the last
	// occurrence is the text.
	at := bytes.LastIndex(data, []byte(sample))
	s.prefix = append([]byte(eventPrefix), data[:at]...)
	s.suffix = append(data[at+len(sample):], eventSuffix...)
	return nil
}

// WriteHeartbeat writes a comment that keeps the connection alive.
func (s *Stream) WriteHeartbeat() error {
	return s.write([]byte(": heartbeat" + eventSuffix))
}

// Finish writes the finish reason, the usage unless it is nil, and the event that
// ends the stream.
func (s *Stream) Finish(reason string, usage *Usage) error {
	if err := s.writeChunk(s.newChoices("", &reason), nil); err != nil {
		return err
	}
	if usage != nil {
		if err := s.writeChunk([]any{}, encodeUsage(*usage)); err != nil {
			return err
		}
	}
	return s.write([]byte(eventPrefix + doneData + eventSuffix))
}

// WriteRefusal ends the answer with a refusal. If nothing was written yet, the
// refusal is a whole response with its status. Otherwise it is an event, and the
// event that ends the stream is left out, so that no client takes the answer for
// a complete one.
func (s *Stream) WriteRefusal(refusal *oleanderspool.Refusal) error {
	if !s.started {
		s.started = true
		return WriteRefusal(s.writer, refusal)
	}
	return s.writeEvent(encodeRefusal(refusal))
}

func (s *Stream) newChoices(text string, finish *string) []any {
	if s.template.Chat {
		delta := deltaBody{Content: text}
		if !s.roleSent {
			delta.Role = "assistant"
			s.roleSent = true
		}
		return []any{deltaChoice{Delta: delta, FinishReason: finish}}
	}
	s.roleSent = true // a completion has no role
	return []any{textChoice{Text: text, FinishReason: finish}}
}

func (s *Stream) writeChunk(choices []any, usage *usageBody) error {
	return s.writeEvent(s.newBody(choices, usage))
}

func (s *Stream) newBody(choices []any, usage *usageBody) responseBody {
	object := "text_completion"
	if s.template.Chat {
		object = "chat.completion.chunk"
	}
	return responseBody{
		ID: s.template.ID, Object: object, Created: s.template.Created, Model: s.template.Model,
		Choices: choices, Usage: usage,
	}
}

func (s *Stream) writeEvent(value any) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	return s.write([]byte(eventPrefix + string(data) + eventSuffix))
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
