package engine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	base "github.com/oleanderspool/oleanderspool/internal/standin"
	standin "github.com/oleanderspool/oleanderspool/internal/standin/engine"
)

func withHang() standin.Option {
	return standin.WithFault(base.Fault{Kind: base.FaultHang})
}

// prompt returns a prompt of the given length in tokens.
func prompt(tokens int, letter string) string {
	return strings.Repeat(letter, tokens*standin.TokenBytes)
}

// generateAsync starts a request and returns a channel for its result.
func (f fixture) generateAsync(ctx context.Context, r oleanderspool.GenerateRequest) <-chan error {
	result := make(chan error, 1)
	go func() { result <- f.client.Generate(ctx, r, ignore) }()
	return result
}

// awaitRunning waits until exactly n requests are generating tokens.
func (f fixture) awaitRunning(n int) {
	GinkgoHelper()
	Eventually(func() int {
		count := 0
		for _, r := range f.engine.Requests() {
			if r.Outcome == standin.OutcomeRunning && r.Generated > 0 {
				count++
			}
		}
		return count
	}).Should(Equal(n))
}

// These specs guard against a stand-in that accepts what an engine would not,
// and against a client that misinterprets its responses.
var _ = Describe("The stand-in's memory", func() {
	It("is held by its owner until the owner is cancelled or its answer ends", func(ctx context.Context) {
		f := newFixture(standin.WithMemorySize(1000))
		Expect(f.client.Reserve(ctx, "group", 600)).To(Succeed())
		Expect(isType(f.client.Reserve(ctx, "other", 401), oleanderspool.ErrUnavailable)).To(BeTrue())
		result := f.generateAsync(ctx, request("a", prompt(10, "p"), 350))
		f.awaitRunning(1)
		Expect(f.client.Allocations(ctx)).To(Equal([]oleanderspool.MemoryAllocation{{Owner: "a", Tokens: 360}, {Owner: "group", Tokens: 600}}))
		Expect(f.client.Cancel(ctx, "a")).To(Succeed())
		Expect(<-result).To(MatchError(ContainSubstring("cancelled")))
		Expect(f.client.Cancel(ctx, "group")).To(Succeed())
		Expect(f.client.Cancel(ctx, "unknown")).To(Succeed())
		Expect(f.client.Allocations(ctx)).To(BeEmpty())
		Eventually(func() int64 {
			report, err := f.client.Report(ctx)
			Expect(err).NotTo(HaveOccurred())
			return report.FreeTokens
		}).Should(Equal(int64(1000)))
	})

	It("serves a prompt larger than two engines from the reservation of a group", func(ctx context.Context) {
		f := newFixture(standin.WithMemorySize(1000))
		r := request("a", prompt(2490, "p"), 10)
		Expect(isType(f.client.Generate(ctx, r, ignore), oleanderspool.ErrInvalid)).To(BeTrue())
		r.Group, r.Engines = "group", 3
		Expect(isType(f.client.Generate(ctx, r, ignore), oleanderspool.ErrUnavailable)).To(BeTrue())
		Expect(f.client.Reserve(ctx, "group", 834)).To(Succeed())
		var a answer
		Expect(f.client.Generate(ctx, r, a.emit)).To(Succeed())
		Expect(a.text.String()).To(Equal(standin.Text(r.Prompt, 0, 10)))
		Expect(f.client.Allocations(ctx)).To(HaveLen(1))
	})

	It("is freed when the connection is lost, unless the engine leaks memory", func(ctx context.Context) {
		for _, leak := range []bool{false, true} {
			var options []standin.Option
			if leak {
				options = append(options, standin.WithMemoryLeak())
			}
			f := newFixture(options...)
			callCtx, cancel := context.WithCancel(ctx)
			result := f.generateAsync(callCtx, request("a", "p", 5000))
			f.awaitRunning(1)
			cancel()
			Expect(<-result).To(HaveOccurred())
			f.awaitRunning(0)
			allocations, err := f.client.Allocations(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(allocations).To(HaveLen(map[bool]int{false: 0, true: 1}[leak]))
			Expect(f.client.Cancel(ctx, "a")).To(Succeed())
			Expect(f.client.Allocations(ctx)).To(BeEmpty())
		}
	})

	// Guards against a request that keeps running after a fault ended its
	// handler.
	It("is freed when a fault truncates the answer", func(ctx context.Context) {
		f := newFixture(standin.WithFault(base.Fault{Kind: base.FaultTruncate, Path: "/v1/chat", Bytes: 100}))
		Expect(f.client.Generate(ctx, request("a", "p", 5000), ignore)).NotTo(Succeed())
		Eventually(func() ([]oleanderspool.MemoryAllocation, error) { return f.client.Allocations(ctx) }).Should(BeEmpty())
	})

	It("is allocated to the new owner when a KV cache is exported and imported", func(ctx context.Context) {
		from, to := newFixture(), newFixture()
		result := from.generateAsync(ctx, request("a", prompt(100, "p"), 5000))
		from.awaitRunning(1)
		data, err := from.client.Export(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(to.client.Import(ctx, "b", data)).To(Succeed())
		Expect(to.client.Allocations(ctx)).To(HaveLen(1))
		Expect(to.client.Generate(ctx, request("b", prompt(100, "p"), 5), ignore)).To(Succeed())
		Expect(to.client.Allocations(ctx)).To(BeEmpty())
		Expect(isType(to.client.Import(ctx, "b", []byte("x")), oleanderspool.ErrInvalid)).To(BeTrue())
		_, err = to.client.Export(ctx, "b")
		Expect(isType(err, oleanderspool.ErrInvalid)).To(BeTrue())
		Expect(from.client.Cancel(ctx, "a")).To(Succeed())
		<-result
	})
})

var _ = Describe("The stand-in's batch", func() {
	It("prefills in chunks, so that requests of higher priority finish first", func(ctx context.Context) {
		f := newFixture(standin.WithPrefillRate(10), standin.WithChunkTokens(100))
		var mutex sync.Mutex
		var order []string
		run := func(r oleanderspool.GenerateRequest) {
			defer GinkgoRecover()
			Expect(f.client.Generate(ctx, r, ignore)).To(Succeed())
			mutex.Lock()
			defer mutex.Unlock()
			order = append(order, string(r.Attempt))
		}
		var group sync.WaitGroup
		f.engine.Pause()
		for _, q := range []struct {
			name     string
			tokens   int
			priority int
		}{{"long", 5000, 1}, {"low", 3000, 0}, {"urgent", 1000, 2}} {
			r := request(q.name, prompt(q.tokens, q.name[:1]), 5)
			r.Priority = q.priority
			group.Go(func() { run(r) })
		}
		Eventually(func() int { return len(f.engine.Requests()) }).Should(Equal(3))
		f.engine.Resume()
		group.Wait()
		Expect(order).To(Equal([]string{"urgent", "long", "low"}))
	})

	It("takes the time of its prefill rate and token time, and longer when slowed down", func(ctx context.Context) {
		f := newFixture(standin.WithPrefillRate(10), standin.WithTokenTime(2), standin.WithCacheSize(0))
		duration := func(attempt string) time.Duration {
			begin := time.Now()
			Expect(f.client.Generate(ctx, request(attempt, prompt(1000, "p"), 50), ignore)).To(Succeed())
			return time.Since(begin)
		}
		normal := duration("a")
		Expect(normal).To(BeNumerically(">=", 180*time.Millisecond))
		f.engine.SetSlowdown(3)
		Expect(duration("b")).To(BeNumerically(">=", 540*time.Millisecond))
	})

	It("refuses a duplicate attempt, a request beyond its queue and an unknown model", func(ctx context.Context) {
		f := newFixture(standin.WithMaxWaiting(1))
		f.engine.Pause()
		first := f.generateAsync(ctx, request("a", "p", 5))
		Eventually(func() int { return len(f.engine.Requests()) }).Should(Equal(1))
		Expect(f.client.Generate(ctx, request("a", "p", 5), ignore)).To(MatchError(ContainSubstring("in use")))
		Expect(isType(f.client.Generate(ctx, request("b", "p", 5), ignore), oleanderspool.ErrUnavailable)).To(BeTrue())
		r := request("c", "p", 5)
		r.Model = "unknown"
		Expect(f.client.Generate(ctx, r, ignore)).To(MatchError(ContainSubstring("not loaded")))
		f.engine.Resume()
		Expect(<-first).To(Succeed())
	})

	// Guards against an engine that keeps generating past the time limit while
	// its caller stays connected.
	It("ends a request at its time limit while the caller stays connected", func() {
		f := newFixture()
		body := `{"model":"ode","prompt":"p","max_tokens":100000,"request_id":"a","timeout_ms":50}`
		response, err := http.Post("http://"+f.address+"/v1/completions", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(f.engine.Requests()[0].Outcome).To(Equal("time limit"))
	})

	It("sends the whole answer at once when no stream is requested", func() {
		f := newFixture(standin.WithAnswerTokens(3))
		body := `{"model":"ode","messages":[{"role":"user","content":"p"}],"max_tokens":9,"request_id":"a"}`
		response, err := http.Post("http://"+f.address+"/v1/chat/completions", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(And(ContainSubstring(standin.Text("p", 0, 3)), ContainSubstring(`"finish_reason":"stop"`)))
	})
})

var _ = Describe("The stand-in's crash", func() {
	It("is caused by the crash marker, ends all requests and loses memory and models", func(ctx context.Context) {
		f := newFixture(standin.WithDowntime(200))
		before, err := f.client.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.client.Apply(ctx, oleanderspool.Order{Kind: oleanderspool.OrderLoad, Model: "sonnet", FencingToken: 5})).To(Succeed())
		Expect(f.client.Reserve(ctx, "group", 100)).To(Succeed())
		bystander := f.generateAsync(ctx, request("a", "p", 5000))
		f.awaitRunning(1)
		err = f.client.Generate(ctx, request("b", "please "+standin.DefaultCrashMarker, 5), ignore)
		Expect(isType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
		Expect(<-bystander).To(HaveOccurred())
		_, err = f.client.Report(ctx)
		Expect(err).To(HaveOccurred())
		Eventually(func() error {
			_, err := f.client.Report(ctx)
			return err
		}).Should(Succeed())
		after, err := f.client.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.RunID).NotTo(Equal(before.RunID))
		Expect(after.Models).To(Equal([]oleanderspool.ModelID{"ode"}))
		Expect(f.client.Allocations(ctx)).To(BeEmpty())
		Expect(f.engine.Crashes()).To(Equal(1))
		Expect(f.client.Generate(ctx, request("a", "p", 5), ignore)).To(Succeed())
	})
})

var _ = Describe("The stand-in's orders", func() {
	It("load and unload models and adapters and are fenced", func(ctx context.Context) {
		f := newFixture()
		order := func(kind oleanderspool.OrderKind, adapter oleanderspool.AdapterID, fencing int64) error {
			return f.client.Apply(ctx, oleanderspool.Order{Kind: kind, Model: "sonnet", Adapter: adapter, FencingToken: fencing})
		}
		Expect(order(oleanderspool.OrderLoad, "", 5)).To(Succeed())
		Expect(order(oleanderspool.OrderLoad, "wedding", 6)).To(Succeed())
		Expect(isType(order(oleanderspool.OrderUnload, "", 4), oleanderspool.ErrFenced)).To(BeTrue())
		r := request("a", "p", 5000)
		r.Model, r.Adapter = "sonnet", "wedding"
		result := f.generateAsync(ctx, r)
		f.awaitRunning(1)
		Expect(order(oleanderspool.OrderUnload, "wedding", 6)).To(Succeed())
		Expect(<-result).To(MatchError(ContainSubstring("unloaded")))
		Eventually(func() []oleanderspool.ModelID {
			report, err := f.client.Report(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(report.Adapters)).To(BeNumerically("<=", 1))
			return report.Models
		}).Should(Equal([]oleanderspool.ModelID{"ode", "sonnet"}))
		Expect(isType(order("explode", "", 7), oleanderspool.ErrInvalid)).To(BeTrue())
	})

	// Guards against orders that overlap and take effect in the wrong sequence,
	// and against one that takes effect after the engine has restarted.
	It("are carried out one at a time and fail when the engine restarts", func(ctx context.Context) {
		f := newFixture(standin.WithLoadTime(100), standin.WithDowntime(1))
		load := func(model string) error {
			return f.client.Apply(ctx, oleanderspool.Order{Kind: oleanderspool.OrderLoad, Model: oleanderspool.ModelID(model)})
		}
		begin := time.Now()
		var orders sync.WaitGroup
		for _, model := range []string{"a", "b"} {
			orders.Go(func() {
				defer GinkgoRecover()
				Expect(load(model)).To(Succeed())
			})
		}
		orders.Wait()
		Expect(time.Since(begin)).To(BeNumerically(">=", 200*time.Millisecond))
		result := make(chan error, 1)
		go func() { result <- load("c") }()
		time.Sleep(50 * time.Millisecond)
		f.engine.Crash()
		Expect(isType(<-result, oleanderspool.ErrUncertain)).To(BeTrue())
		Eventually(func() []oleanderspool.ModelID {
			report, _ := f.client.Report(ctx)
			return report.Models
		}).Should(Equal([]oleanderspool.ModelID{"ode"}))
	})

	It("are not fenced by an engine that ignores fencing tokens", func(ctx context.Context) {
		f := newFixture(standin.WithoutFencing())
		for _, fencing := range []int64{5, 4} {
			Expect(f.client.Apply(ctx, oleanderspool.Order{Kind: oleanderspool.OrderLoad, Model: "m", FencingToken: fencing})).To(Succeed())
		}
	})
})

var _ = Describe("The stand-in's prefix cache", func() {
	It("shortens prefill, evicts prefixes, and reports events late and with gaps", func(ctx context.Context) {
		f := newFixture(standin.WithCacheSize(512), standin.WithCacheEvents(50, 3))
		run := func(attempt string, letter string) {
			Expect(f.client.Generate(ctx, request(attempt, prompt(600, letter), 1), ignore)).To(Succeed())
		}
		run("a", "p")
		Expect(f.client.CacheEvents(ctx, 0)).To(BeEmpty())
		run("b", "p")
		Expect(f.engine.Requests()[1].CachedTokens).To(Equal(int64(512)))
		run("c", "q")
		var events []oleanderspool.CacheEvent
		Eventually(func() []oleanderspool.CacheEvent {
			var err error
			events, err = f.client.CacheEvents(ctx, 0)
			Expect(err).NotTo(HaveOccurred())
			return events
		}).Should(HaveLen(4))
		sequences, evicted := []int64{}, 0
		for _, e := range events {
			sequences = append(sequences, e.Sequence)
			if e.Evicted {
				evicted++
			}
		}
		Expect(sequences).To(Equal([]int64{1, 2, 4, 5}))
		Expect(evicted).To(Equal(1))
		Expect(f.client.CacheEvents(ctx, 4)).To(HaveLen(1))
		Expect(events[0].Prefix).To(Equal(standin.Prefix("ode", prompt(600, "p"), 256)))
	})
})
