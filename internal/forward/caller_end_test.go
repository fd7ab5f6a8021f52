package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("A caller whose request can no longer be read", func() {
	const size = 600 // bytes of a body
	halfClose := func(_ *harness, conn *net.TCPConn) { _ = conn.CloseWrite() }
	reset := func(_ *harness, conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }
	nothing := func(*harness, *net.TCPConn) {}
	suspend := func(h *harness, conn *net.TCPConn) {
		h.clock.jump.Add(10_000)
		_, _ = conn.Write(make([]byte, size/2))
	}
	slow := func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
		select {
		case <-time.After(time.Second):
		case <-q.Context().Done():
		}
		return platformtest.Complete(r, w, q)
	}
	stream := platformtest.Stream(10, 0, 100*time.Millisecond)
	lateStream := func(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return stream(r, w, q)
	}

	// Guards against an answer that nobody wrote: net/http completes what a handler leaves
	// unfinished, and the caller takes an empty or short 200 for a success.
	cases := []struct {
		name, method, path string
		fields             string // additional header lines
		deadline           int    // ms; 0 for none
		sent               int    // bytes of the body that are sent at first
		after              time.Duration
		event              func(*harness, *net.TCPConn)
		behave             platformtest.Behaviour
		statuses           []int // 0 for a connection closed without an answer
	}{
		{"body late by its deadline", "POST", "/reserve/1", "", 300, size / 2, 0, nothing, nil, []int{504}},
		{"body late by the route's timeout", "POST", "/reserve/1", "", 0, size / 2, 0, nothing, nil, []int{504}},
		{"no body after Expect", "POST", "/reserve/1", "Expect: 100-continue\r\n", 300, 0, 0, nothing, nil, []int{504}},
		{"body of a stream late by its deadline", "POST", "/ask/1", "", 300, size / 2, 0, nothing, stream, []int{504}},
		{"body late by a suspension of the entry", "POST", "/reserve/1", "", 1000, size / 2, 50 * time.Millisecond, suspend, nil, []int{504}},
		{"half-close in the body", "POST", "/reserve/1", "", 0, size / 2, 50 * time.Millisecond, halfClose, nil, []int{400}},
		{"reset in the body", "POST", "/reserve/1", "", 0, size / 2, 50 * time.Millisecond, reset, nil, []int{0}},
		{"half-close while the request runs", "POST", "/reserve/1", "", 0, size, 200 * time.Millisecond, halfClose, slow, []int{200, 502}},
		{"half-close while an idempotent request runs", "POST", "/lookup/1", "", 0, size, 200 * time.Millisecond, halfClose, slow, []int{200, 502}},
		{"half-close while a HEAD request runs", "HEAD", "/lookup/1", "", 0, 0, 200 * time.Millisecond, halfClose, slow, []int{200, 502}},
		{"half-close before the first event", "POST", "/ask/1", "", 0, size, 100 * time.Millisecond, halfClose, lateStream, []int{200, 502}},
		{"half-close after some events", "POST", "/ask/1", "", 0, size, 450 * time.Millisecond, halfClose, stream, []int{200}},
		{"reset after some events", "POST", "/ask/1", "", 0, size, 450 * time.Millisecond, reset, stream, []int{0}},
	}
	for _, c := range cases {
		It("never gets an answer that nobody wrote: "+c.name, func() {
			h := newHarness(1, 1)
			h.behave(c.behave)
			conn, err := net.Dial("tcp", h.address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			var head strings.Builder
			fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", c.method, c.path, host, c.fields)
			if c.method != http.MethodHead {
				fmt.Fprintf(&head, "Content-Length: %d\r\n", size)
			}
			Expect(platformtest.CallerHeader{ID: "one", APIKey: "crew-key", DeadlineMs: c.deadline, PromptTokens: 1000}.Encode().Write(&head)).To(Succeed())
			_, err = io.WriteString(conn, head.String()+"\r\n"+strings.Repeat("x", c.sent))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(c.after)
			c.event(h, conn.(*net.TCPConn))

			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
			if err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, &http.Request{Method: c.method})
			}
			if err != nil {
				Expect(c.statuses).To(ContainElement(0), "%v", err)
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			Expect(c.statuses).To(ContainElement(response.StatusCode), "%s", body)
			if response.StatusCode != http.StatusOK || err != nil {
				return
			}
			Expect(platformtest.HasRunnerSignature(response.Header)).To(BeTrue())
			if strings.HasPrefix(c.path, "/ask/") {
				Expect(string(body)).To(ContainSubstring("piece 10"), "an answer that looks complete")
			}
		})
	}
})
