// Package swfault implements fault injection for the stand-ins: the set of active
// faults, their effect on requests, and the HTTP handler that switches them.
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

// maxConnections bounds the connections that a Set records.
const maxConnections = 1 << 14

// ErrUnknownKind means that a stand-in does not support the kind of fault.
var ErrUnknownKind = errors.New("unknown fault kind")

// Fault describes one fault. Which fields apply depends on its kind.
type Fault struct {
	Kind Kind
	// Factor multiplies processing times; a value above 1 slows processing down.
	Factor float64
	// After is the number of stream events that are sent before the fault ends the response.
	After int
	// Count is the number of requests that the fault hits before it ends; 0 means no bound.
	Count int
	// Delay is added to each response or, for the engine's crashOn fault, is the time until the restart.
	Delay swclock.Millis
	// Duration is the time after which the fault expires; 0 means that it lasts until cleared.
	Duration swclock.Millis
	// Hash and Contains select prompts by hash and by a part of their text.
	Hash     string
	Contains string
	// Existing limits the fault to connections that carried a request before it began.
	Existing bool
	// Status is the HTTP status with which requests are rejected; 0 means the default of the kind.
	Status int
}

// activeFault is a fault that was switched on.
type activeFault struct {
	fault Fault
	// since is when the fault began.
	since swclock.Millis
	// hits counts the requests that the fault hit.
	hits int
	// connections holds the remote addresses to which the fault applies if Fault.Existing is set.
	connections map[string]struct{}
}

// Set holds the active faults of one stand-in. It is safe for concurrent use.
type Set struct {
	clock swclock.Clock
	kinds []Kind
	// onAdd is called after a fault was switched on; it may be nil.
	onAdd func(Fault)
	// connections holds the remote addresses of the most recently used connections.
	connections *lru.Cache[string, struct{}]

	mu sync.Mutex
	// active holds at most one fault of each kind.
	active []activeFault
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewSet returns an empty set that accepts the given kinds and calls onAdd, if not
// nil, for each fault that is added.
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

// Add switches a fault on; it replaces an active fault of the same kind. The error is
// ErrUnknownKind if the Set does not accept the kind.
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
	a := activeFault{fault: f, since: s.clock.Now()}
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

// Trigger returns the active fault of a kind, if there is one, and counts one request
// against Fault.Count. The fault ends with the last request that it counts. Trigger does
// not switch a fault on; Add does.
func (s *Set) Trigger(kind Kind) (Fault, bool) {
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

// WaitInactive returns nil once no fault of the kind is active, or ctx's error if ctx ends first.
func (s *Set) WaitInactive(ctx context.Context, kind Kind) error {
	return s.waitState(ctx, kind, false)
}

// WaitActive returns nil once a fault of the kind is active, or ctx's error if ctx ends first.
func (s *Set) WaitActive(ctx context.Context, kind Kind) error { return s.waitState(ctx, kind, true) }

// waitState returns once a fault of the kind is active (present) or none is (not present).
func (s *Set) waitState(ctx context.Context, kind Kind, present bool) error {
	for {
		s.mu.Lock()
		i := s.find(kind)
		if (i >= 0) == present {
			s.mu.Unlock()
			return nil
		}
		var left swclock.Millis
		if i >= 0 {
			left = s.timeLeft(s.active[i])
		}
		changed := s.changed
		s.mu.Unlock()
		if err := waitForChange(ctx, changed, left); err != nil {
			return err
		}
	}
}

// waitForChange waits until changed is closed, or for at most span if that is above 0.
func waitForChange(ctx context.Context, changed <-chan struct{}, span swclock.Millis) error {
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

// timeLeft returns the time until a fault expires, or 0 if it has no Duration.
func (s *Set) timeLeft(a activeFault) swclock.Millis {
	if a.fault.Duration == 0 {
		return 0
	}
	return max(1, a.since+a.fault.Duration-s.clock.Now())
}

func (s *Set) find(kind Kind) int {
	s.expire()
	return slices.IndexFunc(s.active, func(a activeFault) bool { return a.fault.Kind == kind })
}

func (s *Set) expire() {
	now := s.clock.Now()
	s.active = slices.DeleteFunc(s.active, func(a activeFault) bool {
		return a.fault.Duration > 0 && now >= a.since+a.fault.Duration
	})
}

func (s *Set) remove(kind Kind) {
	s.active = slices.DeleteFunc(s.active, func(a activeFault) bool { return a.fault.Kind == kind })
}

func (s *Set) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
