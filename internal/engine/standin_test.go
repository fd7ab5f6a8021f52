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

func standinHang() standin.Option {
	return standin.WithFault(base.Fault{Kind: base.FaultHang})
}

// prompt returns a prompt of the given length in tokens.
func prompt(tokens int, letter string) string {
	return strings.Repeat(letter, tokens*standin.TokenBytes)
}

// background runs a request and returns how it ended.
func (f fixture) background(ctx context.Context, r oleanderspool.GenerateRequest) <-chan error {
	result := make(chan error, 1)
	go func() { result <- f.client.Generate(ctx, r, ignore) }()
	return result
}

// running waits until the engine generates for n requests.
func (f fixture) running(n int) {
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

// These specs guard against a stand-in that is more forgiving than an engine,
// and against a client that misreads it.
var _ = Describe("The stand-in's memory", func() {
	It("belongs to owners until it is cancelled or the answer ends", func(ctx context.Context) {
		f := start(standin.WithSize(1000))
		Expect(f.client.Reserve(ctx, "group", 600)).To(Succeed())
		Expect(isType(f.client.Reserve(ctx, "other", 401), oleanderspool.ErrUnavailable)).To(BeTrue())
		result := f.background(ctx, request("a", prompt(10, "p"), 350))
		f.running(1)
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

	It("serves a prompt of more than two engines from a group's reservation", func(ctx context.Context) {
		f := start(standin.WithSize(1000))
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

	It("is freed when the connection is lost, unless the engine leaks", func(ctx context.Context) {
		for _, leak := range []bool{false, true} {
			var options []standin.Option
			if leak {
				options = append(options, standin.WithLeak())
			}
			f := start(options...)
			leaving, leave := context.WithCancel(ctx)
			result := f.background(leaving, request("a", "p", 5000))
			f.running(1)
			leave()
			Expect(<-result).To(HaveOccurred())
			f.running(0)
			entries, err := f.client.Allocations(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(entries).To(HaveLen(map[bool]int{false: 0, true: 1}[leak]))
			Expect(f.client.Cancel(ctx, "a")).To(Succeed())
			Expect(f.client.Allocations(ctx)).To(BeEmpty())
		}
	})

	// Guards against a handler that a fault ends and that leaves its request running.
	It("is freed when a fault cuts the answer", func(ctx context.Context) {
		f := start(standin.WithFault(base.Fault{Kind: base.FaultCut, Path: "/v1/chat", Bytes: 100}))
		Expect(f.client.Generate(ctx, request("a", "p", 5000), ignore)).NotTo(Succeed())
		Eventually(func() ([]oleanderspool.MemoryAllocation, error) { return f.client.Allocations(ctx) }).Should(BeEmpty())
	})

	It("moves with an export and import", func(ctx context.Context) {
		from, to := start(), start()
		result := from.background(ctx, request("a", prompt(100, "p"), 5000))
		from.running(1)
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
	It("prefills in chunks while others generate, higher priority first", func(ctx context.Context) {
		f := start(standin.WithPrefillRate(10), standin.WithChunk(100))
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

	It("takes the time of its prefill and tokens, and more when slow", func(ctx context.Context) {
		f := start(standin.WithPrefillRate(10), standin.WithTokenTime(2), standin.WithCache(0))
		span := func(attempt string) time.Duration {
			begin := time.Now()
			Expect(f.client.Generate(ctx, request(attempt, prompt(1000, "p"), 50), ignore)).To(Succeed())
			return time.Since(begin)
		}
		normal := span("a")
		Expect(normal).To(BeNumerically(">=", 180*time.Millisecond))
		f.engine.Slow(3)
		Expect(span("b")).To(BeNumerically(">=", 540*time.Millisecond))
	})

	It("refuses what it cannot take", func(ctx context.Context) {
		f := start(standin.WithMaxWaiting(1))
		f.engine.Pause()
		first := f.background(ctx, request("a", "p", 5))
		Eventually(func() int { return len(f.engine.Requests()) }).Should(Equal(1))
		Expect(f.client.Generate(ctx, request("a", "p", 5), ignore)).To(MatchError(ContainSubstring("in use")))
		Expect(isType(f.client.Generate(ctx, request("b", "p", 5), ignore), oleanderspool.ErrUnavailable)).To(BeTrue())
		r := request("c", "p", 5)
		r.Model = "unknown"
		Expect(f.client.Generate(ctx, r, ignore)).To(MatchError(ContainSubstring("not loaded")))
		f.engine.Resume()
		Expect(<-first).To(Succeed())
	})

	// Guards against an engine that works on after the time limit when its caller
	// does not leave.
	It("ends an answer by itself at the time limit", func() {
		f := start()
		body := `{"model":"ode","prompt":"p","max_tokens":100000,"request_id":"a","timeout_ms":50}`
		response, err := http.Post("http://"+f.address+"/v1/completions", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(f.engine.Requests()[0].Outcome).To(Equal("time limit"))
	})

	It("answers as a whole when no stream is asked for", func() {
		f := start(standin.WithAnswerTokens(3))
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
	It("is caused by the marker, ends all requests and loses memory and models", func(ctx context.Context) {
		f := start(standin.WithDownTime(200))
		before, err := f.client.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.client.Apply(ctx, oleanderspool.Order{Kind: oleanderspool.OrderLoad, Model: "sonnet", FencingToken: 5})).To(Succeed())
		Expect(f.client.Reserve(ctx, "group", 100)).To(Succeed())
		bystander := f.background(ctx, request("a", "p", 5000))
		f.running(1)
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
	It("load, unload and are fenced", func(ctx context.Context) {
		f := start()
		order := func(kind oleanderspool.OrderKind, adapter oleanderspool.AdapterID, fencing int64) error {
			return f.client.Apply(ctx, oleanderspool.Order{Kind: kind, Model: "sonnet", Adapter: adapter, FencingToken: fencing})
		}
		Expect(order(oleanderspool.OrderLoad, "", 5)).To(Succeed())
		Expect(order(oleanderspool.OrderLoad, "wedding", 6)).To(Succeed())
		Expect(isType(order(oleanderspool.OrderUnload, "", 4), oleanderspool.ErrFenced)).To(BeTrue())
		r := request("a", "p", 5000)
		r.Model, r.Adapter = "sonnet", "wedding"
		result := f.background(ctx, r)
		f.running(1)
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

	// Guards against orders that overlap and take effect in the wrong order, and
	// against one that takes effect in an engine that was restarted meanwhile.
	It("are carried out one by one and end with the engine's run", func(ctx context.Context) {
		f := start(standin.WithLoadTime(100), standin.WithDownTime(1))
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

	It("are not fenced by an engine that ignores the number", func(ctx context.Context) {
		f := start(standin.WithoutFencing())
		for _, fencing := range []int64{5, 4} {
			Expect(f.client.Apply(ctx, oleanderspool.Order{Kind: oleanderspool.OrderLoad, Model: "m", FencingToken: fencing})).To(Succeed())
		}
	})
})

var _ = Describe("The stand-in's prefix cache", func() {
	It("shortens prefill, evicts, and reports late with gaps", func(ctx context.Context) {
		f := start(standin.WithCache(512), standin.WithEvents(50, 3))
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
