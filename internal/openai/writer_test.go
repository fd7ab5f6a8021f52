package openai_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// answerTemplate returns the fields that identify the answers of the golden files.
func answerTemplate(chat bool) openai.Response {
	return openai.Response{Chat: chat, ID: "r-1", Model: "ode:wedding", Created: 1700000000}
}

// dump returns a response as it is sent.
func dump(w *httptest.ResponseRecorder) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", w.Code)
	keys := make([]string, 0, len(w.Header()))
	for k := range w.Header() {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, "%s: %s\n", k, w.Header().Get(k))
	}
	return b.String() + "\n" + w.Body.String()
}

var refusal = oleanderspool.Refuse(oleanderspool.RefusalOverloaded, "try later").WithRetryAfter(1001)

// responses holds a function for each golden file that writes the response.
var responses = []struct {
	name  string
	write func(w *httptest.ResponseRecorder) error
}{
	{"response_chat", func(w *httptest.ResponseRecorder) error {
		r := answerTemplate(true)
		r.Text, r.FinishReason, r.Usage = "two <pegs> & \"more\"\n", "stop", openai.Usage{PromptTokens: 3, GeneratedTokens: 4}
		return openai.WriteResponse(w, r)
	}},
	{"response_completion", func(w *httptest.ResponseRecorder) error {
		r := answerTemplate(false)
		r.Text, r.FinishReason = "é", "length"
		return openai.WriteResponse(w, r)
	}},
	{"stream_chat", func(w *httptest.ResponseRecorder) error { return stream(w, true) }},
	{"stream_completion", func(w *httptest.ResponseRecorder) error { return stream(w, false) }},
	{"stream_refused_first", func(w *httptest.ResponseRecorder) error {
		return openai.NewStream(w, answerTemplate(true)).WriteRefusal(refusal)
	}},
	{"stream_refused_later", func(w *httptest.ResponseRecorder) error {
		s := openai.NewStream(w, answerTemplate(true))
		if err := s.WriteText("a"); err != nil {
			return err
		}
		return s.WriteRefusal(refusal.WithExecution(oleanderspool.MayHaveRun))
	}},
	{"models", func(w *httptest.ResponseRecorder) error {
		return openai.WriteModels(w, []openai.Model{{ID: "ode", Created: 1}, {ID: "ode:wedding", Created: 2}})
	}},
	{"models_empty", func(w *httptest.ResponseRecorder) error { return openai.WriteModels(w, nil) }},
}

