package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("A request of a plain service", func() {
	truncated := platformtest.RawAnswer(func(c net.Conn, id string) {
		platformtest.WriteRaw(c, id, true, "Content-Length: 100\r\n", "part")
	})
	unsigned := platformtest.RawAnswer(func(c net.Conn, id string) {
		platformtest.WriteRaw(c, id, false, "Content-Length: 2\r\n", "ok")
	})
	foreignFirst := platformtest.RawAnswer(func(c net.Conn, id string) {
		platformtest.WriteRaw(c, "other", true, "Content-Length: 5\r\n", "other")
		platformtest.WriteRaw(c, id, true, "Content-Length: 3\r\n", "own")
	})
	noise := platformtest.RawAnswer(func(c net.Conn, _ string) { _, _ = c.Write([]byte("\x00\x01 no answer\r\n\r\n")) })
	unavailable := func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
		r.Sign(w, q)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}

	// Guards against a second run of a request that must not run twice,
	// against a status that promises that the request did not run although it
	// did, and against an incomplete answer or that of another request.
	cases := []struct {
		name   string
		path   string
		behave platformtest.Behaviour
		status int
		body   string // "" for any
		runs   int
	}{
		{"runs once when there is no failure", "/reserve/1", nil, 200, "", 1},
		{"is not repeated after a lost answer when it is not idempotent", "/reserve/1", platformtest.LoseAnswer, 502, "", 1},
		{"is not repeated after a truncated answer when it is not idempotent", "/reserve/1", truncated, 502, "", 1},
		{"is not repeated after bytes that are no HTTP answer when it is not idempotent", "/reserve/1", noise, 502, "", 1},
		{"is not reported as not run after a 503 from its server when it is not idempotent", "/reserve/1", unavailable, 502, "", 1},
		{"keeps the status of a server's failure when it is not idempotent", "/reserve/1", platformtest.Fail, 500, "", 1},
		{"is sent to another server after a rejection when it is not idempotent", "/reserve/1", platformtest.Reject, 503, "", 0},
		{"is repeated after a lost answer when it is idempotent", "/lookup/1", platformtest.LoseAnswer, 502, "", 2},
		{"is repeated after a failure when it is idempotent", "/lookup/1", platformtest.Fail, 500, "", 2},
		{"never gets an unsigned success", "/lookup/1", unsigned, 502, "", 2},
		{"never gets the answer to another request", "/lookup/1", foreignFirst, 200, "own", 1},
		{"is served without a key on a public route", "/open/1", nil, 200, "", 1},
	}
	for _, c := range cases {
		It(c.name, func() {
			h := newHarness(3, 0)
			h.behave(c.behave)
			r := h.send(query{path: c.path})
			Expect(r.status).To(Equal(c.status))
			Expect(platformtest.AnswerRequestID(r.header)).To(Equal("request-1"))
			if c.body != "" {
				Expect(r.body).To(Equal(c.body))
			}
			Expect(h.runs()).To(Equal(c.runs))
			if r.status == http.StatusServiceUnavailable {
				Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
			}
			if r.status == 502 || r.status == 503 {
				Expect(platformtest.HasRunnerSignature(r.header)).To(BeFalse())
			}
		})
	}

	// Guards against a long answer that is truncated and looks complete.
	const long = 5 << 20
	longCases := []struct {
		name   string
		length string // header lines that frame the answer
		sent   int    // bytes of the body
		whole  bool
	}{
		{"in full when it has a Content-Length", fmt.Sprintf("Content-Length: %d\r\n", long), long, true},
		{"in full when it ends with its connection", "", long, true},
		{"as an error when it is truncated", fmt.Sprintf("Content-Length: %d\r\n", long), long - 1, false},
	}
	for _, c := range longCases {
		It("gets a long answer "+c.name, func() {
			h := newHarness(2, 0)
			h.behave(platformtest.RawAnswer(func(conn net.Conn, id string) {
				platformtest.WriteRaw(conn, id, true, c.length, strings.Repeat("x", c.sent))
			}))
			r := h.send(query{path: "/reserve/1"})
			Expect(r.status).To(Equal(200))
			if c.whole {
				Expect(r.err).NotTo(HaveOccurred())
				Expect(len(r.body)).To(Equal(long))
			} else {
				Expect(r.err).To(HaveOccurred())
			}
			Expect(h.runs()).To(Equal(1))
		})
	}

	// Guards against an answer without a body that gets the length 0.
	It("keeps the Content-Length of its server's answer when its method is HEAD", func() {
		h := newHarness(1, 0)
		h.behave(func(r *platformtest.Runner, rw http.ResponseWriter, q *http.Request) bool {
			r.Sign(rw, q)
			rw.Header().Set("Content-Length", "1234")
			return true
		})
		r := h.send(query{path: "/lookup/1", method: http.MethodHead})
		Expect(r.status).To(Equal(200))
		Expect(r.header.Get("Content-Length")).To(Equal("1234"))
	})

	// Guards against a hanging server that holds an idempotent request until
	// its deadline.
	It("is sent to another server when its server does not answer", func() {
		h := newHarness(2, 0)
		h.runners[0].SetBehaviour(platformtest.Hang)
		h.runners[1].SetBehaviour(platformtest.Hang)
		done := make(chan reply, 1)
		go func() { done <- h.send(query{path: "/lookup/1", method: http.MethodGet}) }()
		Eventually(h.runs, waitTimeout, pollInterval).Should(Equal(1))
		for _, r := range h.runners {
			if r.Runs() == 0 {
				r.SetBehaviour(nil)
			}
		}
		var r reply
		Eventually(done, waitTimeout).Should(Receive(&r))
		Expect(r.status).To(Equal(200))
	})

	// Guards against a request that waits beyond the timeout of its route, and
	// against a status that promises that it did not run.
	It("ends at the time limit of its route", func() {
		h := newHarness(1, 0)
		h.behave(platformtest.Hang)
		start := time.Now()
		r := h.send(query{path: "/reserve/1", deadline: 9000})
		Expect(r.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(start)).To(BeNumerically("~", 1500*time.Millisecond, 500*time.Millisecond))
		Expect(h.runners[0].Requests()[0].DeadlineMs).To(BeNumerically("<=", 1500))
	})

	// Guards against work for a caller that has closed its connection.
	It("is cancelled at its server when its caller closes the connection", func() {
		h := newHarness(1, 0)
		h.behave(platformtest.Hang)
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			response, err := h.open(ctx, query{path: "/reserve/1"})
			if err == nil {
				response.Body.Close()
			}
		}()
		Eventually(h.runs, waitTimeout, pollInterval).Should(Equal(1))
		leave()
		Eventually(h.runners[0].CancelledRequests, "500ms", pollInterval).Should(Equal(1))
	})

	// Guards against headers that only the entry may set, and against a key
	// that is passed on to backend servers.
	It("reaches its server only with headers that the entry set", func() {
		h := newHarness(1, 0)
		Expect(h.send(query{path: "/reserve/1", forged: true}).status).To(Equal(200))
		a := h.runners[0].Requests()[0]
		Expect(a.Account).To(Equal("crew"))
		Expect(a.Helpers).To(BeEmpty())
		Expect(a.Authorization).To(BeEmpty())
	})

	// Guards against a request that is run by another server that has taken
	// over the address.
	It("is not run by a server that took over an address", func() {
		h := newHarness(1, 0)
		h.runners[0].ID = "successor"
		r := h.send(query{path: "/reserve/1"})
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(h.runs()).To(BeZero())
	})
})

