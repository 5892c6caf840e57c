package swlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// slowWriter blocks each write until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (s *slowWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(p)
}

// TestNeverBlocks writes much more than the limit while the underlying writer
// blocks. Write must not block, and lines must be dropped whole and counted.
func TestNeverBlocks(t *testing.T) {
	const lines, limit = 1000, 1000
	out := &slowWriter{release: make(chan struct{})}
	w := New(out, limit)
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %04d\n", i); n != 10 || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	close(out.release)
	w.Close()
	written := strings.Count(out.data.String(), "\n")
	if got := uint64(lines - written); w.Dropped() != got {
		t.Errorf("%d lines dropped by count, %d are missing", w.Dropped(), got)
	}
	// One buffer may be in the blocked write while another one fills up.
	if out.data.Len() > 2*limit {
		t.Errorf("%d bytes waited, at most %d are allowed", out.data.Len(), 2*limit)
	}
	for _, line := range strings.Split(strings.TrimSuffix(out.data.String(), "\n"), "\n") {
		if len(line) != 9 || !strings.HasPrefix(line, "line ") {
			t.Fatalf("not a whole line: %q", line)
		}
	}
}

// TestClose checks that Close writes the pending lines and that later lines are dropped.
func TestClose(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, DefaultLimit)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 100 {
				_, _ = w.Write([]byte("x\n"))
			}
		})
	}
	writers.Wait()
	w.Close()
	w.Close()
	if out.Len() != 800 || w.Dropped() != 0 {
		t.Errorf("%d bytes, %d dropped", out.Len(), w.Dropped())
	}
	if _, err := w.Write([]byte("late\n")); err != nil || w.Dropped() != 1 || out.Len() != 800 {
		t.Errorf("late line: %d dropped, %d bytes, error %v", w.Dropped(), out.Len(), err)
	}
}
