package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

func ids(last int) []string {
	var list []string
	for i := range last {
		list = append(list, strconv.Itoa(i+1))
	}
	return list
}

var _ = Describe("A stream", func() {
	const gap = 2 * time.Millisecond
	const prompt = 1460 // tokens
	unframed := platformtest.RawAnswer(func(c net.Conn, id string) {
		platformtest.WriteRaw(c, id, true, "", "id: 1\ndata: a\n\nid: 2\nda")
	})

	// Guards against events that are missing, duplicated or truncated, against
	// an interrupted stream that looks complete, and against a second run of a
	// stream that cannot be resumed.
	cases := []struct {
		name   string
		path   string
		first  platformtest.Behaviour // of the server that gets the request first
		others platformtest.Behaviour
		status int
		events []string // nil when the answer is no stream
		whole  bool
		runs   int
	}{
		{"is passed on to its end", "/ask/1", platformtest.Stream(5, 0, gap), platformtest.Stream(5, 0, gap), 200, ids(5), true, 1},
		{"continues at another server after its last complete event", "/ask/1", platformtest.Stream(5, 3, gap), platformtest.Stream(5, 0, gap), 200, ids(5), true, 2},
		{"continues at another server after an answer that ends within an event", "/ask/1", unframed, platformtest.Stream(5, 0, gap), 200, ids(5), true, 2},
		{"is sent to another server when no answer arrived", "/ask/1", platformtest.LoseAnswer, platformtest.Stream(5, 0, gap), 200, ids(5), true, 2},
		{"is sent to another server after a rejection", "/ask/1", platformtest.Reject, platformtest.Stream(5, 0, gap), 200, ids(5), true, 1},
		{"is aborted when it is interrupted and cannot be resumed", "/ask/once/1", platformtest.Stream(5, 3, gap), platformtest.Stream(5, 0, gap), 200, ids(3), false, 1},
		{"is not repeated when it cannot be resumed, even when no event arrived", "/ask/once/1", platformtest.LoseAnswer, platformtest.Stream(5, 0, gap), 502, nil, true, 1},
		{"is aborted when its attempts are used up", "/ask/1", platformtest.Stream(5, 3, gap), platformtest.Stream(5, 4, gap), 200, ids(4), false, 2},
	}
	for _, c := range cases {
		It(c.name, func() {
			h := newHarness(0, 2)
			asked := make(chan struct{}, 1)
			h.behave(func(r *platformtest.Runner, rw http.ResponseWriter, q *http.Request) bool {
				select {
				case asked <- struct{}{}:
					return c.first(r, rw, q)
				default:
					return c.others(r, rw, q)
				}
			})
			r := h.send(query{path: c.path, prompt: prompt})
			Expect(r.status).To(Equal(c.status))
			Expect(events(r.body)).To(Equal(c.events))
			Expect(r.err == nil).To(Equal(c.whole), "%v", r.err)
			Expect(h.runs()).To(Equal(c.runs))
		})
	}

	// Guards against whole events that are held back because more has arrived with them.
	for _, rest := range []string{"", "id: 3\ndata: pie", "id: 3\r\ndata: c\r\n"} {
		It("is passed on while the server pauses after several events and "+strconv.Quote(rest), func() {
			h := newHarness(0, 1)
			resume := make(chan struct{})
			defer close(resume)
			h.behave(platformtest.RawAnswer(func(c net.Conn, id string) {
				platformtest.WriteRaw(c, id, true, "", "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"+rest)
				<-resume
			}))
			// At the end of its time limit of 5 s the request is flushed in any case.
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			response, err := h.open(ctx, query{path: "/ask/1", prompt: prompt})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			whole := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
			received := make([]byte, len(whole))
			_, err = io.ReadFull(response.Body, received)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(received)).To(Equal(whole))
		})
	}

	// Guards against a stream that is aborted because the server that should
	// continue it is full. Seen in a fault-injection trial on versaria-cordel
	// during a change of the configuration.
	It("continues at a third server when the second one rejects the resumed request", func() {
		h := newHarness(0, 3)
		asked := make(chan platformtest.Behaviour, 3)
		asked <- platformtest.Stream(5, 3, gap)
		asked <- platformtest.Reject
		asked <- platformtest.Stream(5, 0, gap)
		h.behave(func(r *platformtest.Runner, rw http.ResponseWriter, q *http.Request) bool {
			return (<-asked)(r, rw, q)
		})
		r := h.send(query{path: "/ask/1", prompt: prompt})
		Expect(events(r.body)).To(Equal(ids(5)))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(h.runs()).To(Equal(2))
	})

	// Guards against configured ranks that have no effect.
	It("gets its priority from the rank of its account, or else of its route", func() {
		h := newHarness(0, 1)
		next := configuration
		next.Priorities = map[string]int{"audit": 0}
		next.Routes = append([]platformtest.Route(nil), next.Routes...)
		next.Routes[2].Priority = 3
		h.store.Configure(next)
		Eventually(func() int64 { return h.view.Snapshot().Configuration.Version }, waitTimeout, pollInterval).Should(Equal(int64(2)))
		h.behave(platformtest.Stream(1, 0, gap))
		for _, c := range []struct{ key, path, priority string }{
			{"crew-key", "/ask/1", "6"}, {"audit-key", "/ask/1", "0"}, {"audit-key", "/audit/1", "1"},
		} {
			Expect(h.send(query{path: c.path, key: c.key, prompt: prompt}).status).To(Equal(200))
			arrivals := h.runners[0].Requests()
			Expect(arrivals[len(arrivals)-1].Priority).To(Equal(c.priority))
		}
	})

	// Guards against events that are buffered.
	It("is passed on event by event without buffering", func() {
		h := newHarness(0, 1)
		h.behave(platformtest.Stream(2, 0, 300*time.Millisecond))
		start := time.Now()
		response, err := h.open(context.Background(), query{path: "/ask/1", prompt: prompt})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		b := make([]byte, 4)
		_, err = io.ReadFull(response.Body, b)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 250*time.Millisecond))
	})

	// Guards against a server that goes on generating for a caller that has
	// closed its connection.
	It("is cancelled at its server when its caller closes the connection", func() {
		h := newHarness(0, 1)
		h.behave(platformtest.Stream(1000, 0, 20*time.Millisecond))
		ctx, leave := context.WithCancel(context.Background())
		response, err := h.open(ctx, query{path: "/ask/1", prompt: prompt})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		leave()
		Eventually(h.runners[0].CancelledRequests, "500ms", pollInterval).Should(Equal(1))
	})

	// Guards against a resumed stream that starts from the beginning.
	It("is resumed after the last event that its caller names", func() {
		h := newHarness(0, 1)
		h.behave(platformtest.Stream(5, 0, gap))
		r := h.send(query{path: "/ask/1", prompt: prompt, lastEvent: "3"})
		Expect(events(r.body)).To(Equal([]string{"4", "5"}))
	})

	// Guards against a long prompt that only one of several idle servers
	// prefills, and against memory that stays reserved.
	It("is prefilled with helpers that reserve memory when its prompt exceeds the memory of one server", func() {
		h := newHarness(0, 3)
		h.behave(platformtest.Stream(3, 0, gap))
		r := h.send(query{path: "/audit/1", prompt: 600_000})
		Expect(r.status).To(Equal(200))
		helpers, orders := "", func() (list []string) {
			for _, e := range h.runners {
				list = append(list, e.Orders()...)
			}
			return list
		}
		for _, e := range h.runners {
			for _, a := range e.Requests() {
				helpers = a.Helpers
			}
		}
		Expect(helpers).To(MatchRegexp(`^127\.0\.0\.1:\d+/\w+`))
		Eventually(orders, waitTimeout, pollInterval).Should(ContainElement(ContainSubstring(`"op":"release"`)))
		Expect(orders()).To(ContainElement(ContainSubstring(`"op":"reserve"`)))
	})

	// Guards against memory of helpers that counts as free while the stream
	// that it is reserved for is still being generated.
	It("counts as a task on all its servers until its end when helpers reserve memory for it", func() {
		h := newHarness(0, 3)
		h.behave(platformtest.Stream(20, 0, 20*time.Millisecond))
		response, err := h.open(context.Background(), query{path: "/audit/1", prompt: 600_000})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = response.Body.Read(make([]byte, 16))
		Expect(err).NotTo(HaveOccurred())
		memory := int64(0)
		for _, task := range h.gateway.State().Report(true).Tasks {
			Expect(task.Decoding).To(BeTrue())
			memory += task.MemoryTokens
		}
		Expect(memory).To(BeNumerically(">=", 600_000))
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(h.gateway.State().Report(true).Tasks) }, waitTimeout, pollInterval).Should(BeZero())
	})

	// Guards against memory that stays reserved for a request that never
	// begins. Seen in a trial: a reservation was renewed for 11 s while its
	// request waited.
	It("stops renewing its reserved memory when it does not begin", func() {
		h := newHarness(0, 3, forward.WithMemoryIdleTimeout(4*oleanderspool.Second))
		h.behave(platformtest.Hang)
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		go func() {
			response, err := h.open(ctx, query{path: "/audit/1", prompt: 600_000})
			if err == nil {
				response.Body.Close()
			}
		}()
		orders := func() (n int) {
			for _, e := range h.runners {
				n += len(e.Orders())
			}
			return n
		}
		Eventually(orders, waitTimeout, pollInterval).Should(BeNumerically(">", 0))
		time.Sleep(2 * time.Second)
		sent := orders()
		Consistently(orders, "1500ms", pollInterval).Should(Equal(sent))
	})
})

