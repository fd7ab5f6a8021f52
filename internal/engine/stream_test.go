package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/engine"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// recorder is an engine that records requests and sends the same response to
// all.
type recorder struct {
	status int
	answer string
	log    strings.Builder
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body := new(strings.Builder)
	_ = q.Write(body)
	text := strings.ReplaceAll(body.String(), q.Host, "ENGINE")
	fmt.Fprintf(&r.log, "%s\n\n", strings.ReplaceAll(strings.TrimSpace(text), "\r\n", "\n"))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.answer))
}

func newRecorder(status int, answer string) (*recorder, *engine.Client) {
	r := &recorder{status: status, answer: answer}
	server := httptest.NewServer(r)
	DeferCleanup(server.Close)
	return r, engine.NewClient(server.Listener.Addr().String())
}

func ignore(string, int, string) {}

var _ = Describe("Codec", func() {
	// Guards against unintended changes of the requests that engines receive.
	It("encodes every call as in the golden file", func(ctx context.Context) {
		r, c := newRecorder(200, `{}`)
		q := request("attempt-1", "<prompt> & \"more\"\n", 5)
		q.Adapter, q.Priority = "wedding", 3
		_ = c.Generate(ctx, q, ignore)
		q.GeneratedText = "so far"
		q.Group, q.Engines = "group-1", 3
		_ = c.Generate(ctx, q, ignore)
		Expect(c.Cancel(ctx, "attempt-1")).To(Succeed())
		_, _ = c.Report(ctx)
		_, _ = c.Allocations(ctx)
		Expect(c.Apply(ctx, oleanderspool.Order{
			Kind: oleanderspool.OrderLoad, Model: "ode", Version: "v2", Adapter: "wedding", Role: "prefill", FencingToken: 7,
		})).To(Succeed())
		Expect(c.Reserve(ctx, "group-1", 100)).To(Succeed())
		_, _ = c.Export(ctx, "attempt-1")
		Expect(c.Import(ctx, "a b&c", []byte("cache"))).To(Succeed())
		_, _ = c.CacheEvents(ctx, 12)
		expectGolden("requests", r.log.String())
	})

	// Guards against treating an incomplete answer as complete, and against
	// lost chunks.
	streams := []struct {
		name string
		body string
		text string
		err  *errorx.Type
	}{
		{"complete", chunk("a", "1", "") + chunk("b", "3", "stop") + done, "a/1 b/2 /0stop", nil},
		{"no token counts", chunk("a", "", "") + chunk("b", "", "stop") + done, "a/1 b/1 /0stop", nil},
		{"comments and usage", ": c\n\n" + chunk("a", "1", "length") + "data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\n" + done, "a/1 /0length", nil},
		{"no [DONE] event", chunk("a", "1", "stop"), "a/1", oleanderspool.ErrUncertain},
		{"no finish reason", chunk("a", "1", "") + done, "a/1", oleanderspool.ErrUncertain},
		{"truncated chunk", chunk("a", "1", "") + "data: {\"choices\":", "a/1", oleanderspool.ErrUncertain},
		{"malformed chunk", chunk("a", "1", "") + "data: {\"choices\":3}\n\n" + done, "a/1", oleanderspool.ErrUncertain},
		{"error event", chunk("a", "1", "") + "data: {\"error\":{\"message\":\"m\"}}\n\n" + done, "a/1", oleanderspool.ErrUncertain},
		{"empty body", "", "", oleanderspool.ErrUncertain},
	}
	for _, s := range streams {
		It("reads a stream: "+s.name, func(ctx context.Context) {
			_, c := newRecorder(200, s.body)
			var emitted []string
			err := c.Generate(ctx, request("a", "p", 5), func(text string, tokens int, finish string) {
				emitted = append(emitted, fmt.Sprintf("%s/%d%s", text, tokens, finish))
			})
			Expect(strings.Join(emitted, " ")).To(Equal(s.text))
			if s.err == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(isType(err, s.err)).To(BeTrue(), "%v", err)
			}
		})
	}

	// Guards against treating a refused request as one that may have run, and
	// the reverse.
	refusals := []struct {
		status int
		body   string
		err    *errorx.Type
	}{
		{503, `{"error":{"code":"queue_full","effect":"none"}}`, oleanderspool.ErrUnavailable},
		{507, `{"error":{"effect":"none"}}`, oleanderspool.ErrUnavailable},
		{429, `{"error":{"effect":"none"}}`, oleanderspool.ErrUnavailable},
		{409, `{"error":{"code":"fenced","effect":"none"}}`, oleanderspool.ErrFenced},
		{400, `{"error":{"message":"m"}}`, oleanderspool.ErrInvalid},
		{503, `{"error":{"message":"m"}}`, oleanderspool.ErrUncertain},
		{500, `{"error":{"message":"m"}}`, oleanderspool.ErrUncertain},
		{502, `<html>`, oleanderspool.ErrUncertain},
	}
	for _, c := range refusals {
		It(fmt.Sprintf("maps the response %d %s to an error type", c.status, c.body), func(ctx context.Context) {
			_, client := newRecorder(c.status, c.body)
			err := client.Generate(ctx, request("a", "p", 5), ignore)
			Expect(isType(err, c.err)).To(BeTrue(), "%v", err)
		})
	}

	It("returns an error for malformed reports, allocations and cache events", func(ctx context.Context) {
		for _, body := range []string{``, `[]`, `{}`, `{"events":[{"prefix":"xyz"}],"entries":{}}`} {
			_, c := newRecorder(200, body)
			_, err := c.Report(ctx)
			Expect(err).To(HaveOccurred())
			_, err = c.Allocations(ctx)
			Expect(err).To(HaveOccurred())
			if _, err = c.CacheEvents(ctx, 0); body != `{}` {
				Expect(err).To(HaveOccurred())
			}
		}
	})
})

