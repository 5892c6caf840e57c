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

// object is an object of the store.
type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type event struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision uint64
}

type objectKey struct{ kind, name string }

// store stands in for the platform's store. It is linearizable, and loses what it has acknowledged only by setBack.
type store struct {
	mu       sync.Mutex
	revision uint64
	// oldest is the lowest revision from which a watch can go on.
	oldest uint64
	// era counts how often the store has come back from a copy. All answers name it.
	era     int
	away    bool
	objects map[objectKey]object
	history []event
	changed chan struct{}
}

// storeCopy is what a store had at an instant.
type storeCopy struct {
	revision uint64
	objects  map[objectKey]object
	at       time.Time
}

func newStore() *store {
	return &store{revision: 100, oldest: 100, era: 1, objects: make(map[objectKey]object), changed: make(chan struct{})}
}

// listen serves the store until the process ends, and returns its address.
func (s *store) listen(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}

// copy returns what the store has now.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: make(map[objectKey]object), at: time.Now()}
	for k, o := range s.objects {
		c.objects[k] = o
	}
	return c
}

// setAway makes the store refuse all calls, or serve them again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.signal()
}

// setBack brings the store back from a copy. Watches from a revision that it does not have get 410.
func (s *store) setBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.oldest, s.objects, s.history = c.revision, c.revision, c.objects, nil
	s.era++
	s.away = false
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the specification of an object for the operator or a server. It reports false while the store is away.
func (s *store) put(kind, name string, specification any) bool {
	data, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	o := s.objects[objectKey{kind, name}]
	o.Specification = data
	s.write(kind, name, o)
	return true
}

func (s *store) write(kind, name string, o object) object {
	key := objectKey{kind, name}
	old, found := s.objects[key]
	if found && bytes.Equal(old.Specification, o.Specification) && bytes.Equal(old.Status, o.Status) {
		return old
	}
	s.revision++
	o.Metadata = metadata{Name: name, Revision: s.revision, Created: old.Metadata.Created}
	if !found {
		o.Metadata.Created = s.revision
	}
	s.objects[key] = o
	s.history = append(s.history, event{Object: o, kind: kind, revision: s.revision})
	s.signal()
	return o
}

func (s *store) remove(kind, name string) {
	key := objectKey{kind, name}
	o, found := s.objects[key]
	if !found {
		return
	}
	delete(s.objects, key)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, event{Object: o, Removed: true, kind: kind, revision: s.revision})
	s.signal()
}

func (s *store) list(kind string) []object {
	items := []object{}
	for k, o := range s.objects {
		if k.kind == kind {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return items
}

// reply sends an answer with the era, unless the store is away by now.
func (s *store) reply(w http.ResponseWriter, status int, value any) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set(names.Header["era"], strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the host may have left
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, names.Path["objects"])
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if !found || away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, ofStatus := strings.CutSuffix(name, "/status")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, found := s.objects[objectKey{kind, name}]
		s.mu.Unlock()
		if !found {
			s.reply(w, http.StatusNotFound, nil)
			return
		}
		s.reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		page := map[string]any{"items": s.list(kind), "hasMore": false, "asOf": s.revision}
		s.mu.Unlock()
		s.reply(w, http.StatusOK, page)
	default:
		s.serveWrite(w, r, kind, name, ofStatus)
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	for expired := false; ; {
		s.mu.Lock()
		gone, changed, away := after < s.oldest || after > s.revision, s.changed, s.away
		events := []event{}
		for _, e := range s.history {
			if e.revision > after && e.kind == kind {
				events = append(events, e)
			}
		}
		answer := map[string]any{"events": events, "asOf": s.revision}
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			s.reply(w, http.StatusGone, nil)
			return
		case len(events) > 0 || expired:
			s.reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, ofStatus bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	var in object
	if err != nil || len(body) > 0 && json.Unmarshal(body, &in) != nil {
		s.reply(w, http.StatusBadRequest, nil)
		return
	}
	expected := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	status, answer := s.apply(r.Method, kind, name, ofStatus, expected, in)
	s.reply(w, status, answer)
}

func (s *store) apply(method, kind, name string, ofStatus bool, expected uint64, in object) (status int, answer any) {
	creates := method == http.MethodPost
	if creates {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[objectKey{kind, name}]
	switch {
	case s.away:
		return http.StatusServiceUnavailable, nil
	case creates && found, !creates && found && expected != 0 && expected != o.Metadata.Revision:
		return http.StatusConflict, o
	case !creates && !found:
		return http.StatusNotFound, nil
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, o
	case ofStatus:
		o.Status = in.Status
	default:
		o.Specification = in.Specification
	}
	return http.StatusOK, s.write(kind, name, o)
}
