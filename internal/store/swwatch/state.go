package swwatch

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// State holds the objects of one kind. It reads no clock: callers pass the time.
//
// After an outage of the store, an object may be missing only because the store dropped
// it for lack of a renewal during the outage, and may reappear. A missing object is held
// for a grace period after the store's return and dropped if it is still missing at the
// end.
type State[T any] struct {
	// grace is how long a missing object is held after the store's return. With 0,
	// missing objects are dropped at once.
	grace swclock.Millis
	items map[string]Item[T]
	// heldUntil maps the name of each object that is held although the store does
	// not have it to the time when it is dropped.
	heldUntil map[string]swclock.Millis
	asOf      Revision
	listed    bool
	// graceUntil is the end of the grace period that began with the latest return of the store.
	graceUntil swclock.Millis
}

// NewState returns a state without objects.
func NewState[T any](grace swclock.Millis) *State[T] {
	return &State[T]{grace: grace, items: make(map[string]Item[T]), heldUntil: make(map[string]swclock.Millis)}
}

// StoreRecovered starts the grace period when the store answers again after an outage.
func (s *State[T]) StoreRecovered(now swclock.Millis) {
	if s.listed {
		s.graceUntil = now + s.grace
	}
}

// List updates the objects from a listing and reports whether an object changed. A
// listing that is older than the held objects is ignored.
func (s *State[T]) List(l Listing[T], now swclock.Millis) bool {
	if s.listed && l.AsOf < s.asOf {
		return false
	}
	changed := !s.listed
	s.listed, s.asOf = true, l.AsOf
	present := make(map[string]bool, len(l.Items))
	for _, item := range l.Items {
		present[item.Name] = true
		changed = s.put(item) || changed
	}
	for name := range s.items {
		if !present[name] {
			changed = s.markMissing(name, now) || changed
		}
	}
	return changed
}

// Apply applies changes and reports whether an object changed.
func (s *State[T]) Apply(c Changes[T], now swclock.Millis) bool {
	changed := false
	for _, change := range c.Changes {
		if change.Removed {
			changed = s.markMissing(change.Name, now) || changed
		} else {
			changed = s.put(change.Item) || changed
		}
	}
	s.asOf = max(s.asOf, c.AsOf)
	return changed
}

// put stores an object unless the held one is at least as recent, and reports whether
// it stored the object. In both cases the object is no longer missing.
func (s *State[T]) put(item Item[T]) bool {
	delete(s.heldUntil, item.Name)
	old, known := s.items[item.Name]
	if known && item.Revision <= old.Revision {
		return false
	}
	s.items[item.Name] = item
	return true
}

// markMissing drops an object that the store does not have, or keeps holding the
// object during the grace period. It reports whether the object was dropped.
func (s *State[T]) markMissing(name string, now swclock.Millis) bool {
	if _, known := s.items[name]; !known {
		return false
	}
	if now < s.graceUntil {
		if _, held := s.heldUntil[name]; !held {
			s.heldUntil[name] = s.graceUntil
		}
		return false
	}
	delete(s.items, name)
	delete(s.heldUntil, name)
	return true
}

// Expire drops the objects that are still missing at the end of the grace period, and
// reports whether there were any.
func (s *State[T]) Expire(now swclock.Millis) bool {
	changed := false
	for name, until := range s.heldUntil {
		if now >= until {
			delete(s.items, name)
			delete(s.heldUntil, name)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire is due next, if any missing object is held.
func (s *State[T]) NextExpiry() (at swclock.Millis, due bool) {
	for _, until := range s.heldUntil {
		if !due || until < at {
			at, due = until, true
		}
	}
	return at, due
}

// Items returns the objects sorted by name.
func (s *State[T]) Items() []Item[T] {
	items := make([]Item[T], 0, len(s.items))
	for _, item := range s.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b Item[T]) int { return cmp.Compare(a.Name, b.Name) })
	return items
}

// AsOf returns the highest revision of an answer that the state was updated from.
func (s *State[T]) AsOf() Revision { return s.asOf }
