package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	platformstandin "github.com/oleanderspool/oleanderspool/internal/standin/platform"
)

const stream = oleanderspool.StreamClaim

// fixture is a platform stand-in on loopback with a client whose backoff uses a
// manual clock.
type fixture struct {
	platform *platformstandin.Platform
	client   *platform.Client
	clock    *clock.Manual
	address  string
}

func start(options ...platformstandin.Option) fixture {
	p := platformstandin.New(append([]platformstandin.Option{platformstandin.WithInstanceLag(0)}, options...)...)
	server := httptest.NewServer(p)
	DeferCleanup(func() {
		p.ClearFaults()
		server.CloseClientConnections()
		server.Close()
	})
	f := fixture{platform: p, address: server.Listener.Addr().String(), clock: clock.NewManual(0)}
	f.client = newClient(f.address, f.clock)
	return f
}

func newClient(address string, c oleanderspool.Clock) *platform.Client {
	return platform.NewClient(address, platform.WithClock(c), platform.WithTimeout(300),
		platform.WithJitter(func() float64 { return 0 }))
}

func (f fixture) append(ctx context.Context, texts ...string) (oleanderspool.Offset, error) {
	var data [][]byte
	for _, t := range texts {
		data = append(data, []byte(t))
	}
	return f.client.Append(ctx, stream, data)
}

// texts returns the records in the log.
func (f fixture) texts() []string {
	texts := []string{}
	for _, r := range f.platform.Records(stream) {
		texts = append(texts, string(r.Data))
	}
	return texts
}

func expectType(err error, t *errorx.Type) {
	GinkgoHelper()
	Expect(errorx.IsOfType(err, t)).To(BeTrue(), "%v", err)
}

// lateContext has a deadline and does not end when it passes, like a context on a
// busy machine whose timer runs late.
type lateContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the deadline.
func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