const done = "data: [DONE]\n\n"

// chunk returns an event with text, the number of tokens generated so far and a
// finish reason. An empty number or reason is encoded as null.
func chunk(text, generated, finish string) string {
	usage, reason := "null", "null"
	if generated != "" {
		usage = `{"completion_tokens":` + generated + `}`
	}
	if finish != "" {
		reason = `"` + finish + `"`
	}
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%s}],\"usage\":%s}\n\n", text, reason, usage)
}

func expectGolden(name, got string) {
	GinkgoHelper()
	golden.Match(filepath.Join("testdata", name+".golden"), got)
}

var _ = Describe("Generate under faults", func() {
	// Guards against sending a request twice, and against ErrNotSent for a
	// request that may have run.
	It("sends the request once when the connection breaks", func(ctx context.Context) {
		for _, point := range []standin.BreakPoint{
			standin.BreakAfterAccept, standin.BreakAfterRequest, standin.BreakInHeader, standin.BreakInBody,
		} {
			server, err := standin.NewBrokenServer(point, chunk("a", "1", "stop")+done, 1)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			c := engine.NewClient(server.Address())
			Expect(c.Generate(ctx, request("a", "p", 5), ignore)).To(Succeed())
			err = c.Generate(ctx, request("a", "p", 5), ignore)
			Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
			Expect(server.Requests()).To(BeNumerically("<=", 2))
		}
	})

	// Guards against an answer that stalls until the request's time limit.
	It("fails when the engine sends no event for the idle timeout", func(ctx context.Context) {
		f := newFixture()
		c := engine.NewClient(f.address, engine.WithIdleTimeout(100))
		f.engine.AddFault(standin.Fault{Kind: standin.FaultStall, Path: "/v1/chat", Bytes: 300})
		begin := time.Now()
		err := c.Generate(ctx, request("a", "p", 1000), ignore)
		Expect(err).To(MatchError(ContainSubstring("no event")))
		Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
		Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
	})

	// Guards against keep-alive comments of the engine that hide a hung batch
	// from the client.
	It("fails when the engine's batch hangs", func(ctx context.Context) {
		f := newFixture()
		c := engine.NewClient(f.address, engine.WithIdleTimeout(1500))
		f.engine.Pause()
		Expect(c.Generate(ctx, request("a", "p", 5), ignore)).To(MatchError(ContainSubstring("no event")))
	})

	It("applies the first-event timeout if one is set, and the remaining time in any case", func(ctx context.Context) {
		f := newFixture(withHang())
		err := engine.NewClient(f.address, engine.WithFirstEventTimeout(50)).Generate(ctx, request("a", "p", 5), ignore)
		Expect(err).To(MatchError(ContainSubstring("no event")))
		q := request("a", "p", 5)
		q.Remaining = 50
		err = engine.NewClient(f.address).Generate(ctx, q, ignore)
		Expect(err).To(MatchError(ContainSubstring("deadline")))
		Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
	})

	// Guards against mistaking the time limit for a crash of the engine,
	// because the client's rounded timeout ends before the caller's own
	// deadline.
	It("does not end before its caller's own deadline", func(ctx context.Context) {
		f := newFixture(withHang())
		ctx, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
		defer cancel()
		q := request("a", "p", 5)
		q.Remaining = 50
		Expect(f.client.Generate(ctx, q, ignore)).To(MatchError(ContainSubstring("deadline")))
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
	})
})
