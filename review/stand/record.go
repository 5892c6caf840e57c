package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file in which everything is written that was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

// add writes a line: who did something, and pairs of names and values.
func (r *record) add(who string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.started).Seconds(), who)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %s=%q", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file, b.String())
}
