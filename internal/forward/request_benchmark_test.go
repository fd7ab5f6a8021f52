package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// discardedAnswer is an answer that nobody reads.
type discardedAnswer struct {
	header          http.Header
	status, flushes int
}

func (a *discardedAnswer) Header() http.Header { return a.header }

func (a *discardedAnswer) Write(b []byte) (int, error) { return len(b), nil }

func (a *discardedAnswer) WriteHeader(status int) { a.status = status }

func (a *discardedAnswer) Flush() { a.flushes++ }

func (a *discardedAnswer) SetReadDeadline(time.Time) error { return nil }

func (a *discardedAnswer) SetWriteDeadline(time.Time) error { return nil }

// scriptedRunner is a backend server that costs little itself: it answers each request
// with the same bytes but for the ID.
func scriptedRunner(fields, body string) platformtest.Behaviour {
	return platformtest.RawAnswer(func(conn net.Conn, id string) {
		buffer := make([]byte, 16<<10)
		for {
			platformtest.WriteRaw(conn, id, true, fields, body)
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			id = requestID(buffer[:n])
		}
	})
}

func requestID(header []byte) string {
	const name = "X-Request-Id: "
	_, rest, _ := strings.Cut(string(header), name)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// processorTime returns the processor time of the process, which unlike the time of a
// request leaves out the wait for the backend server.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest measures a whole request in the gateway, with the logger of the
// program and a backend server on a kept connection. The server of the callers is left
// out, since its cost is that of net/http. The time of an event of a stream is the
// difference of two lengths; its events arrive together.
func BenchmarkRequest(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	for _, bc := range []struct {
		name, path string
		tokens     int
		events     int
	}{
		{"call", "/reserve/x", 0, 0},
		{"stream/events=1", "/ask/x", 5000, 1},
		{"stream/events=65", "/ask/x", 5000, 65},
	} {
		b.Run(bc.name, func(b *testing.B) {
			lines := observe.NewAsyncWriter(io.Discard)
			logger, err := observe.NewLogger(lines, "json", "info")
			Expect(err).NotTo(HaveOccurred())
			h := startHarness(b.Cleanup, 1, 1, forward.WithLogger(logger))
			fields, body := "Content-Length: 4\r\n", "done"
			if bc.events > 0 {
				fields, body = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", ""
				for i := range bc.events {
					event := "id: " + strconv.Itoa(i+1) + "\ndata: piece of an answer of a usual length\n\n"
					body += strconv.FormatInt(int64(len(event)), 16) + "\r\n" + event + "\r\n"
				}
				body += "0\r\n\r\n"
			}
			h.behave(scriptedRunner(fields, body))
			answer := &discardedAnswer{}
			b.ReportAllocs()
			started := processorTime(b)
			for b.Loop() {
				r := h.newRequest(b.Context(), query{path: bc.path, prompt: bc.tokens, deadline: 4000, parts: []string{"p"}})
				r.Body, r.ContentLength = http.NoBody, 0
				r.RequestURI = bc.path
				answer = &discardedAnswer{header: http.Header{}, status: http.StatusOK}
				h.gateway.ServeHTTP(answer, r)
			}
			if answer.status != http.StatusOK {
				b.Fatalf("status %d", answer.status)
			}
			b.ReportMetric(float64(answer.flushes), "flushes/op")
			b.ReportMetric(float64(processorTime(b)-started)/float64(b.N), "cpu-ns/op")
		})
	}
}
