package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1200 * time.Millisecond

// server stands in for a server of a service. It runs each request that is for it, and answers soundly.
type server struct {
	id, address string
	engine      bool
	version     string
	born        int64
	store       *store
	record      *record
	// gap is the time between two events of a stream, of which there are events.
	gap    time.Duration
	events int
	work   time.Duration

	mu      sync.Mutex
	running int
}

// startServer starts a server of a service, which registers itself in the store.
func startServer(s *server, ip, service string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	web := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = web.Serve(l) }() // ends with the process
	entry := document(serverData)
	entry["service"], entry["address"], entry["version"], entry["born"] = service, s.address, s.version, s.born
	go func() {
		for n := 1; ; n++ {
			entry["sequence"] = n
			s.store.put(names.Kind["servers"], s.id, entry) // a store that is away gets the next one
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names.Path["report"]:
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		data, _ := json.Marshal(map[string]any{"busy": false, "sequence": 1, "waiting": 0, "running": running, "born": s.born, "runs": []any{}})
		_, _ = w.Write(data) // the host may have left
		return
	case "/health":
		w.Header().Set(names.Header["instance"], s.id)
		return
	}
	id := r.Header.Get(names.Header["request"])
	w.Header().Set(names.Header["request"], id)
	if expected := r.Header.Get(names.Header["expect"]); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record.ran(id, s.id, r.Header.Get(names.Header["tenant"]))
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set(names.Header["stamp"], "stamp."+s.id)
	time.Sleep(s.work)
	if !s.engine {
		_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id) // the host may have left
		return
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(names.Header["lastEvent"])); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := first; i <= s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s\n\n", i, i, s.version); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
	}
}
