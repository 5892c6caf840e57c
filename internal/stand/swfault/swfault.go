// Package swfault holds the faults that are switched on in a stand-in.
package swfault

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Kind names a fault.
type Kind string

// maxConnections bounds the connections that a Set remembers.
const maxConnections = 1 << 14

// ErrUnknownKind means that a stand-in does not have the fault.
var ErrUnknownKind = errors.New("unknown fault kind")

// Fault is one fault. Which fields apply depends on its kind.
type Fault struct {
	Kind Kind
	// Factor multiplies processing times; above 1 it slows down.
	Factor float64
	// After is the number of events or calls that pass before the fault.
	After int
	// Count is the number of requests that the fault hits before it ends; 0: no bound.
	Count int
	// Delay is added to each response.
	Delay swclock.Millis
	// Duration ends the fault by itself; 0: it lasts until it is cleared.
	Duration swclock.Millis
	// Hash and Contains select prompts by hash and by a part of their text.
	Hash     string
	Contains string
	// Existing limits the fault to connections that were used before it began.
	Existing bool
	// Status is the HTTP status to refuse with.
	Status int
}

// active is a fault that was switched on.
type active struct {
	fault Fault
	// since is when the fault began.
	since swclock.Millis
	// hits counts the requests that it hit.
	hits int
	// connections holds those used before the fault began, if it is limited to them.
	connections map[string]struct{}
}

// Set holds the active faults of one stand-in. It is safe for concurrent use.
type Set struct {
	clock swclock.Clock
	kinds []Kind
	// onAdd is called after a fault was switched on; nil if nobody asked.
	onAdd func(Fault)
	// connections holds the remote addresses of the connections that were used last.
	connections *lru.Cache[string, struct{}]

	mu sync.Mutex
	// active holds at most one fault of each kind.
	active []active
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewSet returns an empty set that accepts the given kinds.
func NewSet(clock swclock.Clock, onAdd func(Fault), kinds ...Kind) *Set {
	connections, _ := lru.New[string, struct{}](maxConnections) // fails only for a size below 1
	return &Set{
		clock:       clock,
		kinds:       kinds,
		onAdd:       onAdd,
		connections: connections,
		changed:     make(chan struct{}),
	}
}

// Add switches a fault on; it replaces one of the same kind.
func (s *Set) Add(f Fault) error {
	if !slices.Contains(s.kinds, f.Kind) {
		return errors.Wrapf(ErrUnknownKind, "%q", f.Kind)
	}
	s.add(f)
	if s.onAdd != nil {
		s.onAdd(f)
	}
	return nil
}

func (s *Set) add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(f.Kind)
	a := active{fault: f, since: s.clock.Now()}
	if f.Existing {
		a.connections = make(map[string]struct{})
		for _, c := range s.connections.Keys() {
			a.connections[c] = struct{}{}
		}
	}
	s.active = append(s.active, a)
	s.broadcast()
}

// Clear switches a fault off.
func (s *Set) Clear(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind)
	s.broadcast()
}

// ClearAll switches every fault off.
func (s *Set) ClearAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = nil
	s.broadcast()
}

// All returns the active faults.
func (s *Set) All() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	faults := make([]Fault, 0, len(s.active))
	for _, a := range s.active {
		faults = append(faults, a.fault)
	}
	return faults
}

// Get returns the active fault of a kind.
func (s *Set) Get(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(kind)
	if i < 0 {
		return Fault{}, false
	}
	return s.active[i].fault, true
}

// Take is Get for one request that the fault hits: it counts against Fault.Count.
func (s *Set) Take(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(kind)
	if i < 0 {
		return Fault{}, false
	}
	f := s.active[i].fault
	s.active[i].hits++
	if f.Count > 0 && s.active[i].hits >= f.Count {
		s.remove(kind)
		s.broadcast()
	}
	return f, true
}

// Wait returns once no fault of the kind is active, or ctx's error if ctx ends first.
func (s *Set) Wait(ctx context.Context, kind Kind) error { return s.await(ctx, kind, false) }

// WaitFor returns once a fault of the kind is active, or ctx's error if ctx ends first.
func (s *Set) WaitFor(ctx context.Context, kind Kind) error { return s.await(ctx, kind, true) }

func (s *Set) await(ctx context.Context, kind Kind, present bool) error {
	for {
		s.mu.Lock()
		i := s.find(kind)
		if (i >= 0) == present {
			s.mu.Unlock()
			return nil
		}
		var left swclock.Millis
		if i >= 0 {
			left = s.left(s.active[i])
		}
		changed := s.changed
		s.mu.Unlock()
		if err := waitChange(ctx, changed, left); err != nil {
			return err
		}
	}
}

// waitChange waits for a change, for at most a span if it is above 0.
func waitChange(ctx context.Context, changed <-chan struct{}, span swclock.Millis) error {
	var ended <-chan time.Time
	if span > 0 {
		t := time.NewTimer(span.Duration())
		defer t.Stop()
		ended = t.C
	}
	select {
	case <-changed:
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// left returns the time until a fault ends by itself, or 0 if it does not.
func (s *Set) left(a active) swclock.Millis {
	if a.fault.Duration == 0 {
		return 0
	}
	return max(1, a.since+a.fault.Duration-s.clock.Now())
}

func (s *Set) find(kind Kind) int {
	s.expire()
	return slices.IndexFunc(s.active, func(a active) bool { return a.fault.Kind == kind })
}

func (s *Set) expire() {
	now := s.clock.Now()
	s.active = slices.DeleteFunc(s.active, func(a active) bool {
		return a.fault.Duration > 0 && now >= a.since+a.fault.Duration
	})
}

func (s *Set) remove(kind Kind) {
	s.active = slices.DeleteFunc(s.active, func(a active) bool { return a.fault.Kind == kind })
}

func (s *Set) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
