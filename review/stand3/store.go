package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is one record of a topic.
type record struct {
	key   string
	value []byte // empty for a removal
}

// store is a stand-in for the platform's store in its log form. Its replies are
// linearizable and it forgets nothing.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	first   map[string]int // offset of the first record that is retained, by topic
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string][]record), first: make(map[string]int), changed: make(chan struct{})}
}

// put appends a record and returns the instant of its acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// compact deletes all records of what the operator and the runners wrote, but the newest
// of each key.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range []string{"keyed.op", "keyed.servers"} {
		s.first[topic] = len(s.topics[topic])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// gateMode says how a gate treats calls.
type gateMode int

const (
	open   gateMode = iota
	silent          // connections stay open and nothing is answered
	busy            // 503
	reset           // connections are reset
)

// gate is the address at which one machine reaches the store.
type gate struct {
	store    *store
	listener net.Listener
	mu       sync.Mutex
	mode     gateMode
	changed  chan struct{}
}

func (s *store) newGate() *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	g := &gate{store: s, listener: l, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, g) }()
	return g
}

func (g *gate) address() string { return g.listener.Addr().String() }

// set changes the mode, also for the calls that wait.
func (g *gate) set(m gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) state() (gateMode, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.changed
}

// pass applies the mode to a call and reports whether it is to be answered.
func (g *gate) pass(w http.ResponseWriter, r *http.Request) bool {
	mode, _ := g.state()
	switch mode {
	case silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case reset:
		panic(http.ErrAbortHandler)
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !g.pass(w, r) {
		return
	}
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		g.append(w, q.Get("topic"), body)
	case "GET /-/log-newest":
		g.newest(w, q.Get("topic"), q.Get("after"))
	case "GET /-/log-read":
		g.read(w, r, q.Get("topic"), number(q.Get("from")), number(q.Get("waitMs")))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (g *gate) append(w http.ResponseWriter, topic string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first := g.end(topic)
	for len(body) >= 5 {
		size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		g.store.put(topic, string(body[5:5+key]), slices.Clone(body[5+key:4+size]))
		body = body[4+size:]
	}
	writeJSON(w, map[string]any{"offset": first, "end": g.end(topic)})
}

func (g *gate) end(topic string) int {
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	return len(g.store.topics[topic])
}

func (g *gate) newest(w http.ResponseWriter, topic, after string) {
	const page = 500
	g.store.mu.Lock()
	records := slices.Clone(g.store.topics[topic])
	g.store.mu.Unlock()
	newest := make(map[string]int)
	for i, r := range records {
		if newest[r.key] = i; len(r.value) == 0 {
			delete(newest, r.key)
		}
	}
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), page)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[newest[key]].value), "offset": newest[key]})
	}
	writeJSON(w, map[string]any{"items": items, "more": len(keys) > page, "end": len(records)})
}

func (g *gate) read(w http.ResponseWriter, r *http.Request, topic string, from, waitMs int) {
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for last := false; ; {
		_, mode := g.state()
		if !g.pass(w, r) {
			return
		}
		g.store.mu.Lock()
		records, changed, first := slices.Clone(g.store.topics[topic]), g.store.changed, g.store.first[topic]
		g.store.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) || last {
			_, _ = w.Write(encodeRecords(records, from, first))
			return
		}
		select {
		case <-changed:
		case <-mode:
		case <-r.Context().Done():
			return
		case <-deadline:
			last = true
		}
	}
}

func encodeRecords(records []record, from, first int) []byte {
	const limit = 1 << 20
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, r := range records[min(from, len(records)):] {
		if len(body)+len(r.key)+len(r.value) > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(append(body, r.key...), r.value...)
	}
	return body
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the peer may have left
}