var _ = Describe("A request that crashes its servers", func() {
	// Guards against a request that crashes one server after the other.
	It("is refused after two crashes, and other requests are served", func() {
		h := newHarness(4, 0)
		h.behave(func(r *platformtest.Runner, rw http.ResponseWriter, q *http.Request) bool {
			if q.URL.Path == "/lookup/poison" {
				return platformtest.Crash(r, rw, q)
			}
			return false
		})
		for range 4 {
			h.send(query{path: "/lookup/poison"})
			time.Sleep(50 * time.Millisecond)
		}
		crashed := 0
		for _, r := range h.runners {
			for _, a := range r.Requests() {
				if a.Ran {
					crashed++
				}
			}
		}
		Expect(crashed).To(Equal(2))
		Expect(h.send(query{path: "/lookup/1"}).status).To(Equal(200))
	})

	// Guards against a common request that every entry refuses for a minute
	// because it was in flight when servers were lost for other reasons (soak
	// test, seed 2000), although it was answered in between.
	It("is no longer suspected after an answer, even when other entries report its earlier crashes again", func() {
		h := newHarness(3, 0)
		h.behave(platformtest.Crash)
		reported := func() []gossip.Crash { return h.gateway.State().Report(true).Crashes }
		h.send(query{path: "/reserve/1"})
		Eventually(reported, waitTimeout, pollInterval).Should(HaveLen(1))
		crashes := reported()
		h.behave(nil)
		other := crashes[0]
		other.Server.Instance, other.Age = "another", 900
		again := append([]gossip.Crash{other}, crashes...)
		Eventually(func() int { return h.send(query{path: "/reserve/1"}).status }, waitTimeout, pollInterval).Should(Equal(200))
		m := h.gateway.State().Report(true)
		Expect(m.Answered).To(ConsistOf(HaveField("Fingerprint", crashes[0].Request)))
		Expect(m.Crashes).To(BeEmpty())
		time.Sleep(5 * time.Millisecond)
		h.gateway.State().Apply(gossip.Message{RunID: 1, Crashes: again})
		Expect(h.send(query{path: "/reserve/1"}).status).To(Equal(200))
	})
})

