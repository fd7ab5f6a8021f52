package openai_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// drawJSON returns a JSON value, biased to the keys that the package reads.
func drawJSON(t *rapid.T, depth int) string {
	choices := 6
	if depth == 0 {
		choices = 4
	}
	switch rapid.IntRange(0, choices-1).Draw(t, "kind") {
	case 0:
		return rapid.SampledFrom([]string{"null", "true", "false"}).Draw(t, "word")
	case 1:
		return rapid.SampledFrom([]string{"0", "1", "-7", "1.5", "1e3", "2E-2", "1e999", "99999999999999999999"}).Draw(t, "number")
	case 2:
		return rapid.SampledFrom([]string{`"ode"`, `"user"`, `"text"`, `""`, `"\ud83d\ude00"`, `"\ud83d\n"`, `"a:b"`}).Draw(t, "word")
	case 3:
		quoted, err := json.Marshal(rapid.String().Draw(t, "text"))
		if err != nil {
			t.Fatal(err)
		}
		return string(quoted)
	case 4:
		return "[" + strings.Join(drawList(t, depth, func() string { return drawJSON(t, depth-1) }), ", ") + "]"
	default:
		return "{" + strings.Join(drawList(t, depth, func() string {
			return drawKey(t) + ":" + drawJSON(t, depth-1)
		}), ",\n") + "}"
	}
}

func drawList(t *rapid.T, _ int, element func() string) []string {
	list := make([]string, rapid.IntRange(0, 5).Draw(t, "length"))
	for i := range list {
		list[i] = element()
	}
	return list
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{
		`"model"`, `"messages"`, `"prompt"`, `"role"`, `"content"`, `"type"`, `"text"`, `"stream"`,
		`"stream_options"`, `"max_tokens"`, `"n"`, `"stop"`, `"temperature"`, `"x"`, `"mode\u006c"`,
	}).Draw(t, "key")
}

// corrupt changes, truncates or removes some bytes, so that most bodies are not
// JSON.
func corrupt(t *rapid.T, body []byte) []byte {
	for range rapid.IntRange(0, 3).Draw(t, "damages") {
		if len(body) == 0 {
			return body
		}
		i := rapid.IntRange(0, len(body)-1).Draw(t, "position")
		switch rapid.IntRange(0, 2).Draw(t, "damage") {
		case 0:
			body[i] = rapid.Byte().Draw(t, "byte")
		case 1:
			body = body[:i]
		default:
			body = append(body[:i], body[i+1:]...)
		}
	}
	return body
}

// Guards against a panic, a request together with an error, and an error
// without findings, for any body.
func TestBadBodiesNeverPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := corrupt(t, []byte(drawJSON(t, 4)))
		for _, parse := range []func([]byte) (openai.Request, error){openai.ParseChat, openai.ParseCompletion} {
			r, err := parse(body)
			if err == nil {
				if r.Model == "" || r.Prompt == "" || r.MaxTokens < 1 {
					t.Fatalf("incomplete request %+v from %q", r, body)
				}
				continue
			}
			if !errorx.IsOfType(err, oleanderspool.ErrInvalid) || r != (openai.Request{}) {
				t.Fatalf("request %+v with error %v from %q", r, err, body)
			}
		}
	})
}

// Guards against a scanner that accepts texts that encoding/json rejects, or the
// reverse, or that decodes strings differently.
func TestScannerAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := corrupt(t, []byte(drawJSON(t, 3)))
		body := []byte(`{"model": "ode", "prompt": ` + string(prompt) + "\n}")
		r, err := openai.ParseCompletion(body)
		var want struct{ Prompt any }
		valid := json.Unmarshal(body, &want) == nil && utf8.Valid(body)
		if text, isText := want.Prompt.(string); valid && isText && text != "" {
			if err != nil || r.Prompt != text {
				t.Fatalf("prompt %q, error %v, want %q from %q", r.Prompt, err, text, body)
			}
		}
		if err == nil && !valid {
			t.Fatalf("accepted %q", body)
		}
		if err != nil && valid && strings.Contains(err.Error(), "not JSON") {
			t.Fatalf("refused %q: %v", body, err)
		}
	})
}

