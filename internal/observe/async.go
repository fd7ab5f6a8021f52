package observe

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedLines bounds the lines that wait to be written. Lines beyond it are
// dropped, so that a stalled reader of the log never blocks a request.
const maxBufferedLines = 2048

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

// Close writes the buffered lines and ends the goroutine. Write must not be called
// afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.reportDropped()
		_, _ = w.next.Write(line) // nowhere else to report that the log cannot be written
	}
	w.reportDropped()
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (w *AsyncWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.next, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", n)
	}
}
