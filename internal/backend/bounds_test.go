package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/backend"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var (
	one, other = platformtest.AnswerHeader("one", false), platformtest.AnswerHeader("other", false)
	notRun     = platformtest.AnswerHeader("", true)
)

var _ = Describe("A server that sends without end", func() {
	// maxRead bounds what a call may read from such a server, in bytes: the maximum
	// of an answer's header and of a skipped body, and what socket buffers hold.
	const maxRead = 16 << 20

	// Guards against an answer that fills the memory of the process or occupies its
	// processor until the deadline.
	cases := []struct{ name, start, repeated string }{
		{"one header line", "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Header: a value\r\n"},
		{"bytes that are no answer", "", "garbage "},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"the body of an answer to another request", "HTTP/1.1 200 OK\r\n" + other + "Transfer-Encoding: chunked\r\n\r\n", "10\r\naaaaaaaaaaaaaaaa\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\n" + other + "Content-Length: 2\r\n\r\nok"},
		{"a chunk extension", "HTTP/1.1 200 OK\r\n" + other + "Transfer-Encoding: chunked\r\n\r\n2;", "extension"},
		{"a trailer", "HTTP/1.1 200 OK\r\n" + other + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Header: a value\r\n"},
	}
	for _, c := range cases {
		It("cannot hold a call with "+c.name, func() {
			var sent atomic.Int64
			s := serve(func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				block := []byte(strings.Repeat(c.repeated, 64<<10/len(c.repeated)))
				for data := append([]byte(c.start), block...); ; data = block {
					n, err := conn.Write(data)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			startedAt := time.Now()
			_, err := backend.NewPool(clock.NewBoot()).Do(ctx, s.Server, backend.Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "mine"}, platform.Headers{})
			Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
			Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
			Expect(sent.Load()).To(BeNumerically("<", maxRead))
		})
	}
})

var _ = Describe("A late copy of an answer", func() {
	// Guards against the answer to one call that is taken for the answer to the next
	// one on the same connection, after which a reservation counts as made or a
	// request that ran counts as not run.
	cases := []struct {
		name     string
		first    string // ID of the first request
		second   string // ID of the second request
		copy     string // precedes the answer to the second request
		expected string // body that the second call receives; empty for an error
	}{
		{"of a request is skipped by an order", "one", "", "HTTP/1.1 200 OK\r\n" + one + "Content-Length: 4\r\n\r\ncopy", "ok"},
		{"of a request is skipped by a request", "one", "two", "HTTP/1.1 200 OK\r\n" + one + "Content-Length: 4\r\n\r\ncopy", "ok"},
		{"of a stream is skipped by a request", "one", "two", "HTTP/1.1 200 OK\r\n" + one + "Transfer-Encoding: chunked\r\n\r\n4\r\ncopy\r\n0\r\n\r\n", "ok"},
		{"of a refusal is skipped by a request", "one", "two", "HTTP/1.1 503 Service Unavailable\r\n" + platformtest.AnswerHeader("one", true) + "Content-Length: 4\r\n\r\ncopy", "ok"},
		{"of a refusal without an ID does not say that another one without an ID was not run", "", "", "HTTP/1.1 503 Service Unavailable\r\n" + notRun + "Content-Length: 4\r\n\r\ncopy", ""},
		{"of a rejected order does not say that a request was not run", "", "two", "HTTP/1.1 503 Service Unavailable\r\n" + notRun + "Content-Length: 4\r\n\r\ncopy", ""},
	}
	for _, c := range cases {
		It(c.name, func() {
			s := serve(func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					write(conn, completeAnswer)
				}
				if readRequest(r) {
					write(conn, c.copy)
					time.Sleep(20 * time.Millisecond)
					write(conn, completeAnswer)
				}
			})
			p := backend.NewPool(clock.NewBoot())
			call := func(id string) (string, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				e, err := p.Do(ctx, s.Server, backend.Request{Method: http.MethodPost, Target: "/", Host: "h", ID: oleanderspool.RequestID(id)}, platform.Headers{})
				if err != nil {
					return "", err
				}
				defer e.Close()
				body := make([]byte, 16)
				n, _ := e.Read(body)
				for err := error(nil); err == nil; {
					_, err = e.Read(body[n:])
				}
				return string(body[:n]), nil
			}
			_, err := call(c.first)
			Expect(err).NotTo(HaveOccurred())
			body, err := call(c.second)
			Expect(s.accepted.Load()).To(Equal(int64(1)), "both calls use one connection")
			if c.expected == "" {
				Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(c.expected))
		})
	}
})

var _ = Describe("A refusal that is repeated on a kept connection", func() {
	// Guards against a false refusal as not run, and a second run after it: the copy of
	// a refusal is taken for the answer to a later request with the same ID.
	It("does not answer a later request with the same ID", func() {
		refusal := "HTTP/1.1 503 Service Unavailable\r\n" + platformtest.AnswerHeader("one", true) + "Content-Length: 4\r\n\r\nbusy"
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			if !readRequest(r) {
				return
			}
			write(conn, refusal)
			for readRequest(r) {
				write(conn, refusal)
				time.Sleep(20 * time.Millisecond)
				write(conn, completeAnswer)
			}
		})
		pool := backend.NewPool(clock.NewBoot())
		refused := 0
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			e, err := pool.Do(ctx, s.Server, backend.Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "one"}, platform.Headers{})
			Expect(err).NotTo(HaveOccurred())
			Expect(e.Discard()).To(Succeed())
			e.Close()
			cancel()
			if e.Answer.NotRun {
				refused++
			}
		}
		Expect(refused).To(Equal(2))
		Expect(s.accepted.Load()).To(Equal(int64(2)), "each refusal is the first answer on its connection")
	})
})

var _ = Describe("The observer of a pool", func() {
	// Guards against a server that says that it leaves in an answer which nobody reads.
	It("receives the header of each answer, also of a skipped one", func() {
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			if readRequest(r) {
				write(conn, "HTTP/1.1 200 OK\r\n"+other+"Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok")
				write(conn, completeAnswer)
			}
		})
		var leaving []bool
		pool := backend.NewPool(clock.NewBoot(), backend.WithObserver(func(_ directory.Server, id oleanderspool.RequestID, a oleanderspool.AnswerHeader) {
			Expect(id).To(Equal(oleanderspool.RequestID("one")))
			leaving = append(leaving, a.Leaving)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		e, err := pool.Do(ctx, s.Server, backend.Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "one"}, platform.Headers{})
		Expect(err).NotTo(HaveOccurred())
		e.Close()
		Expect(leaving).To(Equal([]bool{true, false}))
	})
})
