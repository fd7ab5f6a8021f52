package backend

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// FuzzAnswer guards against an answer that ends the process, holds a call, or is
// taken for complete when it belongs to another request.
func FuzzAnswer(f *testing.F) {
	one, two, notRun := platformtest.AnswerHeader("one", false), platformtest.AnswerHeader("two", false), platformtest.AnswerHeader("", true)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + one + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + two + "Content-Length: 2\r\n\r\nokHTTP/1.1 503 X\r\n" + notRun + "\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n",
		"HTTP/1.1 503 X\r\n" + one + "Server-Leaving: 1\r\nRetry-After: 1e308\r\n\r\n",
		"HTTP/1.1 503 X\r\n" + one + "Server-Leaving: \r\nRetry-After: NaN\r\nRetry-After: -1\r\n\r\n",
		"\x00\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		server, client := net.Pipe()
		go func() {
			_, _ = server.Write(data) // the reader may close its end first
			_ = server.Close()
		}()
		if err := client.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		pool := NewPool(clock.NewBoot())
		e := &Exchange{pool: pool, connection: newConnection(client, directory.ServerRun{}, pool.budget), stop: func() bool { return false }}
		defer e.abort()
		if err := e.receive(Request{Method: "POST", ID: "one"}, platform.Headers{}); err != nil {
			return
		}
		if e.Answer.ID != "" && e.Answer.ID != "one" {
			t.Errorf("accepted the answer to %q", e.Answer.ID)
		}
		n, err := io.Copy(io.Discard, e)
		if length, stated := e.ContentLength(); err == nil && stated && n != length && e.Answer.Status != 204 && e.Answer.Status != 304 {
			t.Errorf("%d bytes of %d count as complete", n, length)
		}
	})
}
