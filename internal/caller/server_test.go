package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/caller"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// fakeGateway answers a service call with one piece and a model request with
// three. It refuses a request whose prompt or body contains "refuse", and fails
// one that contains "break" after two pieces.
type fakeGateway struct {
	configuration configuration.Configuration
	served        int
	closed        bool // accepts no more requests
}

func newFakeGateway() *fakeGateway {
	c, err := configuration.New(
		configuration.WithPriorities(configuration.Priority{ID: "normal"}),
		configuration.WithServerSets(configuration.ServerSet{ID: "set"}.WithInstances("i-1")),
		configuration.WithVersions(configuration.Version{ID: "v1", Model: "m", Artefact: "m/v1"}),
		configuration.WithModels(configuration.Model{ID: "m", Version: "v1", Set: "set", MaxPromptTokens: 1000}),
		configuration.WithClientAccounts(configuration.ClientAccount{ID: "a", Priority: "normal", ShareOfCapacity: 1, KeyHash: configuration.HashKey("key")}),
		configuration.WithServiceRoutes(configuration.ServiceRoute{ID: "pegs", Set: "set"}),
	)
	Expect(err).NotTo(HaveOccurred())
	return &fakeGateway{configuration: c}
}

func (f *fakeGateway) Configuration() configuration.Configuration { return f.configuration }
func (f *fakeGateway) NewRequestID() oleanderspool.RequestID      { return "r-1" }
func (f *fakeGateway) Now() oleanderspool.Millis                  { return 0 }
func (f *fakeGateway) Ready() bool                                { return true }
func (f *fakeGateway) Accepting() bool                            { return !f.closed }
func (f *fakeGateway) Serve(_ context.Context, r oleanderspool.Request, emit func(oleanderspool.Piece) error) *oleanderspool.Refusal {
	f.served++
	text := r.Prompt + string(r.Body)
	if strings.Contains(text, "refuse") {
		return oleanderspool.Refuse(oleanderspool.RefusalAccountRateLimit, "too many").WithRetryAfter(1500)
	}
	if r.Kind == oleanderspool.KindService {
		return cancelled(emit(oleanderspool.Piece{Text: r.Method + " " + r.Path, Status: 201, Type: "text/plain", Final: true}))
	}
	for i, word := range []string{"one ", "two ", "three"} {
		if i == 2 && strings.Contains(text, "break") {
			return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "late").WithExecution(oleanderspool.MayHaveRun)
		}
		if err := emit(oleanderspool.Piece{Text: word, Tokens: 1, Finish: map[bool]string{true: "stop"}[i == 2], Final: i == 2}); err != nil {
			return cancelled(err)
		}
	}
	return nil
}

// lateBody calls a function when it is read.
type lateBody struct {
	io.Reader
	read func()
}

func (b *lateBody) Read(p []byte) (int, error) {
	b.read()
	return b.Reader.Read(p)
}

func cancelled(err error) *oleanderspool.Refusal {
	if err == nil {
		return nil
	}
	return oleanderspool.Refuse(oleanderspool.RefusalCancelled, err.Error())
}

