package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status    int // 0 for none
	header    http.Header
	body      string
	complete  bool
	err       error
	sentAt    time.Time
	elapsedMs int64
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", a.err, a.elapsedMs)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, complete %v, after %d ms", a.status, a.header.Get("X-Runner-Signature"), len(a.body), a.complete, a.elapsedMs)
}

// call is one attempt of a client.
type call struct {
	method, path, host, id, key string
	body                        string
	fields                      []string // further header lines
	deadline                    time.Duration
}

func (c call) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.key)
	}
	for _, f := range c.fields {
		b.WriteString(f + "\r\n")
	}
	if c.body != "" || c.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

// clientConn is a connection of a client that it keeps for several requests.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// do sends a request and reads its whole answer until the deadline.
func (c *clientConn) do(q call) (a answer) {
	a.sentAt = time.Now()
	defer func() { a.elapsedMs = time.Since(a.sentAt).Milliseconds() }()
	_ = c.conn.SetDeadline(a.sentAt.Add(q.deadline + 500*time.Millisecond))
	if _, a.err = c.conn.Write([]byte(q.encode())); a.err != nil {
		return a
	}
	return c.receive(q.method, a)
}

func (c *clientConn) receive(method string, a answer) answer {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	body, err := io.ReadAll(r.Body)
	a.status, a.header, a.body, a.err, a.complete = r.StatusCode, r.Header, string(body), err, err == nil
	return a
}

// once sends a request on a new connection.
func once(address string, q call) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err, sentAt: time.Now()}
	}
	defer c.conn.Close()
	return c.do(q)
}

func newConn(conn net.Conn) *clientConn { return &clientConn{conn, bufio.NewReader(conn)} }
