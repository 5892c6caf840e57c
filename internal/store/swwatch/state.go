package swwatch

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// State is what a follower holds. It is pure: times are given to it.
//
// After the store was out of reach, an object that is missing may only have
// lapsed with it, and come back. It is held for a grace after the store's
// return, and dropped if it is still missing then.
type State[T any] struct {
	// grace is how long a missing object is held after the store's return; 0 holds none.
	grace swclock.Millis
	items map[string]Item[T]
	// lapsed has the objects that are held although the store does not have
	// them, and until when.
	lapsed map[string]swclock.Millis
	asOf   Revision
	listed bool
	// graceUntil is the end of the grace after the latest return of the store.
	graceUntil swclock.Millis
}

// NewState returns a state without objects.
func NewState[T any](grace swclock.Millis) *State[T] {
	return &State[T]{grace: grace, items: make(map[string]Item[T]), lapsed: make(map[string]swclock.Millis)}
}

// Returned notes that the store answers again after it was out of reach.
func (s *State[T]) Returned(now swclock.Millis) {
	if s.listed {
		s.graceUntil = now + s.grace
	}
}

// List takes a listing in, and reports whether an object changed. One that is
// older than what is held changes nothing.
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
			changed = s.missing(name, now) || changed
		}
	}
	return changed
}

// Apply takes changes in, and reports whether an object changed.
func (s *State[T]) Apply(c Changes[T], now swclock.Millis) bool {
	changed := false
	for _, change := range c.Changes {
		if change.Removed {
			changed = s.missing(change.Name, now) || changed
		} else {
			changed = s.put(change.Item) || changed
		}
	}
	s.asOf = max(s.asOf, c.AsOf)
	return changed
}

func (s *State[T]) put(item Item[T]) bool {
	delete(s.lapsed, item.Name)
	old, known := s.items[item.Name]
	if known && item.Revision <= old.Revision {
		return false
	}
	s.items[item.Name] = item
	return true
}

// missing drops an object, or holds it during the grace.
func (s *State[T]) missing(name string, now swclock.Millis) bool {
	if _, known := s.items[name]; !known {
		return false
	}
	if now < s.graceUntil {
		if _, held := s.lapsed[name]; !held {
			s.lapsed[name] = s.graceUntil
		}
		return false
	}
	delete(s.items, name)
	delete(s.lapsed, name)
	return true
}

// Expire drops the objects that are still missing after the grace, and reports
// whether there was one.
func (s *State[T]) Expire(now swclock.Millis) bool {
	changed := false
	for name, until := range s.lapsed {
		if now >= until {
			delete(s.items, name)
			delete(s.lapsed, name)
			changed = true
		}
	}
	return changed
}

// NextExpiry returns when Expire is due, if an object lapsed.
func (s *State[T]) NextExpiry() (at swclock.Millis, due bool) {
	for _, until := range s.lapsed {
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

// AsOf returns the revision of the latest answer.
func (s *State[T]) AsOf() Revision { return s.asOf }