var _ = Describe("A stream that broke off", func() {
	const gap = 2 * time.Millisecond
	text := func(status int, contentType, body string) platformtest.Behaviour {
		return func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
			r.Sign(w, q)
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
			return true
		}
	}
	raw := func(signed bool, fields, body string) platformtest.Behaviour {
		return platformtest.RawAnswer(func(c net.Conn, id string) { platformtest.WriteRaw(c, id, signed, fields, body) })
	}
	events4 := "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

	// Guards against an error of the server that should continue the stream, or its
	// header, in the middle of the caller's stream, and against a stream that ends as
	// if it were complete (reported by another operator).
	cases := []struct {
		name   string
		next   platformtest.Behaviour // of the server that should continue the stream
		events []string
		whole  bool
	}{
		{"by a failure", text(http.StatusInternalServerError, "text/plain", "data: failed\n\n"), ids(3), false},
		{"by a failure in the format of events", text(http.StatusBadGateway, "text/event-stream", "id: 4\ndata: failed\n\n"), ids(3), false},
		{"by a rejection", platformtest.Reject, ids(3), false},
		{"by a refusal of the request", text(http.StatusBadRequest, "application/json", "{}\n\n"), ids(3), false},
		{"by an answer without content", text(http.StatusNoContent, "text/event-stream", ""), ids(3), false},
		{"by a success that is no stream", text(http.StatusOK, "application/json", "{\"error\":\"busy\"}\n\n"), ids(3), false},
		{"by an answer without a signature", raw(false, "", events4), ids(3), false},
		{"by a header that breaks off", raw(true, "X-A: ", ""), ids(3), false},
		{"by another header in place of events", raw(true, "Content-Type: text/event-stream\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n"), ids(3), false},
		{"by bytes that are no answer", platformtest.RawAnswer(func(c net.Conn, _ string) { _, _ = c.Write([]byte("busy\r\n\r\n")) }), ids(3), false},
		{"by events without a length that end with their connection", raw(true, "Content-Type: text/event-stream\r\n", events4), ids(5), true},
		{"by events without a length that end within an event", raw(true, "Content-Type: text/event-stream\r\n", events4+"id: 6\nda"), ids(5), false},
	}
	for _, c := range cases {
		It("is not mixed with the answer when it is continued "+c.name, func() {
			h := newHarness(0, 2)
			answers := make(chan platformtest.Behaviour, 2)
			answers <- platformtest.Stream(5, 3, gap)
			answers <- c.next
			h.behave(func(r *platformtest.Runner, rw http.ResponseWriter, q *http.Request) bool {
				return (<-answers)(r, rw, q)
			})
			r := h.send(query{path: "/ask/1", prompt: 1460})
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(events(r.body)).To(Equal(c.events))
			Expect(r.body).NotTo(Or(ContainSubstring("failed"), ContainSubstring("busy"), ContainSubstring("HTTP"), ContainSubstring("{")))
			Expect(r.err == nil).To(Equal(c.whole), "%v", r.err)
		})
	}

	// Guards against an answer without a length whose reset looks like its end.
	It("is not complete when the connection of an answer without a length is reset", func() {
		h := newHarness(0, 1)
		h.behave(platformtest.RawAnswer(func(c net.Conn, id string) {
			platformtest.WriteRaw(c, id, true, "Content-Type: text/event-stream\r\n", events4)
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}))
		r := h.send(query{path: "/ask/1", prompt: 1460})
		Expect(events(r.body)).To(Equal([]string{"4", "5"}))
		Expect(r.err).To(HaveOccurred())
	})
})
