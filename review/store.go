package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic; one without a value drops its key.
type record struct {
	key   string
	value []byte
}

// store is the platform's store, as PROTOCOL.md describes it: a log with keyed topics.
// It is never down, slow or stale.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	version int
	onRead  func(topic, remote string) // told of each read, before it is answered
}

func newStore(ip string) *store {
	s := &store{topics: make(map[string][]record), changed: make(chan struct{}), onRead: func(string, string) {}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", s.append)
	l := listen(ip + ":0")
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		cannotRun("cannot listen at %s: %v", address, err)
	}
	return l
}

// put appends a record and returns the time at which it was acknowledged.
func (s *store) put(topic, key string, value any) time.Time {
	var data []byte
	if value != nil {
		data = encode(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, data})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[r.URL.Query().Get("topic")]
	last := make(map[string]int)
	for i, rec := range list {
		if len(rec.value) == 0 {
			delete(last, rec.key)
		} else {
			last[rec.key] = i
		}
	}
	var keys []string
	for k := range last {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(list[last[k]].value), "offset": last[k]})
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "end": len(list)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.onRead(q.Get("topic"), r.RemoteAddr)
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		body := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, rec := range list[min(from, len(list)):] {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
			body = append(body, byte(len(rec.key)))
			body = append(append(body, rec.key...), rec.value...)
		}
		if from < len(list) || wait == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	for len(body) >= 5 {
		size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		if size < 1+key || len(body) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.topics[topic] = append(s.topics[topic], record{string(body[5 : 5+key]), body[5+key : 4+size]})
		body = body[4+size:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	writeJSON(w, map[string]any{"offset": first, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode(value))
}

// route is a route of a configuration of a small deployment.
type route struct {
	name, prefix, kind, service string
	timeoutMs, goalMs, attempts int
}

const host = "ficu95.example"

// engineService is the service whose runners have an engine, that of the sheet.
const engineService = "dele69a"

var engine = map[string]any{
	"slots": 16, "kvCapacity": 450000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 46, "models": []any{map[string]any{"name": "m"}},
	"step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
	"report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8, "usual": map[string]any{"prompt": 13199, "answer": 1541}, "hopMs": 0.1,
}

// configure writes a configuration with the next version and returns the time of its
// acknowledgement.
func (s *store) configure(services []string, keys map[string][]string, routes ...route) (version int, ack time.Time) {
	s.version += 3
	list, svc, tenants := []any{}, []any{}, []any{}
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "goalMs": r.goalMs,
			"priority": 1, "service": r.service, "attempts": r.attempts, "public": false, "sticky": false, "canResume": r.kind == "stream",
		}
		if r.kind == "stream" {
			m["gapAimMs"] = 800
		}
		list = append(list, m)
	}
	for _, name := range services {
		m := map[string]any{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}
		if name == engineService {
			m["maxConns"], m["engine"] = 364, engine
		}
		svc = append(svc, m)
	}
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": k, "priority": 1})
	}
	ack = s.put("keyed.op", "config", map[string]any{
		"version": s.version, "routes": list, "services": svc, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	note("operator: version %d acknowledged", s.version)
	return s.version, ack
}

// link is the path of one machine to the store. It passes bytes on; when it goes
// silent, the connections that are open pass nothing any longer, without a reset, and
// new ones work.
type link struct {
	address string
	mu      sync.Mutex
	open    []*pair
}

type pair struct {
	mu     sync.Mutex
	silent bool
}

func newLink(ip, to string) *link {
	l := listen(ip + ":0")
	k := &link{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			p := &pair{}
			k.mu.Lock()
			k.open = append(k.open, p)
			k.mu.Unlock()
			go p.pump(in, out)
			go p.pump(out, in)
		}
	}()
	return k
}

func (p *pair) pump(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent {
			if err != nil {
				return // the other side never learns
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections silent for good and returns their number.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.open {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	n := len(k.open)
	k.open = nil
	return n
}

var (
	started = time.Now()
	noteMu  sync.Mutex
	notes   io.Writer = io.Discard
)

// note writes a line with the time since the start to record.txt.
func note(format string, values ...any) {
	noteAt(time.Now(), format, values...)
}

func noteAt(at time.Time, format string, values ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	_, _ = fmt.Fprintf(notes, "%9.4f %s\n", at.Sub(started).Seconds(), fmt.Sprintf(format, values...))
}