var _ = Describe("A response after the deadline of its call", func() {
	// Guards against a result that depends on whether the timer of the call or the
	// late response is handled first.
	It("counts as none, and as no failure of the platform if the caller set the deadline", func(ctx context.Context) {
		f := start(platformstandin.WithFault(standin.Fault{Kind: standin.FaultSlow, Delay: 600, Count: 2}))
		client := platform.NewClient(f.address, platform.WithClock(f.clock))
		late := func() context.Context { return lateContext{ctx, time.Now().Add(500 * time.Millisecond)} }
		_, err := client.Append(late(), stream, [][]byte{[]byte("a")})
		expectType(err, oleanderspool.ErrUncertain)
		Expect(f.texts()).To(Equal([]string{"a"}))
		_, _, err = client.Read(late(), stream, 1, 1, 0)
		expectType(err, oleanderspool.ErrUnavailable)
		Expect(client.Append(ctx, stream, [][]byte{[]byte("b")})).To(Equal(oleanderspool.Offset(2)))
		_, _, err = client.Read(ctx, stream, 1, 1, 0)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Append", func() {
	// Guards against an append of unknown outcome that is reported as without
	// effect, so that a key could be claimed twice, and against the reverse, which
	// costs an additional read.
	faults := []struct {
		fault    standin.Fault
		err      *errorx.Type
		appended bool
	}{
		{standin.Fault{Kind: standin.FaultOutage}, oleanderspool.ErrUnavailable, false},
		{standin.Fault{Kind: standin.FaultBreak}, oleanderspool.ErrUncertain, false},
		{standin.Fault{Kind: standin.FaultHang}, oleanderspool.ErrUncertain, false},
		{standin.Fault{Kind: standin.FaultLoseResponse}, oleanderspool.ErrUncertain, true},
		{standin.Fault{Kind: standin.FaultNoResponse}, oleanderspool.ErrUncertain, true},
		{standin.Fault{Kind: standin.FaultLate, Delay: 50}, oleanderspool.ErrUncertain, true},
		{standin.Fault{Kind: standin.FaultSlow, Delay: 600}, oleanderspool.ErrUncertain, true},
		{standin.Fault{Kind: standin.FaultTruncate, Bytes: 4}, oleanderspool.ErrUncertain, true},
		{standin.Fault{Kind: standin.FaultStall, Bytes: 4}, oleanderspool.ErrUncertain, true},
	}
	for _, c := range faults {
		It("classifies the error of an append under the fault "+string(c.fault.Kind), func(ctx context.Context) {
			f := start(platformstandin.WithFault(c.fault))
			_, err := f.append(ctx, "a", "b")
			expectType(err, c.err)
			if c.appended {
				Eventually(f.texts).Should(Equal([]string{"a", "b"}))
			} else {
				Consistently(f.texts, "100ms").Should(BeEmpty())
			}
		})
	}

	// Guards against error responses that are classified otherwise than they state.
	answers := []struct {
		name   string
		status int
		body   string
		err    *errorx.Type
	}{
		{"a 503 without a body", 503, "", oleanderspool.ErrUncertain},
		{"a 503 from an intermediary", 503, `{"error":"no upstream"}`, oleanderspool.ErrUncertain},
		{"a 503 that states no effect", 503, `{"error":{"message":"m","effect":"none"}}`, oleanderspool.ErrUnavailable},
		{"a 429 that states no effect", 429, `{"error":{"effect":"none"}}`, oleanderspool.ErrUnavailable},
		{"a 400 that states no effect", 400, `{"error":{"effect":"none"}}`, oleanderspool.ErrInvalid},
		{"a 500 that states an unknown effect", 500, `{"error":{"effect":"unknown"}}`, oleanderspool.ErrUncertain},
		{"a response with a malformed offset", 200, `{"first":"1"}`, oleanderspool.ErrUncertain},
		{"a response without an offset", 200, `{}`, oleanderspool.ErrUncertain},
		{"a redirect", 307, ``, oleanderspool.ErrUncertain},
	}
	for _, c := range answers {
		It("classifies "+c.name, func(ctx context.Context) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			DeferCleanup(server.Close)
			_, err := platform.NewClient(server.Listener.Addr().String()).Append(ctx, stream, [][]byte{{1}})
			expectType(err, c.err)
		})
	}

	// Guards against a retry by net/http of an append on a reused connection that
	// breaks.
	It("is sent once when the connection breaks", func(ctx context.Context) {
		for _, point := range []standin.BreakPoint{standin.BreakAfterRequest, standin.BreakInHeader, standin.BreakInBody} {
			server, err := standin.NewBrokenServer(point, `{"first":1}`, 1)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			client := platform.NewClient(server.Address())
			_, err = client.Append(ctx, stream, [][]byte{{1}})
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Append(ctx, stream, [][]byte{{1}})
			expectType(err, oleanderspool.ErrUncertain)
			Expect(server.Requests()).To(Equal(2))
		}
	})

	It("has no effect when nothing listens or the caller has cancelled it", func(ctx context.Context) {
		f := start()
		relay, err := link.New(f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		relay.Refuse()
		_, err = newClient(relay.Address(), f.clock).Append(ctx, stream, [][]byte{{1}})
		expectType(err, oleanderspool.ErrUnavailable)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = f.append(ended, "a")
		expectType(err, oleanderspool.ErrUnavailable)
		Expect(f.texts()).To(BeEmpty())
	})

	// Guards against an unresponsive idle connection that makes every later call
	// fail.
	It("uses new connections when the existing ones are unresponsive", func(ctx context.Context) {
		f := start()
		relay, err := link.New(f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		client := newClient(relay.Address(), f.clock)
		var reads sync.WaitGroup
		for range 3 {
			reads.Go(func() {
				defer GinkgoRecover()
				_, _, err := client.Read(ctx, stream, 1, 10, 50)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		reads.Wait()
		Expect(relay.Accepted()).To(Equal(3))
		relay.BlackHole()
		_, err = client.Append(ctx, stream, [][]byte{{1}})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = client.Read(ctx, stream, 1, 10, 0)
		expectType(err, oleanderspool.ErrUnavailable)
		f.clock.Advance(oleanderspool.Second)
		records, _, err := client.Read(ctx, stream, 1, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(1))
	})
})

var _ = Describe("Read", func() {
	It("returns records by offset and the head", func(ctx context.Context) {
		f := start()
		Expect(f.append(ctx, "a", "b")).To(Equal(oleanderspool.Offset(1)))
		Expect(f.append(ctx, "c")).To(Equal(oleanderspool.Offset(3)))
		records, head, err := f.client.Read(ctx, stream, 2, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(oleanderspool.Offset(3)))
		Expect(records).To(Equal([]oleanderspool.Record{{Offset: 2, Data: []byte("b")}}))
		records, head, err = f.client.Read(ctx, stream, 4, 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(BeEmpty())
		Expect(head).To(Equal(oleanderspool.Offset(3)))
	})

	It("waits for a record and skips the offsets of expired ones", func(ctx context.Context) {
		f := start()
		appended := make(chan error, 1)
		go func() {
			time.Sleep(50 * time.Millisecond)
			_, err := f.append(ctx, "a", "b", "c")
			appended <- err
		}()
		records, _, err := f.client.Read(ctx, stream, 1, 10, 5000)
		// The append must complete first: the end of the test would cancel it.
		Eventually(appended, "5s").Should(Receive(BeNil()))
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(3))
		f.platform.DropRecords(stream, 1)
		records, _, err = f.client.Read(ctx, stream, 1, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(Equal([]oleanderspool.Record{{Offset: 3, Data: []byte("c")}}))
	})

	// Guards against a reader that accepts impossible offsets.
	for _, body := range []string{
		`{}`, `{"records":[],"head":-1}`, `[]`, `{"records":[{"offset":1}],"head":1}`,
		`{"records":[{"offset":3},{"offset":3}],"head":3}`, `{"records":[{"offset":4}],"head":3}`,
		`{"records":[{"offset":2,"data":"*"}],"head":3}`,
	} {
		It("rejects the malformed response "+body, func(ctx context.Context) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			DeferCleanup(server.Close)
			_, _, err := platform.NewClient(server.Listener.Addr().String()).Read(ctx, stream, 2, 10, 0)
			expectType(err, oleanderspool.ErrUnavailable)
		})
	}

	It("fails on a response that exceeds the size limit", func(ctx context.Context) {
		f := start()
		_, err := f.append(ctx, strings.Repeat("a", 1000))
		Expect(err).NotTo(HaveOccurred())
		client := platform.NewClient(f.address, platform.WithMaxResponse(1000))
		_, _, err = client.Read(ctx, stream, 1, 10, 0)
		expectType(err, oleanderspool.ErrUnavailable)
	})
})

var _ = Describe("Calls of the instance list and the weight store", func() {
	It("return the instance list and the wait until a load may start", func(ctx context.Context) {
		f := start(platformstandin.WithWeightRate(10))
		list := []oleanderspool.InstanceState{
			{Instance: "i-1", DataCentre: "dc-1", Address: "127.0.0.1:1", Role: "model", Leaving: true},
		}
		Expect(f.client.Instances(ctx)).To(BeEmpty())
		f.platform.SetInstances(list)
		Expect(f.client.Instances(ctx)).To(Equal(list))
		Expect(f.client.Reserve(ctx, "ode/v1")).To(BeZero())
		wait, err := f.client.Reserve(ctx, "ode/v1")
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(BeNumerically("~", 75, 25))
		time.Sleep(wait.Duration())
		Expect(f.client.Reserve(ctx, "ode/v1")).To(BeZero())
	})

	It("report a lost response as unavailable for a read and as uncertain for a reservation", func(ctx context.Context) {
		f := start(platformstandin.WithFault(standin.Fault{Kind: standin.FaultLoseResponse}))
		_, err := f.client.Instances(ctx)
		expectType(err, oleanderspool.ErrUnavailable)
		_, err = f.client.Reserve(ctx, "ode/v1")
		expectType(err, oleanderspool.ErrUncertain)
	})
})

var _ = Describe("Backoff", func() {
	// Guards against an outage in which every call takes a whole timeout, and
	// against a platform whose recovery is not detected.
	It("allows one call after each delay, and all calls after a success", func(ctx context.Context) {
		f := start()
		relay, err := link.New(f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		client := newClient(relay.Address(), f.clock)
		relay.Cut(link.Forward)
		for range 100 {
			_, err := client.Append(ctx, stream, [][]byte{{1}})
			Expect(err).To(HaveOccurred())
			f.clock.Advance(100)
		}
		Expect(relay.Accepted()).To(And(BeNumerically(">=", 6), BeNumerically("<=", 10)))
		relay.Heal()
		f.clock.Advance(2 * oleanderspool.Second)
		for range 3 {
			_, err := client.Append(ctx, stream, [][]byte{{1}})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against a refusal, or a caller with a short deadline, that makes the
	// calls of others fail.
	It("does not count a refusal or a call with a short deadline as a failure", func(ctx context.Context) {
		f := start(platformstandin.WithAppendRate(4))
		_, err := f.append(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			_, err := f.append(ctx, "b")
			Expect(err).To(MatchError(ContainSubstring("429")))
		}
		f.platform.AddFault(standin.Fault{Kind: standin.FaultHang, Path: "/instances"})
		for range 2 {
			shortDeadline, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			_, err := f.client.Instances(shortDeadline)
			cancel()
			Expect(err).To(MatchError(ContainSubstring("deadline")))
		}
	})

	// Guards against a recovery of the platform that is detected only after the whole
	// wait of a long poll.
	It("does not wait in a read that probes the platform", func(ctx context.Context) {
		f := start(platformstandin.WithFault(standin.Fault{Kind: standin.FaultOutage, Count: 1}))
		_, _, err := f.client.Read(ctx, stream, 1, 1, 5000)
		expectType(err, oleanderspool.ErrUnavailable)
		f.clock.Advance(oleanderspool.Second)
		begin := time.Now()
		_, _, err = f.client.Read(ctx, stream, 1, 1, 5000)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
	})
})
