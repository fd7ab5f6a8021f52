package observe

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxBufferedLines bounds the lines that wait to be written. Lines beyond it are
// dropped, so that a stalled reader of the log never blocks a request.
const maxBufferedLines = 2048

// maxBatch bounds the lines in bytes that are written at once. Linux writes up to 4096
// bytes to a pipe without mixing them with those of another process.
const maxBatch = 4096

// AsyncWriter buffers lines and writes them to another writer without blocking
// the caller. If the buffer is full, lines are dropped and counted; their number
// is logged before the next line is written or when the writer is closed. It is
// safe for concurrent use.
type AsyncWriter struct {
	next    io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to next from its own goroutine.
// Close ends the goroutine.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	w := &AsyncWriter{next: next, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds one line to the buffer, or drops it if the buffer is full. It never
// returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// closeTimeout is how long Close waits for the lines to be written. A process whose log
// nobody reads must end all the same.
const closeTimeout = time.Second

// Close writes the buffered lines and ends the goroutine, unless the underlying writer
// blocks: then the lines are lost. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	batch := make([]byte, 0, maxBatch)
	for line := range w.lines {
		if len(batch)+len(line) > maxBatch {
			batch = w.write(batch)
		}
		batch = append(batch, line...)
		if len(w.lines) == 0 || w.dropped.Load() > 0 {
			batch = w.write(batch)
		}
	}
	w.reportDropped()
}

// write writes lines that wait and returns an empty batch.
func (w *AsyncWriter) write(batch []byte) []byte {
	w.reportDropped()
	if len(batch) > 0 {
		_, _ = w.next.Write(batch) // nowhere else to report that the log cannot be written
	}
	if cap(batch) > maxBatch {
		return make([]byte, 0, maxBatch)
	}
	return batch[:0]
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (w *AsyncWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.next, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", n)
	}
}
