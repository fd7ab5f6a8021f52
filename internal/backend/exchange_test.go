package backend_test

import (
	"bufio"
	"context"
	"io"
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
)

// script serves one connection.
type script func(c net.Conn, r *bufio.Reader)

// server runs a script for each connection and counts the connections.
type server struct {
	directory.Server
	accepted atomic.Int64
}

func serve(s script) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	srv := &server{Server: directory.Server{Instance: "s", Address: l.Addr().String()}}
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			srv.accepted.Add(1)
			go func() {
				defer c.Close()
				s(c, bufio.NewReader(c))
			}()
		}
	}()
	return srv
}

// readRequest reads a request with its body.
func readRequest(r *bufio.Reader) bool {
	q, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return err == nil
}

func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("An exchange", func() {
	newPool := func() *backend.Pool { return backend.NewPool(clock.NewBoot()) }
	get := func(p *backend.Pool, s *server, r backend.Request) (string, error) {
		if r.Method == "" {
			r.Method = http.MethodGet
		}
		r.Target, r.Host = "/", "h"
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		e, err := p.Do(ctx, s.Server, r, platform.Headers{})
		if err != nil {
			return "", err
		}
		defer e.Close()
		body, err := io.ReadAll(e)
		return string(body), err
	}

	// Guards against bytes of one answer that are read as the answer to the next
	// request, and against connections that are closed needlessly.
	cases := []struct {
		name          string
		answer        string
		pause         time.Duration // between two requests
		nonIdempotent bool
		connections   int64 // for two requests
	}{
		{"reuses a connection after a complete answer", completeAnswer, 0, false, 1},
		{"reuses a connection after a chunked answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, false, 1},
		{"does not reuse a connection with unexpected bytes after the answer", completeAnswer + "extra", 50 * time.Millisecond, false, 2},
		{"does not reuse a connection with a second answer", completeAnswer + completeAnswer, 50 * time.Millisecond, false, 2},
		{"does not reuse a connection that the server announces to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 0, false, 2},
		{"does not reuse a connection shortly before its announced keep-alive timeout", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 600 * time.Millisecond, false, 2},
		{"opens a new connection for a non-idempotent request after the old one was idle", completeAnswer, 1100 * time.Millisecond, true, 2},
		{"skips an interim answer", "HTTP/1.1 102 Processing\r\n\r\n" + completeAnswer, 0, false, 1},
	}
	for _, c := range cases {
		It(c.name, func() {
			s := serve(func(conn net.Conn, r *bufio.Reader) {
				for readRequest(r) {
					write(conn, c.answer)
				}
			})
			p := newPool()
			for range 2 {
				body, err := get(p, s, backend.Request{NonIdempotent: c.nonIdempotent})
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("ok"))
				time.Sleep(c.pause)
			}
			Expect(s.accepted.Load()).To(Equal(c.connections))
		})
	}

	// Guards against an incomplete answer that is taken for complete.
	broken := []struct{ name, answer string }{
		{"with too few bytes", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		{"with a malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n"},
	}
	for _, c := range broken {
		It("fails on an answer "+c.name, func() {
			s := serve(func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					write(conn, c.answer)
				}
			})
			_, err := get(newPool(), s, backend.Request{})
			Expect(err).To(HaveOccurred())
		})
	}

	// Guards against an answer without a length that is taken for complete although
	// its connection was reset.
	It("fails on an answer without a length whose connection is reset", func() {
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			if readRequest(r) {
				write(conn, "HTTP/1.1 200 OK\r\n\r\nok")
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		_, err := get(newPool(), s, backend.Request{})
		Expect(err).To(HaveOccurred())
	})

	// Guards against a part of an answer that is taken for the whole one when the server
	// resets the connection during an upload: the error reaches the upload only.
	It("fails on an answer without a length whose connection is reset during the upload", func() {
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				write(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		upload := []byte(strings.Repeat("x", 4<<20))
		for range 100 {
			_, err := get(newPool(), s, backend.Request{Method: http.MethodPost, Body: upload})
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against an answer without a length that fails although it is whole, because
	// the server goes on reading the upload after it.
	It("reads an answer without a length that ends before the upload", func() {
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, q.Body)
		})
		body, err := get(newPool(), s, backend.Request{Method: http.MethodPost, Body: []byte(strings.Repeat("x", 16<<20))})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("whole"))
	})

	// Guards against an answer that is read behind one whose status is none of HTTP.
	It("fails on an answer with the status 000", func() {
		for _, answer := range []string{"HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 000 Unknown\r\n\r\n" + completeAnswer} {
			s := serve(func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) {
					write(conn, answer)
				}
			})
			_, err := get(newPool(), s, backend.Request{})
			Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue())
		}
	})

	// Guards against the rest of a request body that the server reads as the next
	// request.
	It("closes the connection when the answer arrives before the whole body was sent", func() {
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				write(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
				time.Sleep(time.Second)
			}
		})
		p := newPool()
		for range 2 {
			body, err := get(p, s, backend.Request{Method: http.MethodPost, Body: []byte(strings.Repeat("x", 16<<20))})
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("no"))
		}
		Expect(s.accepted.Load()).To(Equal(int64(2)))
	})

	// Guards against reporting a request that may have run as not sent, and the
	// reverse.
	It("distinguishes a request that was not sent from one that may have run", func() {
		s := serve(func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
		_, err := get(newPool(), s, backend.Request{})
		Expect(errorx.IsOfType(err, oleanderspool.ErrUncertain)).To(BeTrue())
		unreachable := &server{Server: directory.Server{Instance: "g", Address: "127.0.0.1:1"}}
		_, err = get(newPool(), unreachable, backend.Request{})
		Expect(errorx.IsOfType(err, oleanderspool.ErrNotSent)).To(BeTrue())
	})

	// Guards against a request that is sent on a connection to an earlier process of
	// the server at the same address.
	It("does not reuse connections to an earlier process of a server", func() {
		s := serve(func(conn net.Conn, r *bufio.Reader) {
			for readRequest(r) {
				write(conn, completeAnswer)
			}
		})
		p := newPool()
		_, err := get(p, s, backend.Request{})
		Expect(err).NotTo(HaveOccurred())
		s.Started = 9
		_, err = get(p, s, backend.Request{})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.accepted.Load()).To(Equal(int64(2)))
	})
})
