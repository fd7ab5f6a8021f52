package engine_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/engine"
	standin "github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

// fixture holds a stand-in engine on loopback and a client of it.
type fixture struct {
	engine  *standin.Engine
	client  *engine.Client
	address string
}

func newFixture(options ...standin.Option) fixture {
	fast := []standin.Option{
		standin.WithModels("ode"), standin.WithTokenTime(1), standin.WithPrefillRate(1000),
		standin.WithReportInterval(1), standin.WithLoadTime(1), standin.WithCacheEvents(1, 0), standin.WithDowntime(50),
	}
	e := standin.New(append(fast, options...)...)
	server := httptest.NewServer(e)
	DeferCleanup(func() {
		e.ClearFaults()
		e.Close()
		server.CloseClientConnections()
		server.Close()
	})
	address := server.Listener.Addr().String()
	return fixture{engine: e, address: address, client: engine.NewClient(address, engine.WithTimeout(2000))}
}

func request(attempt, prompt string, tokens int) oleanderspool.GenerateRequest {
	return oleanderspool.GenerateRequest{
		Attempt: oleanderspool.AttemptID(attempt), Model: "ode", Prompt: prompt, MaxTokens: tokens, Remaining: 20000,
	}
}

// answer collects the chunks of an answer.
type answer struct {
	text   strings.Builder
	tokens int
	finish string
	chunks int
}

func (a *answer) emit(text string, tokens int, finish string) {
	a.text.WriteString(text)
	a.tokens += tokens
	a.finish += finish
	a.chunks++
}

func isType(err error, t *errorx.Type) bool {
	return errorx.IsOfType(err, t)
}

var _ = Describe("Generate", func() {
	// Guards against lost or repeated text, also when a partial answer is
	// continued.
	It("returns the whole text, and the same text if a partial answer is continued", func(ctx context.Context) {
		f := newFixture()
		var whole, first, second answer
		Expect(f.client.Generate(ctx, request("a", "a prompt", 40), whole.emit)).To(Succeed())
		Expect(whole.text.String()).To(Equal(standin.Text("a prompt", 0, 40)))
		Expect(whole.tokens).To(Equal(40))
		Expect(whole.finish).To(Equal("length"))

		Expect(f.client.Generate(ctx, request("b", "a prompt", 15), first.emit)).To(Succeed())
		r := request("c", "a prompt", 25)
		r.GeneratedText = first.text.String()
		Expect(f.client.Generate(ctx, r, second.emit)).To(Succeed())
		Expect(first.text.String() + second.text.String()).To(Equal(whole.text.String()))
	})

	// Guards against reporting that a request may have run although the engine
	// was down.
	It("returns ErrNotSent when the engine cannot be reached", func(ctx context.Context) {
		server := httptest.NewServer(nil)
		address := server.Listener.Addr().String()
		server.Close()
		err := engine.NewClient(address).Generate(ctx, request("a", "p", 1), func(string, int, string) {})
		Expect(isType(err, oleanderspool.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	// Guards against treating a truncated answer as complete.
	It("fails without a finish reason when the engine crashes", func(ctx context.Context) {
		f := newFixture(standin.WithTokenTime(5))
		var a answer
		err := f.client.Generate(ctx, request("a", "p", 1000), func(text string, tokens int, finish string) {
			a.emit(text, tokens, finish)
			if a.chunks == 2 {
				f.engine.Crash()
			}
		})
		Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
		Expect(a.finish).To(BeEmpty())
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
	})
})
