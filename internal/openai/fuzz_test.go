package openai_test

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// drawJSON returns a JSON value, biased to the keys that the codec reads.
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

// damage changes some bytes, so that most bodies are no JSON.
func damage(t *rapid.T, body []byte) []byte {
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
		body := damage(t, []byte(drawJSON(t, 4)))
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

// Guards against a scanner that accepts other texts than encoding/json, or
// reads other strings from them.
func TestScannerAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := damage(t, []byte(drawJSON(t, 3)))
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

// Guards against reading past the end: no proper prefix of a body is accepted
// or panics. Random damage alone did not find a missing bound in an escape.
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
