package openai_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// BenchmarkParseChat shows what parsing adds to the time to first token.
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
