package forward_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// brokenStream returns a behaviour that sends the events after the last one that the caller
// has. The first answer to each request breaks off after a number of bytes, and arrives in
// parts that end at the given offsets.
func brokenStream(events []string, end int, cuts ...int) platformtest.Behaviour {
	var mu sync.Mutex
	asked := make(map[string]bool)
	return func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
		mu.Lock()
		first := !asked[q.Header.Get("X-Request-Id")]
		asked[q.Header.Get("X-Request-Id")] = true
		mu.Unlock()
		r.Sign(w, q)
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		rest := strings.Join(events[from:], "")
		if !first {
			_, _ = w.Write([]byte(rest))
			return true
		}
		sent, flush := 0, http.NewResponseController(w)
		for _, cut := range append(cuts, end) {
			_, _ = w.Write([]byte(rest[sent:cut]))
			_ = flush.Flush()
			sent = cut
		}
		panic(http.ErrAbortHandler)
	}
}

var _ = Describe("A stream with long lines", func() {
	const prompt = 1460 // tokens
	// Guards against an event that is passed on in part, and a stream resumed behind it,
	// since a line whose end is the first byte of the next buffer counts as an empty one.
	for _, lineEnd := range []string{"\n", "\r\n"} {
		It(fmt.Sprintf("is resumed after its last whole event, with line ends %q", lineEnd), func() {
			h := newHarness(0, 2)
			for _, size := range []int{4094, 4095, 4096, 4097, 8191, 8192, 8193, 12_288, 16_384} {
				line := "data: " + strings.Repeat("x", size-len("data: "))
				event := func(id int) string {
					return strings.Join([]string{fmt.Sprint("id: ", id), line, "data: end", "", ""}, lineEnd)
				}
				events := []string{event(1), event(2), event(3)}
				// The answer breaks off within the second event, after its long line.
				h.behave(brokenStream(events, len(event(1))+strings.Index(event(2), "data: end")+4))
				r := h.send(query{path: "/ask/1", prompt: prompt})
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.body == strings.Join(events, "")).To(BeTrue(), "line of %d bytes: %d bytes instead of %d", size, len(r.body), len(strings.Join(events, "")))
			}
		})
	}

	// Guards against streams that depend on how their bytes are cut into segments.
	It("is the same for all ways in which its bytes arrive", func() {
		const rounds = 60
		rng := rand.New(rand.NewPCG(20261207, 0))
		for range rounds {
			h := newHarness(0, 2) // its servers are avoided after many broken answers
			var events []string
			for id := range 4 {
				event := fmt.Sprintf("id: %d\n", id+1)
				for range 1 + rng.IntN(3) {
					event += "data: " + strings.Repeat("id: 9", (4090+rng.IntN(12)-len("data: "))/5) + strings.Repeat("x", rng.IntN(6)) + "\n"
				}
				events = append(events, event+"\n")
			}
			whole := strings.Join(events, "")
			end, cut := rng.IntN(len(whole)), 0
			if cut = rng.IntN(len(whole)); cut > end {
				cut, end = end, cut
			}
			h.behave(brokenStream(events, end, cut))
			r := h.send(query{path: "/ask/1", prompt: prompt})
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body == whole).To(BeTrue(), "broken off at %d of %d, cut at %d: %d bytes", end, len(whole), cut, len(r.body))
		}
	})
})