func stream(w *httptest.ResponseRecorder, chat bool) error {
	s := openai.NewStream(w, answerTemplate(chat))
	usage := openai.Usage{PromptTokens: 3, GeneratedTokens: 2}
	for _, step := range []func() error{
		s.WriteHeartbeat,
		func() error { return s.WriteText("one ") },
		func() error { return s.WriteText("two\n\n") },
		func() error { return s.Finish("stop", &usage) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

var _ = Describe("Writing", func() {
	// Guards against changes of the response format that callers receive.
	for _, c := range responses {
		It("writes "+c.name, func() {
			w := httptest.NewRecorder()
			Expect(c.write(w)).To(Succeed())
			expectGolden(c.name, dump(w))
		})
	}

	// Guards against a refusal reason without a mapped status, and against a body
	// that ParseRefusal reads differently.
	It("writes every refusal reason and reads it back", func() {
		var b strings.Builder
		for _, reason := range oleanderspool.RefusalReasons {
			w := httptest.NewRecorder()
			want := oleanderspool.Refuse(reason, "m").WithExecution(oleanderspool.Ran).WithRetryAfter(1)
			Expect(openai.WriteRefusal(w, want)).To(Succeed())
			Expect(w.Code).NotTo(Equal(500), string(reason))
			got, found := openai.ParseRefusal(w.Body.Bytes())
			Expect(found).To(BeTrue())
			Expect(got).To(Equal(want))
			fmt.Fprintf(&b, "%d %s\n", w.Code, strings.TrimSpace(w.Body.String()))
		}
		expectGolden("refusals", b.String())
	})

	It("rounds Retry-After up", func() {
		for _, c := range []struct{ delay, seconds int64 }{{0, 0}, {1, 1}, {1000, 1}, {1001, 2}, {2000, 2}} {
			Expect(openai.RetryAfterSeconds(oleanderspool.Millis(c.delay))).To(Equal(c.seconds))
		}
	})

	// Guards against chunks that are assembled from a cached prefix and suffix and
	// differ from those that encoding/json produces.
	It("writes the same chunk for every kind of text", func() {
		for _, chat := range []bool{true, false} {
			w := httptest.NewRecorder()
			f := answerTemplate(chat)
			f.ID = `text "text"`
			s := openai.NewStream(w, f)
			texts := []string{"first", "plain", "text", "<&>", "\"", "\\", "\n", "é", "\u2028", "\x7f", "again"}
			for _, text := range texts {
				Expect(s.WriteText(text)).To(Succeed())
			}
			for i, line := range strings.Split(strings.TrimSpace(w.Body.String()), "\n\n") {
				choice, object := any(map[string]any{"text": texts[i], "index": 0., "finish_reason": nil}), "text_completion"
				if chat {
					delta := map[string]any{"content": texts[i]}
					if i == 0 {
						delta["role"] = "assistant"
					}
					choice, object = map[string]any{"delta": delta, "index": 0., "finish_reason": nil}, "chat.completion.chunk"
				}
				var got any
				Expect(json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &got)).To(Succeed())
				Expect(got).To(Equal(map[string]any{
					"id": f.ID, "object": object, "created": 1.7e9, "model": f.Model, "choices": []any{choice},
				}))
			}
		}
	})

	// Guards against chunks that EventReader and ParseChunk cannot read.
	It("writes streams that the event reader reads", func() {
		for _, chat := range []bool{true, false} {
			w := httptest.NewRecorder()
			Expect(stream(w, chat)).To(Succeed())
			text, finish, done := readStream(w.Body)
			Expect(text).To(Equal("one two\n\n"))
			Expect(finish).To(Equal("stop"))
			Expect(done).To(BeTrue())
		}
	})
})

func readStream(r io.Reader) (text, finish string, done bool) {
	events := openai.NewEventReader(r)
	for {
		e, err := events.Next()
		if err != nil {
			Expect(err).To(Equal(io.EOF))
			return text, finish, done
		}
		if e.Comment {
			continue
		}
		if e.Done() {
			done = true
			continue
		}
		c, err := openai.ParseChunk(e.Data)
		Expect(err).NotTo(HaveOccurred())
		text += c.Text
		finish += c.FinishReason
	}
}

var _ = Describe("EventReader", func() {
	// Guards against events that are truncated, merged or unbounded in size.
	cases := []struct {
		name  string
		input string
		data  []string
		err   string
	}{
		{"both kinds of line endings", "data: a\r\n\r\ndata:b\n\n", []string{"a", "b"}, "EOF"},
		{"several data lines", "event: x\ndata: a\ndata: b\nid: 3\n\n", []string{"a\nb"}, "EOF"},
		{"comments", ": c\n\ndata: a\n\n", []string{" c", "a"}, "EOF"},
		{"empty data", "data:\n\n", []string{""}, "EOF"},
		{"a line longer than the buffer", "data: " + strings.Repeat("a", 5000) + "\ndata: b\n\ndata: c\n\n", []string{strings.Repeat("a", 5000) + "\nb", "c"}, "EOF"},
		{"input that ends in a line longer than the buffer", "data: " + strings.Repeat("a", 5000), nil, "unexpected EOF"},
		{"input that ends in a line", "data: a\n\ndata: b", []string{"a"}, "unexpected EOF"},
		{"input that ends in an event", "data: a\n", nil, "unexpected EOF"},
		{"a line that is too long", "data: " + strings.Repeat("a", 2<<20), nil, "longer"},
		{"an event that is too long", strings.Repeat("data: "+strings.Repeat("a", 1000)+"\n", 2000), nil, "longer"},
	}
	for _, c := range cases {
		It("handles "+c.name, func() {
			events := openai.NewEventReader(strings.NewReader(c.input))
			var got []string
			for {
				e, err := events.Next()
				if err != nil {
					Expect(err).To(MatchError(ContainSubstring(c.err)))
					break
				}
				got = append(got, string(e.Data))
			}
			Expect(got).To(Equal(c.data))
		})
	}
})
