// Package swlog writes log lines without ever blocking what logs them.
package swlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer passes lines on to another writer from a goroutine of its own. While
// that is behind, at most a bounded number of bytes waits; lines beyond it are
// dropped and counted. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// limit bounds the bytes that wait.
	limit   int
	dropped atomic.Uint64

	mu sync.Mutex
	// waiting has the lines that were not taken yet; spare is the buffer of those written last.
	waiting []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// DefaultLimit holds a second of lines of a host that serves some hundred
// requests a second.
const DefaultLimit = 256 << 10

// keptBuffer is the largest buffer that is kept for the next lines.
const keptBuffer = 16 << 10

// New returns a writer that is running; Close ends it.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes a whole line or drops it, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > w.limit {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits and ends the writer. Later lines are dropped.
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

// flush writes the lines that wait. A line that cannot be written is lost: there
// is nowhere to tell.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.waiting
	w.waiting = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	if cap(lines) <= keptBuffer {
		w.spare = lines
	} else {
		w.spare = nil
	}
}