// Guards against reading past the end: no proper prefix of a body is accepted or
// causes a panic. Random corruption alone did not find a missing bounds check in
// the parsing of escapes.
func TestTruncatedBodies(t *testing.T) {
	for _, c := range goodBodies {
		body := strings.TrimSpace(c.body)
		for length := range body {
			if _, err := parse(c.chat, body[:length]); err == nil {
				t.Errorf("accepted %q", body[:length])
			}
		}
	}
}

// chunkFields are the fields of a chunk as encoding/json reads them.
type chunkFields struct {
	Choices []struct {
		Delta struct {
			Content *string `json:"content"`
		} `json:"delta"`
		Text         *string `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// drawFields returns an object with some of the fields, each at most once and
// with its own value or with an arbitrary one.
func drawFields(t *rapid.T, fields map[string]string) string {
	var list []string
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		switch rapid.IntRange(0, 29).Draw(t, key) {
		case 0:
			list = append(list, fmt.Sprintf("%q: %s", key, rapid.SampledFrom([]string{"null", "true", "3", `"x"`, "[]", "[{}]", "{}", `{"x": 1}`}).Draw(t, "value")))
		case 1:
		default:
			list = append(list, fmt.Sprintf("%q: %s", key, fields[key]))
		}
	}
	return "{" + strings.Join(list, ",") + "}"
}

// Guards against text, token counts or finish reasons of an engine's answer that
// are lost or read from a malformed chunk.
func TestChunksAgreeWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := func() string {
			if rapid.IntRange(0, 19).Draw(t, "other") == 0 {
				return drawJSON(t, 0)
			}
			return rapid.SampledFrom([]string{`"ode"`, `"\ud83d\ude00"`, `"\ud83d\n"`, `""`, `null`, "\"\xff\"", `"é"`}).Draw(t, "text")
		}
		choices := drawList(t, 0, func() string {
			return drawFields(t, map[string]string{
				"delta": drawFields(t, map[string]string{"content": text()}), "text": text(), "finish_reason": text(), "index": "0",
			})
		})
		fields := map[string]string{
			"choices": "[" + strings.Join(choices, ",") + "]", "id": text(),
			"usage": drawFields(t, map[string]string{"completion_tokens": rapid.SampledFrom([]string{"7", "8", "9", "0", "1.5"}).Draw(t, "tokens")}),
		}
		if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
			fields["error"] = drawFields(t, map[string]string{"message": text()})
		}
		data := corrupt(t, []byte(drawFields(t, fields)))
		if hasCapitalizedKey(data) {
			return // encoding/json matches keys regardless of case, ParseChunk does not
		}
		var want chunkFields
		failure := json.Unmarshal(data, &want)
		got, err := openai.ParseChunk(data)
		if (failure != nil || want.Error != nil) != (err != nil) {
			t.Fatalf("error %v, want %v or a reported one from %q", err, failure, data)
		}
		if err != nil {
			return
		}
		var chunk openai.Chunk
		if want.Usage != nil {
			chunk.GeneratedTokens = want.Usage.CompletionTokens
		}
		for _, c := range want.Choices {
			for _, part := range []*string{c.Delta.Content, c.Text} {
				if part != nil {
					chunk.Text += *part
				}
			}
			if c.FinishReason != nil && *c.FinishReason != "" {
				chunk.FinishReason = *c.FinishReason
			}
		}
		if got != chunk {
			t.Fatalf("got %+v, want %+v from %q", got, chunk, data)
		}
	})
}

// hasCapitalizedKey reports whether data has a key of a chunk with capital
// letters.
func hasCapitalizedKey(data []byte) bool {
	for _, key := range []string{"choices", "delta", "content", "text", "finish_reason", "usage", "completion_tokens", "error", "message"} {
		if bytes.Count(bytes.ToLower(data), []byte(key)) != bytes.Count(data, []byte(key)) {
			return true
		}
	}
	return false
}
