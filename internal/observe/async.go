package observe

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is the number of lines that wait to be written. More are dropped,
// so that a reader of the log that stalls never holds up a request.
const asyncLines = 2048

// AsyncWriter passes lines on to a writer without blocking. Lines that find no
// room are dropped and counted; the next line that finds room, or the end of the
// log, is preceded by their number. It is safe for concurrent use.
type AsyncWriter struct {
	next    io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to next from a goroutine of its
// own.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	w := &AsyncWriter{next: next, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the goroutine. Nothing may be written after
// it.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.report()
		_, _ = w.next.Write(line) // a log that cannot be written has no other place
	}
	w.report()
}

// report writes how many lines were dropped since the last report.
func (w *AsyncWriter) report() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.next, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", n)
	}
}
