package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store, as it is sent.
type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type metadata struct {
	Name     string
	Revision uint64
	Created  uint64
}

// MarshalJSON implements json.Marshaler.
func (m metadata) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": m.Name, "revision": m.Revision, "created": m.Created, names.Holders: []string{}, "deleting": false,
	})
}

// event is a change of an object, with the revision at which it happened.
type event struct {
	revision uint64
	kind     string
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// storeState is all that the store holds.
type storeState struct {
	revision uint64
	// oldest is the lowest revision from which a watch can go on.
	oldest  uint64
	objects map[string]object // by kind/name
	history []event
}

// store is a stand-in for the platform's object store. It is linearizable and loses nothing.
type store struct {
	mu      sync.Mutex
	state   storeState
	changed chan struct{}
	down    bool
	conns   connSet
	// seenBy maps the address of an access to how addresses of engines read there, where that differs.
	seenBy map[string]map[string]string
}

// newStore returns a store without an access.
func newStore() *store {
	return &store{state: storeState{revision: 100, oldest: 100, objects: make(map[string]object)}, changed: make(chan struct{})}
}

// access opens an access to the store at an address of its own, for one host.
func (s *store) access() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s, ConnState: s.conns.track}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// setSeenBy sets how addresses of engines read at an access: those of the paths from its host to them.
func (s *store) setSeenBy(access string, addresses map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seenBy == nil {
		s.seenBy = make(map[string]map[string]string)
	}
	s.seenBy[access] = addresses
}

// reply sends a response of the store as it reads at the access of a request.
func (s *store) reply(w http.ResponseWriter, r *http.Request, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	addresses := s.seenBy[r.Host]
	s.mu.Unlock()
	for from, to := range addresses {
		data = bytes.ReplaceAll(data, []byte(strconv.Quote(from)), []byte(strconv.Quote(to)))
	}
	reply(w, status, json.RawMessage(data))
}

// setDown begins or ends an outage, in which connections are reset.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.conns.reset()
	}
}

// put writes an object on behalf of the operator or an engine. It reports false during an outage.
func (s *store) put(kind, name string, specification any) bool {
	data, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.write(kind, name, data)
	return true
}

// write replaces the specification of an object. s.mu must be held.
func (s *store) write(kind, name string, specification json.RawMessage) object {
	key := kind + "/" + name
	o, found := s.state.objects[key]
	if found && string(o.Specification) == string(specification) {
		return o
	}
	s.state.revision++
	if !found {
		o.Metadata = metadata{Name: name, Created: s.state.revision}
	}
	o.Metadata.Revision, o.Specification = s.state.revision, specification
	s.state.objects[key] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// removeLocked removes an object. s.mu must be held.
func (s *store) removeLocked(kind, name string) {
	o, found := s.state.objects[kind+"/"+name]
	if !found {
		return
	}
	delete(s.state.objects, kind+"/"+name)
	s.state.revision++
	s.record(event{kind: kind, Object: o, Removed: true})
}

func (s *store) record(e event) {
	e.revision = s.state.revision
	s.state.history = append(s.state.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	rest, found := strings.CutPrefix(r.URL.Path, names.ObjectsPath)
	if down || !found {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveOne(w, r, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveOne(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	o, found := s.state.objects[kind+"/"+name]
	s.mu.Unlock()
	if !found {
		s.reply(w, r, http.StatusNotFound, struct{}{})
		return
	}
	s.reply(w, r, http.StatusOK, o)
}

// pageItems bounds the items of one page of a list.
const pageItems = 500

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for key, o := range s.state.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind && name > r.URL.Query().Get("afterRevision") {
			items = append(items, o)
		}
	}
	asOf := s.state.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	s.reply(w, r, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		gone := after < s.state.oldest || after > s.state.revision
		events := []event{}
		for _, e := range s.state.history {
			if e.revision > after && e.kind == kind {
				events = append(events, e)
			}
		}
		asOf, changed := s.state.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			s.reply(w, r, http.StatusGone, struct{}{})
			return
		case len(events) > 0 || expired:
			s.reply(w, r, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	var in object
	if err != nil || len(body) > 0 && json.Unmarshal(body, &in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	old, found := s.state.objects[kind+"/"+name]
	wanted := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found, r.Method != http.MethodPost && found && wanted != 0 && wanted != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !found:
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.write(kind, name, in.Specification))
	}
}

// connSet has the open connections of a server.
type connSet struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (c *connSet) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[net.Conn]bool)
	}
	switch state {
	case http.StateNew:
		c.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// reset resets all connections.
func (c *connSet) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
	}
}
