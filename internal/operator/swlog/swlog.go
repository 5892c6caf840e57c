// Package swlog writes log lines without ever blocking the goroutines that log.
package swlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer buffers lines and writes them to another writer from its own goroutine.
// While that writer is slow, a bounded number of bytes is buffered; further lines
// are dropped and counted. Writer is safe for concurrent use.
type Writer struct {
	out io.Writer
	// limit bounds the bytes in pending.
	limit   int
	dropped atomic.Uint64

	mu sync.Mutex
	// pending holds the lines that flush has not taken yet; spare is the buffer
	// of the lines written last, kept for reuse.
	pending []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// DefaultLimit is a limit in bytes, enough for one second of log lines of a host that
// serves some hundred requests per second.
const DefaultLimit = 256 << 10

// maxValueBytes bounds a value of another party in a log line.
const maxValueBytes = 160

// Truncate returns a value of another party as it is written to a log line: its first 160 bytes.
func Truncate(value string) string { return value[:min(len(value), maxValueBytes)] }

// maxSpareBytes is the capacity of the largest buffer that is kept for reuse.
const maxSpareBytes = 16 << 10

// New returns a Writer and starts its goroutine, which Close stops.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers the whole line or drops it, and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > w.limit {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the pending lines and stops the writer's goroutine. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.flush()
	}
	w.flush()
}

// flush writes the pending lines. Lines that cannot be written are lost, because
// there is nowhere to report the error.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	if cap(lines) <= maxSpareBytes {
		w.spare = lines
	} else {
		w.spare = nil
	}
}