// Guards against unnoticed changes of the format of responses and refusals, and
// against invalid input that reaches the gateway or gets more than one error.
var _ = Describe("Server", func() {
	chat := func(rest string) string {
		return `{"model":"m","messages":[{"role":"user","content":"hello"}]` + rest + `}`
	}
	cases := []struct {
		name, method, path, key, body string
		headers                       map[string]string
		served                        int
	}{
		{name: "whole answer", method: "POST", path: "/v1/chat/completions", key: "key", body: chat(""), served: 1},
		{name: "streamed answer", method: "POST", path: "/v1/chat/completions", key: "key", body: chat(`,"stream":true`), served: 1},
		{name: "completion", method: "POST", path: "/v1/completions", key: "key", body: `{"model":"m","prompt":"hello"}`, served: 1},
		{name: "refused before the first piece", method: "POST", path: "/v1/completions", key: "key", body: `{"model":"m","prompt":"refuse","stream":true}`, served: 1},
		{name: "refused in the stream", method: "POST", path: "/v1/completions", key: "key", body: `{"model":"m","prompt":"break","stream":true}`, served: 1},
		{name: "service call", method: "PUT", path: "/services/pegs/a%2Fb?c=d", key: "key", body: "x", served: 1},
		{name: "models", method: "GET", path: "/v1/models", key: "key"},
		{name: "no key", method: "POST", path: "/v1/chat/completions", body: chat("")},
		{name: "unknown key", method: "POST", path: "/v1/chat/completions", key: "other", body: chat("")},
		{name: "bad headers", method: "POST", path: "/v1/chat/completions", key: "key", body: chat(""), headers: map[string]string{"Request-Timeout": "soon", "Idempotency-Key": strings.Repeat("k", 300)}},
		{name: "malformed body", method: "POST", path: "/v1/chat/completions", key: "key", body: `{"model":`},
		{name: "body with several faults", method: "POST", path: "/v1/chat/completions", key: "key", body: `{"model":7,"messages":[{"role":"king","content":"x"}],"max_tokens":-1}`},
		{name: "unknown model", method: "POST", path: "/v1/completions", key: "key", body: `{"model":"n","prompt":"x"}`},
		{name: "unknown adapter", method: "POST", path: "/v1/completions", key: "key", body: `{"model":"m:x","prompt":"x"}`},
		{name: "prompt too long", method: "POST", path: "/v1/completions", key: "key", body: `{"model":"m","prompt":"` + strings.Repeat("word ", 1000) + `"}`},
		{name: "body too large", method: "POST", path: "/v1/completions", key: "key", body: strings.Repeat(" ", 20_000)},
		{name: "unknown route", method: "POST", path: "/services/tents/x", key: "key"},
		{name: "unknown resource", method: "GET", path: "/v2/x", key: "key"},
	}
	It("sends the responses in the golden file", func() {
		var out strings.Builder
		for _, c := range cases {
			g := newFakeGateway()
			limits := caller.DefaultLimits
			limits.BodyBytes = 16_000
			server := httptest.NewServer(caller.NewServer(g, caller.WithLimits(limits)))
			request, err := http.NewRequest(c.method, server.URL+c.path, strings.NewReader(c.body))
			Expect(err).NotTo(HaveOccurred())
			if c.key != "" {
				request.Header.Set("Authorization", "Bearer "+c.key)
			}
			for k, v := range c.headers {
				request.Header.Set(k, v)
			}
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred(), c.name)
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred(), c.name)
			_ = response.Body.Close()
			server.Close()
			Expect(g.served).To(Equal(c.served), c.name)
			fmt.Fprintf(&out, "== %s\n%d %s retry-after=%q\n%s\n", c.name, response.StatusCode,
				response.Header.Get("Content-Type"), response.Header.Get("Retry-After"), maskTime(string(body)))
		}
		golden.Match("testdata/server.golden", out.String())
	})

	// Guards against a request that is passed on late in a planned stop, since its body
	// took longer than the time for which requests are accepted.
	It("refuses a request when the entry stops accepting before its body has arrived", func() {
		gateway := newFakeGateway()
		body := &lateBody{Reader: strings.NewReader("work"), read: func() { gateway.closed = true }}
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/services/pegs", body)
		r.Header.Set("Authorization", "Bearer key")
		caller.NewServer(gateway).ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Body.String()).To(ContainSubstring(`"execution":"not_run"`))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(gateway.served).To(BeZero())
	})

	// Guards against slow senders that keep connections and memory in use.
	It("refuses a body that does not arrive in time", func() {
		limits := caller.DefaultLimits
		limits.BodyTimeout = 100
		server := httptest.NewServer(caller.NewServer(newFakeGateway(), caller.WithLimits(limits)))
		defer server.Close()
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: 50\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		response, _ := io.ReadAll(c)
		Expect(string(response)).To(ContainSubstring(`"reason":"slow_sender"`))
		Expect(string(response)).To(ContainSubstring(`"execution":"not_run"`))
	})
})

// maskTime replaces the creation times, which vary between runs, by 0.
func maskTime(s string) string {
	const field = `"created":`
	for from := 0; ; {
		i := strings.Index(s[from:], field)
		if i < 0 {
			return s
		}
		start := from + i + len(field)
		end := start
		for end < len(s) && s[end] >= '0' && s[end] <= '9' {
			end++
		}
		s = s[:start] + "0" + s[end:]
		from = start
	}
}