var _ = Describe("A request while no buffer memory is left", func() {
	// Guards against requests that fail although they need no memory of the budget, and
	// against a request that is refused as not run and runs.
	long := strings.Repeat("x", 100<<10)
	cases := []struct {
		name, path, body, answer string
		status, runs             int
	}{
		{"is served when it and its answer are short", "/reserve/1", "short", "short", http.StatusOK, 1},
		{"is refused as not run when its body is long", "/reserve/1", long, "short", http.StatusServiceUnavailable, 0},
		{"gets a long answer as it arrives", "/reserve/1", "short", long, http.StatusOK, 1},
		{"fails when an event is long", "/ask/once/1", "short", "id: 1\ndata: " + long + "\n\n", http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		It(c.name, func() {
			h := newHarness(1, 1, forward.WithBufferMemory(1))
			h.behave(platformtest.RawAnswer(func(conn net.Conn, id string) {
				platformtest.WriteRaw(conn, id, true, fmt.Sprintf("Content-Length: %d\r\n", len(c.answer)), c.answer)
			}))
			r := h.send(query{path: c.path, body: c.body, prompt: 1000})
			Expect(r.status).To(Equal(c.status))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(h.runs()).To(Equal(c.runs))
			if c.status == http.StatusOK {
				Expect(r.body).To(Equal(c.answer))
			} else if c.runs == 0 {
				Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
})

var _ = Describe("An answer whose head is cut off", func() {
	// Guards against a success with an empty or short body, framed as whole, when a
	// server stops in the middle of the head of its answer.
	const callers = 100
	framings := []struct{ name, path, fields string }{
		{"with a length", "/reserve/", "Content-Length: 4\r\n"},
		{"in chunks", "/lookup/", "Transfer-Encoding: chunked\r\n"},
		{"that ends with its connection", "/reserve/", "Connection: close\r\n"},
		{"of a stream", "/ask/", "Content-Type: text/event-stream\r\n"},
		{"of a stream in chunks", "/ask/once/", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"},
	}
	ends := []struct {
		name string
		end  func(conn net.Conn)
	}{
		{"closes", func(net.Conn) {}},
		{"resets", func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }},
		{"closes later", func(net.Conn) { time.Sleep(200 * time.Millisecond) }},
	}
	for _, f := range framings {
		for _, e := range ends {
			It("is never a success "+f.name+" when its server "+e.name, func() {
				h := newHarness(3, 6)
				h.behave(func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
					return platformtest.RawAnswer(func(conn net.Conn, id string) {
						size, _ := strconv.Atoi(path.Base(q.URL.Path))
						_, _ = conn.Write([]byte(platformtest.AnswerHead(id, true, f.fields)[:size]))
						e.end(conn)
					})(r, w, q)
				})
				requests := make(chan *http.Request, len(platformtest.AnswerHead("request-100", true, f.fields))-1)
				for size := range cap(requests) {
					requests <- h.newRequest(context.Background(), query{path: f.path + strconv.Itoa(size), prompt: 1000})
				}
				close(requests)
				var sending sync.WaitGroup
				for range callers {
					sending.Go(func() {
						defer GinkgoRecover()
						for r := range requests {
							Expect(h.statusOf(r)).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout), r.URL.Path)
						}
					})
				}
				sending.Wait()
				Expect(h.runs()).To(BeNumerically(">", cap(requests)/2))
			})
		}
	}
})
