package service_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/service"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	servicestandin "github.com/oleanderspool/oleanderspool/internal/standin/service"
)

func call(method, path, body string) oleanderspool.ServiceRequest {
	return oleanderspool.ServiceRequest{Attempt: "a", Method: method, Path: path, Body: []byte(body), Remaining: 300}
}

// calls are two calls that net/http would retry when a pooled connection breaks,
// and one that it would not.
var calls = []oleanderspool.ServiceRequest{
	call(http.MethodGet, "/stock/peg", ""),
	call(http.MethodPost, "/pegs/reserve", ""),
	call(http.MethodPost, "/pegs/reserve", `{"reference":"r"}`),
}

var _ = Describe("Call", func() {
	// Guards against a call that runs twice, and against a call that may have run
	// being reported as not sent.
	points := []struct {
		name     string
		point    standin.BreakPoint
		requests int
	}{
		{"before accept", standin.BreakBeforeAccept, 0},
		{"after accept", standin.BreakAfterAccept, 0},
		{"after reading the request", standin.BreakAfterRequest, 1},
		{"without a response", standin.BreakNoResponse, 1},
		{"in the header of the response", standin.BreakInHeader, 1},
		{"in the body of the response", standin.BreakInBody, 1},
	}
	for _, p := range points {
		It("reports an uncertain outcome and does not retry when the connection breaks "+p.name, func(ctx context.Context) {
			for _, c := range calls {
				for _, healthy := range []int{0, 1} {
					if p.point == standin.BreakBeforeAccept && healthy > 0 {
						continue
					}
					server, err := standin.NewBrokenServer(p.point, "answer", healthy)
					Expect(err).NotTo(HaveOccurred())
					DeferCleanup(server.Close)
					client := service.NewClient(server.Address())
					for range healthy {
						answer, err := client.Call(ctx, c)
						Expect(err).NotTo(HaveOccurred())
						Expect(string(answer.Body)).To(Equal("answer"))
					}
					_, err = client.Call(ctx, c)
					Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%s: %v", c.Method, err)
					Expect(server.Requests()).To(Equal(healthy+p.requests), c.Method)
				}
			}
		})
	}

	// Guards against a call that certainly did not run being reported as one that
	// may have run.
	It("reports that nothing was sent when nothing listens at the address", func(ctx context.Context) {
		server, err := standin.NewBrokenServer(standin.BreakBeforeAccept, "", 0)
		Expect(err).NotTo(HaveOccurred())
		server.Close()
		_, err = service.NewClient(server.Address()).Call(ctx, calls[2])
		Expect(errorx.IsOfType(err, oleanderspool.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	It("sends nothing to a host name or after its context has ended", func(ctx context.Context) {
		_, err := service.NewClient("localhost:80").Call(ctx, calls[0])
		Expect(errorx.IsOfType(err, oleanderspool.ErrNotSent)).To(BeTrue(), "%v", err)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = service.NewClient("127.0.0.1:1").Call(cancelled, calls[0])
		Expect(errorx.IsOfType(err, oleanderspool.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	// Guards against a path that directs the call to another host.
	It("returns an error for malformed methods and paths", func(ctx context.Context) {
		client := service.NewClient("127.0.0.1:1")
		for _, c := range []oleanderspool.ServiceRequest{call("GET", "/a b%zz", ""), call("BAD METHOD", "/", "")} {
			_, err := client.Call(ctx, c)
			Expect(errorx.IsOfType(err, oleanderspool.ErrInvalid)).To(BeTrue(), "%v", err)
		}
	})

	// rawServer serves one connection after the other with a function.
	rawServer := func(serve func(conn *net.TCPConn, header *http.Request)) (address string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if q, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn), q)
				}
				_ = conn.Close()
			}
		}()
		return l.Addr().String()
	}

	// Guards against a part of a response that is taken for the whole one when the server
	// resets the connection during an upload: the error reaches the upload only.
	It("reports an uncertain outcome when a response without a length is reset during the upload", func(ctx context.Context) {
		address := rawServer(func(conn *net.TCPConn, _ *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart"))
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		upload := call(http.MethodPost, "/pegs/reserve", strings.Repeat("x", 4<<20))
		upload.Remaining = 3000
		for range 100 {
			_, err := service.NewClient(address).Call(ctx, upload)
			Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
		}
	})

	// Guards against a response that is passed on although its status is none of HTTP.
	It("reports an uncertain outcome for a response with the status 000", func(ctx context.Context) {
		address := rawServer(func(conn *net.TCPConn, _ *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\nno"))
		})
		_, err := service.NewClient(address).Call(ctx, calls[2])
		Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
	})

	It("returns a response of any status and limits its length", func(ctx context.Context) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Header.Get("Idempotency-Key")).To(BeEmpty())
			w.Header().Set("Content-Type", "text/plain")
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusTemporaryRedirect)
			_, _ = w.Write([]byte(strings.Repeat("x", 100)))
		}))
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		answer, err := service.NewClient(address, service.WithMaxResponse(100)).Call(ctx, calls[2])
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(http.StatusTemporaryRedirect))
		Expect(answer.Type).To(Equal("text/plain"))
		Expect(answer.Body).To(HaveLen(100))
		_, err = service.NewClient(address, service.WithMaxResponse(99)).Call(ctx, calls[2])
		Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
	})

	// Guards against a stand-in whose recorded runs differ from the calls that ran.
	faults := []struct {
		kind standin.FaultKind
		runs int
		ok   bool
	}{
		{standin.FaultOutage, 0, true},
		{standin.FaultBreak, 0, false},
		{standin.FaultSlow, 1, true},
		{standin.FaultHang, 0, false},
		{standin.FaultLoseResponse, 1, false},
		{standin.FaultNoResponse, 1, false},
		{standin.FaultLate, 1, false},
		{standin.FaultTruncate, 1, false},
		{standin.FaultStall, 1, false},
	}
	for _, f := range faults {
		It("reports the outcome of a call under the stand-in's fault "+string(f.kind), func(ctx context.Context) {
			s := servicestandin.New(servicestandin.WithFault(standin.Fault{Kind: f.kind, Delay: 50, Bytes: 5, Count: 1}))
			server := httptest.NewServer(s)
			DeferCleanup(func() {
				s.ClearFaults()
				server.Close()
			})
			client := service.NewClient(server.Listener.Addr().String())
			reserve := call(http.MethodPost, "pegs/reserve", `{"reference":"r-1","item":"peg","count":2}`)
			_, err := client.Call(ctx, reserve)
			if f.ok {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue(), "%v", err)
			}
			Eventually(func() int { return len(s.Runs()) }).Should(Equal(f.runs))
			answer, err := client.Call(ctx, reserve)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Runs()).To(Equal([]servicestandin.Run{
				{Operation: servicestandin.OperationReserve, Reference: "r-1", Count: f.runs + 1},
			}))
			Expect(answer.Status).To(Equal(http.StatusOK))
		})
	}
})
