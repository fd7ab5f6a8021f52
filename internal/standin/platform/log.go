package platform

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// entry is a record with the time of its append.
type entry struct {
	data     []byte
	appended time.Time
}

// stream is an append-only sequence of records.
type stream struct {
	first   oleanderspool.Offset // offset of entries[0]
	entries []entry
	changed chan struct{} // closed by the next append
}

func (s *stream) head() oleanderspool.Offset {
	return s.first + oleanderspool.Offset(len(s.entries)) - 1
}

// expire drops records that were appended before limit.
func (s *stream) expire(limit time.Time) {
	n := 0
	for n < len(s.entries) && s.entries[n].appended.Before(limit) {
		n++
	}
	s.entries = s.entries[n:]
	s.first += oleanderspool.Offset(n)
}

// log holds the streams.
type log struct {
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
}

func newLog(retention time.Duration) *log {
	return &log{streams: map[string]*stream{}, retention: retention}
}

// stream returns a stream without its expired records. The caller holds the
// lock.
func (l *log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	s.expire(time.Now().Add(-l.retention))
	return s
}

// append appends records and returns the offset of the first.
func (l *log) append(name string, data [][]byte) oleanderspool.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.head() + 1
	now := time.Now()
	for _, d := range data {
		s.entries = append(s.entries, entry{data: d, appended: now})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// read returns up to limit records, and about maxBytes of data, from the given
// offset on. It waits for up to wait when there is none.
func (l *log) read(ctx context.Context, name string, from oleanderspool.Offset, limit int, wait time.Duration) ([]oleanderspool.Record, oleanderspool.Offset) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, head, changed := l.kept(name, from, limit)
		if len(records) > 0 {
			return records, head
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, head
		case <-ctx.Done():
			return nil, head
		}
	}
}

func (l *log) kept(name string, from oleanderspool.Offset, limit int) ([]oleanderspool.Record, oleanderspool.Offset, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	var records []oleanderspool.Record
	size := 0
	for o := max(from, s.first); o <= s.head() && len(records) < limit && size < maxReadBytes; o++ {
		data := s.entries[o-s.first].data
		records = append(records, oleanderspool.Record{Offset: o, Data: data})
		size += len(data)
	}
	return records, s.head(), s.changed
}

// drop removes all but the last keep records of a stream, as if their retention
// had ended.
func (l *log) drop(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := max(0, len(s.entries)-keep)
	s.entries = s.entries[n:]
	s.first += oleanderspool.Offset(n)
}
