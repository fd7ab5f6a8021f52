package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	host    = "review.example"
	key     = "n2ctnfzs989anu6wsjnb"
	account = "hule930"
)

// record writes what happened to record.txt of a case, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// engine is the model of a service as in the platform's example.
func engine() map[string]any {
	return map[string]any{
		"slots": 16, "kvCapacity": 450000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 46, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
		"report_lag_ms": 200.0, "delays": []any{map[string]any{"from": "zone-a", "targetVersion": "zone-b", "delay_ms": 0.9}},
		"usual": map[string]any{"prompt": 13199, "answer": 1541}, "hopMs": 0.1,
	}
}

func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-ask", "host": host, "pathPrefix": "/ask/", "kind": "stream", "timeoutMs": 10000, "goalMs": 300, "priority": 1, "service": "llm", "attempts": 2, "public": false, "sticky": true, "canResume": true, "gapAimMs": 200},
			map[string]any{"name": "r-look", "host": host, "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 2500, "goalMs": 150, "priority": 2, "service": "app", "attempts": 2, "public": false},
			map[string]any{"name": "r-reserve", "host": host, "pathPrefix": "/reserve/", "kind": "non_idempotent", "timeoutMs": 2500, "goalMs": 150, "priority": 2, "service": "app", "attempts": 1, "public": false},
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 364, "protocol": "h1", "tls": false, "engine": engine()},
			map[string]any{"name": "app", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": account, "apiKeys": []string{key}, "priority": 1}},
	}
}

// call is one client attempt.
type call struct {
	method, path, id, lastEvent string
	tokens                      string
	body                        string
	deadline                    time.Duration
}

// result is what a client attempt got. err says why the answer is not complete.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a call on a new connection, or on conn if it is not nil.
func send(address string, c call) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	return exchange(conn, bufio.NewReader(conn), c)
}

func exchange(conn net.Conn, reader *bufio.Reader, c call) result {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", c.method, c.path, host, c.id, c.deadline.Milliseconds(), key)
	if c.tokens != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: %s\r\n", c.tokens)
	}
	if c.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\n", c.lastEvent)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
