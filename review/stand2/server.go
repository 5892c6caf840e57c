package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a server.
type run struct{ request, server, version string }

// server is a stand-in for a model engine, or for an instance of a plain service if it has no events.
type server struct {
	world                *world
	service, id, address string
	zone                 string
	slots                int
	// first is the time to the first event or the answer, and gap the time between two events.
	first, gap time.Duration
	events     int
	// answer answers a request of a plain service in place of the usual answer; nil for that.
	answer func(rw http.ResponseWriter, r *http.Request)
	// cut is set while the server cannot reach the store.
	cut atomic.Bool

	mu      sync.Mutex
	version string
	born    int64
	http    *http.Server
	renewed time.Time
	running int
	runs    []run
}

// startServers starts servers of a service.
func (w *world) startServers(n int, configure func(i int, s *server)) error {
	for i := range n {
		number := len(w.servers)
		address, err := w.address(100 + number)
		if err != nil {
			return err
		}
		s := &server{world: w, id: fmt.Sprintf("i-%06x", 0xa31c00+number*37), address: address, zone: fmt.Sprintf("lisboa-%c", 'a'+i%3)}
		configure(i, s)
		w.servers = append(w.servers, s)
		if err := s.start("v1"); err != nil {
			return err
		}
		go s.beat()
	}
	return nil
}

// start starts the server with a version of its software.
func (s *server) start(version string) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.born, s.running = version, time.Now().UnixMilli(), 0
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

// crash ends the server: its connections are cut, and it sends nothing more.
func (s *server) crash() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// beat renews the server's entry in the store.
func (s *server) beat() {
	for {
		s.mu.Lock()
		if s.http != nil && !s.cut.Load() {
			s.renewed = time.Now()
			_ = s.world.store.Put(wire.Servers, s.id, fill(wire.Entry, map[string]any{
				"SERVICE": s.service, "ADDRESS": s.address, "ZONE": s.zone, "VERSION": s.version, "SLOTS": s.slots, "STATE": "ready", "BORN": s.born,
			})) // an entry can be encoded
		}
		s.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// dropLapsed removes the entries of servers that were not renewed.
func (w *world) dropLapsed() {
	for ; ; time.Sleep(50 * time.Millisecond) {
		for _, s := range w.servers {
			s.mu.Lock()
			if !s.renewed.IsZero() && time.Since(s.renewed) > missedHeartbeats*heartbeat {
				s.renewed = time.Time{}
				w.store.Remove(wire.Servers, s.id)
				w.note("the entry of server %s lapses", s.id)
			}
			s.mu.Unlock()
		}
	}
}

// serve answers a request.
func (s *server) serve(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version, born, running := s.version, s.born, s.running
	s.mu.Unlock()
	switch r.URL.Path {
	case wire.Report:
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(fill(wire.Status, map[string]any{"RUNNING": running, "BORN": born}))
		return
	case wire.Health:
		rw.Header().Set(wire.Instance, s.id)
		return
	}
	h := rw.Header()
	h.Set(wire.RequestID, r.Header.Get(wire.RequestID))
	if expected := r.Header.Get(wire.Expects); expected != "" && expected != s.id {
		h.Set(wire.Instance, s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		h.Set(wire.NotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs = append(s.runs, run{r.Header.Get(wire.RequestID), s.id, version})
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born == born {
			s.running--
		}
	}()
	h.Set(wire.Signature, s.id+"."+version)
	switch {
	case s.answer != nil:
		s.answer(rw, r)
	case s.events > 0:
		s.stream(r.Context(), rw, r.Header.Get(wire.LastEvent), version)
	default:
		time.Sleep(s.first)
		_, _ = fmt.Fprintf(rw, "answer to %s", r.Header.Get(wire.RequestID))
	}
}

// stream sends the events of a stream that follow one.
func (s *server) stream(ctx context.Context, rw http.ResponseWriter, after, version string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(after)
	pause := s.first
	for n := last + 1; n <= s.events; n++ {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = s.gap
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s at %s\n\n", n, n, version, s.id)
		rw.(http.Flusher).Flush()
	}
}

// ranAt returns where a request ran.
func (w *world) ranAt(request string) []run {
	var found []run
	for _, s := range w.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			if r.request == request {
				found = append(found, r)
			}
		}
		s.mu.Unlock()
	}
	return found
}

// describe lists runs.
func describe(runs []run) string {
	texts := make([]string, len(runs))
	for i, r := range runs {
		texts[i] = r.server + " " + r.version
	}
	return strings.Join(texts, ", ")
}
