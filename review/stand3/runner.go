package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// received is a request at a runner.
type received struct {
	http   *http.Request
	id     string
	body   []byte
	conn   net.Conn
	reader *bufio.Reader
	at     time.Time
}

// answerFunc answers a request and reports whether the connection goes on.
type answerFunc func(q *received) bool

// runner is a stand-in for a runner. It speaks HTTP/1.1 on raw connections.
type runner struct {
	id, service, zone string
	listener          net.Listener
	store             *store
	born              int64
	answer            answerFunc

	mu     sync.Mutex
	seq    int
	state  string
	silent bool // it writes no entry any more
	conns  map[net.Conn]bool
}

func newRunner(s *store, id, service, zone string, answer answerFunc) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	r := &runner{id: id, service: service, zone: zone, listener: l, store: s, born: time.Now().UnixMilli(), answer: answer, state: "ready", conns: make(map[net.Conn]bool)}
	go r.accept()
	r.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.register()
		}
	}()
	return r
}

func (r *runner) address() string { return r.listener.Addr().String() }

// register writes the runner's entry, as it does with each heartbeat.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.seq++
	value, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": 16,
		"state": r.state, "coldLeftMs": 0, "seq": r.seq, "born": r.born,
	})
	if err != nil {
		fatal(err)
	}
	r.store.put("keyed.servers", r.id, value)
}

// leave removes the entry. The runner goes on serving.
func (r *runner) leave() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
	return r.store.put("keyed.servers", r.id, nil)
}

// close ends the runner: its listener and all its connections.
func (r *runner) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *runner) serve(conn net.Conn) {
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.handle(&received{http: q, id: q.Header.Get("X-Request-Id"), conn: conn, reader: reader, at: time.Now()}) {
			return
		}
	}
}

func (r *runner) handle(q *received) bool {
	if q.http.URL.Path == "/-/order" {
		_, _ = io.ReadAll(q.http.Body)
		return send(q.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"free\":41200}")
	}
	if expected := q.http.Header.Get("X-Expect-Runner"); expected != "" && expected != r.id {
		_, _ = io.ReadAll(q.http.Body)
		return send(q.conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Runner-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id, r.id))
	}
	return r.answer(q)
}

// readBody reads the body of a request.
func (q *received) readBody() bool {
	var err error
	q.body, err = io.ReadAll(q.http.Body)
	return err == nil
}

func send(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}
