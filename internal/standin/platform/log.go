package platform

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
)

// storedRecord is a record with the time of its append.
type storedRecord struct {
	data       []byte
	appendedAt time.Time
}

// stream is an append-only sequence of records.
type stream struct {
	first    oleanderspool.Offset // offset of records[0]
	records  []storedRecord
	appended chan struct{} // closed by the next append
}

func (s *stream) head() oleanderspool.Offset {
	return s.first + oleanderspool.Offset(len(s.records)) - 1
}

// expire removes the records that were appended before cutoff.
func (s *stream) expire(cutoff time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].appendedAt.Before(cutoff) {
		n++
	}
	s.records = s.records[n:]
	s.first += oleanderspool.Offset(n)
}

// log holds the streams. It is safe for concurrent use.
type log struct {
	mu        sync.Mutex
	streams   map[string]*stream
	retention time.Duration
}

func newLog(retention time.Duration) *log {
	return &log{streams: map[string]*stream{}, retention: retention}
}

// stream returns a stream after removing its expired records, and creates it if
// there is none. The caller holds the lock.
func (l *log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, appended: make(chan struct{})}
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
		s.records = append(s.records, storedRecord{data: d, appendedAt: now})
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// read returns up to limit records, and about maxReadBytes of data, from the given
// offset on, and the offset of the last record of the stream. If there is no record
// to return, it waits for an append for up to wait.
func (l *log) read(ctx context.Context, name string, from oleanderspool.Offset, limit int, wait time.Duration) ([]oleanderspool.Record, oleanderspool.Offset) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, head, appended := l.readRetained(name, from, limit)
		if len(records) > 0 {
			return records, head
		}
		select {
		case <-appended:
		case <-timer.C:
			return nil, head
		case <-ctx.Done():
			return nil, head
		}
	}
}

func (l *log) readRetained(name string, from oleanderspool.Offset, limit int) ([]oleanderspool.Record, oleanderspool.Offset, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	var records []oleanderspool.Record
	size := 0
	for o := max(from, s.first); o <= s.head() && len(records) < limit && size < maxReadBytes; o++ {
		data := s.records[o-s.first].data
		records = append(records, oleanderspool.Record{Offset: o, Data: data})
		size += len(data)
	}
	return records, s.head(), s.appended
}

// drop removes all but the last keep records of a stream, as if their retention
// time had passed.
func (l *log) drop(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := max(0, len(s.records)-keep)
	s.records = s.records[n:]
	s.first += oleanderspool.Offset(n)
}
