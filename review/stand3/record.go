package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record has what was sent, answered and run.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	runs map[string][]run
}

// run is one run of a request at a server.
type run struct {
	server, tenant string
	at             time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f, runs: make(map[string][]run)}, err
}

// write writes a line with the time since the start.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	_, _ = io.WriteString(r.file, line) // a record that cannot be written is missing
}

// ran records a run.
func (r *record) ran(request, server, tenant string) {
	r.mu.Lock()
	r.runs[request] = append(r.runs[request], run{server, tenant, time.Now()})
	r.mu.Unlock()
	r.write("run      %s at %s for %s", request, server, tenant)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(request string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request]
}
