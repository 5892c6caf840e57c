package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which engines write their entries.
const heartbeat = 1200 * time.Millisecond

// engineSettings describe one start of an engine.
type engineSettings struct {
	ID, Service, Version string
	Slots                int
	// Events and Gap are the length of a stream and the time between two of its events.
	Events int
	Gap    time.Duration
	// Work is the time of a call that is not streamed.
	Work time.Duration
	// Register is how long after its start the engine first writes its entry.
	Register time.Duration
	// Header has further fields of the engine's answers.
	Header map[string]string
}

// engine is a stand-in for an engine or a plain service. It runs from its start to its crash.
type engine struct {
	engineSettings
	store   *store
	log     *record
	address string
	born    int64
	server  *http.Server
	conns   connSet
	stopped chan struct{}
	handle  http.HandlerFunc

	mu      sync.Mutex
	running int
	// runs counts the runs by request.
	runs map[string]int
}

// startEngine starts an engine at an address, which may be "127.0.0.1:0", and has it register.
func startEngine(s engineSettings, address string, st *store, log *record) (*engine, error) {
	e, err := newEngine(s, address, st, log)
	if err == nil {
		go e.register()
	}
	return e, err
}

// newEngine starts an engine that does not register by itself.
func newEngine(s engineSettings, address string, st *store, log *record) (*engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{
		engineSettings: s, store: st, log: log, address: l.Addr().String(), born: time.Now().UnixMilli(),
		stopped: make(chan struct{}), runs: make(map[string]int),
	}
	e.server = &http.Server{Handler: e, ConnState: e.conns.track}
	log.add("engine", "id", e.ID, "address", e.address, "version", e.Version, "does", "starts")
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// register writes the engine's entry at its start, and again after each heartbeat, as long as the engine runs.
func (e *engine) register() {
	wait := time.After(e.Register)
	for {
		select {
		case <-wait:
		case <-e.stopped:
			return
		}
		e.store.put("servers", e.ID, map[string]any{
			"service": e.Service, "address": e.address, "zone": "zone-a", "version": e.Version, "slots": e.Slots, "state": "ready",
			names.Cold: 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"sequence": 1, "born": e.born,
		})
		wait = time.After(heartbeat)
	}
}

// crash ends the engine. Its connections are reset.
func (e *engine) crash() {
	e.log.add("engine", "id", e.ID, "version", e.Version, "does", "crashes")
	close(e.stopped)
	e.conns.reset()
	_ = e.server.Close()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names.ReportPath:
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1,
			"waiting": 0, "running": running, "kvCacheUsed": 0, "kvCacheTotal": 600000, "handles": 0, "born": e.born,
		})
		return
	case names.HealthPath:
		w.Header().Set(names.Instance, e.ID)
		w.Header().Set("Content-Length", "0")
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expected := r.Header.Get(names.Expect); expected != "" && expected != e.ID {
		w.Header().Set(names.Instance, e.ID)
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.begin(id) {
		w.Header().Set(names.Refused, "1")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	for name, value := range e.Header {
		w.Header().Set(name, value)
	}
	w.Header().Set(names.Stamp, "stamp."+e.ID+"."+e.Version)
	if e.handle != nil {
		e.handle(w, r)
		return
	}
	if e.Events == 0 {
		time.Sleep(e.Work)
		body := "answer of " + e.ID + " to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
		return
	}
	e.stream(w, r, id)
}

// begin reports whether the engine runs a request.
func (e *engine) begin(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.Slots {
		e.log.add("engine", "id", e.ID, "request", id, "does", "rejects")
		return false
	}
	e.running++
	e.runs[id]++
	e.log.add("engine", "id", e.ID, "request", id, "does", "runs")
	return true
}

// hasRun reports whether the engine has run a request.
func (e *engine) hasRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id] > 0
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// stream sends the events of a stream that follow the last one that the caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	first := 1
	if last, err := strconv.Atoi(strings.TrimSpace(r.Header.Get(names.LastEvent))); err == nil {
		first = last + 1
	}
	e.log.add("engine", "id", e.ID, "version", e.Version, "request", id, "from", strconv.Itoa(first), "does", "streams")
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := first; i <= e.Events; i++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, e.Version); err != nil || controller.Flush() != nil {
			return
		}
	}
}
