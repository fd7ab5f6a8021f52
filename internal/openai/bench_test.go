package openai_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// BenchmarkParseChat measures what parsing adds to the time to first token.
func BenchmarkParseChat(b *testing.B) {
	for _, tokens := range []int{1000, 100000, 1000000} {
		text := strings.Repeat("A line of a manifest, 12 \"pegs\".\n", tokens*4/33)
		quoted, err := json.Marshal(text)
		if err != nil {
			b.Fatal(err)
		}
		body := []byte(`{"model":"ode","messages":[{"role":"user","content":` + string(quoted) + `}]}`)
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := openai.ParseChat(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChunk measures the cost of each generated token in this package: the
// agent reads and parses an event of the engine, and the entry writes one.
func BenchmarkChunk(b *testing.B) {
	event := `data: {"id":"a-0001","object":"chat.completion.chunk","model":"ode","choices":[{"index":0,"delta":{"role":"assistant","content":"w123"},"finish_reason":null}],"usage":{"prompt_tokens":1000,"completion_tokens":7,"total_tokens":1007}}` + "\n\n"
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		events := openai.NewEventReader(strings.NewReader(strings.Repeat(event, b.N)))
		b.ResetTimer()
		for range b.N {
			e, err := events.Next()
			if err != nil {
				b.Fatal(err)
			}
			if c, err := openai.ParseChunk(e.Data); err != nil || c.Text == "" {
				b.Fatal(c, err)
			}
		}
	})
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		s := openai.NewStream(discardResponse{}, answerTemplate(true))
		for b.Loop() {
			if err := s.WriteText("w123"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// discardResponse is a response writer that discards what is written.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponse) WriteHeader(int)             {}
func (discardResponse) Flush()                      {}
