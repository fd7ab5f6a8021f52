package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics with one partition each.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
}

type entry struct {
	key   string
	value []byte
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string][]entry), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", s.append)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put appends a record; an empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[r.URL.Query().Get("topic")]
	last := make(map[string]int)
	for i, e := range list {
		if len(e.value) == 0 {
			delete(last, e.key)
		} else {
			last[e.key] = i
		}
	}
	var keys []string
	for k := range last {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), 500)] {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(list[last[k]].value), "offset": last[k]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": len(keys) > len(items), "end": len(list)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		list, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(list) || waited {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, e := range list[min(from, len(list)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
				body = append(append(append(body, byte(len(e.key))), e.key...), e.value...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waited = true
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
	for len(body) >= 5 {
		size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		if size < 1+key || len(body) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.put(r.URL.Query().Get("topic"), string(body[5:5+key]), body[5+key:4+size])
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": 0, "end": 0})
}
