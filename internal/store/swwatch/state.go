package swwatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// State holds the objects of one kind. It reads no clock: callers pass the time.
//
// After an outage of the store, an object may be missing only because the store dropped
// it for lack of a renewal during the outage, and may reappear. A missing object is held
// for a grace period after the store's return and dropped if it is still missing at the
// end.
//
// A store that was set back to an earlier copy of itself may lack objects that are written to it again, and
// have others that had been dropped. The former are held for the grace period, the latter are hidden until
// they change or should have lapsed.
type State[T any] struct {
	// grace is how long a missing object is held after the store's return. With 0,
	// missing objects are dropped at once.
	grace swclock.Millis
	// lapse is the time after which the store drops an object that is not renewed, or 0 if it never does.
	lapse swclock.Millis
	era   swobject.Era
	items map[string]Item[T]
	// heldUntil maps the name of each object that is held although the store does
	// not have it to the time when it is dropped.
	heldUntil map[string]swclock.Millis
	asOf      Revision
	listed    bool
	// dropped maps objects to when they were dropped, for dropMemory; hidden has those that an earlier
	// copy of the store contains.
	dropped map[string]swclock.Millis
	hidden  map[string]hiddenItem[T]
	// graceUntil is the end of the grace period that began with the latest return of the store.
	graceUntil swclock.Millis
}

// hiddenItem is an object that is not shown until an instant.
type hiddenItem[T any] struct {
	Item[T]
	until swclock.Millis
}

// dropMemory is how long it is known that an object was dropped, which is more than the age of copies that
// the store is set back to.
const dropMemory = swclock.Minute

// NewState returns a state without objects.
func NewState[T any](grace, lapse swclock.Millis) *State[T] {
	return &State[T]{
		grace: grace, lapse: lapse, items: make(map[string]Item[T]), heldUntil: make(map[string]swclock.Millis),
		dropped: make(map[string]swclock.Millis), hidden: make(map[string]hiddenItem[T]),
	}
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
	if s.listed && (l.Era < s.era || l.Era == s.era && l.AsOf < s.asOf) {
		return false
	}
	setBack := s.listed && l.Era > s.era
	if setBack {
		s.forgetRevisions()
		s.graceUntil = max(s.graceUntil, now+s.grace)
	}
	changed := !s.listed
	s.listed, s.asOf, s.era = true, l.AsOf, l.Era
	present := make(map[string]bool, len(l.Items))
	for _, item := range l.Items {
		present[item.Name] = true
		if setBack && s.hide(item, now) {
			continue
		}
		changed = s.put(item) || changed
	}
	for name := range s.hidden {
		if !present[name] {
			delete(s.hidden, name)
		}
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

// forgetRevisions makes objects of any revision replace the held ones.
func (s *State[T]) forgetRevisions() {
	for name, item := range s.items {
		item.Revision = 0
		s.items[name] = item
	}
	clear(s.hidden)
}

// hide hides an object that was dropped a while ago, and reports whether it was.
func (s *State[T]) hide(item Item[T], now swclock.Millis) bool {
	at, dropped := s.dropped[item.Name]
	if _, held := s.items[item.Name]; held || !dropped || now-at > dropMemory || s.lapse == 0 {
		return false
	}
	s.hidden[item.Name] = hiddenItem[T]{Item: item, until: now + s.lapse}
	return true
}

// put stores an object unless the held one is at least as recent, and reports whether
// it stored the object. In both cases the object is no longer missing.
func (s *State[T]) put(item Item[T]) bool {
	if h, hidden := s.hidden[item.Name]; hidden && item.Revision == h.Revision {
		return false
	}
	delete(s.hidden, item.Name)
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
	delete(s.hidden, name)
	if _, known := s.items[name]; !known {
		return false
	}
	if now < s.graceUntil {
		if _, held := s.heldUntil[name]; !held {
			s.heldUntil[name] = s.graceUntil
		}
		return false
	}
	s.drop(name, now)
	return true
}

func (s *State[T]) drop(name string, now swclock.Millis) {
	delete(s.items, name)
	delete(s.heldUntil, name)
	maps.DeleteFunc(s.dropped, func(_ string, at swclock.Millis) bool { return now-at > dropMemory })
	s.dropped[name] = now
}

// Expire drops the objects that are still missing at the end of the grace period, and shows those
// that have been hidden for long enough. It reports whether there were any.
func (s *State[T]) Expire(now swclock.Millis) bool {
	changed := false
	for name, until := range s.heldUntil {
		if now >= until {
			s.drop(name, now)
			changed = true
		}
	}
	for name, h := range s.hidden {
		if now >= h.until {
			delete(s.hidden, name)
			changed = s.put(h.Item) || changed
		}
	}
	return changed
}

// NextExpiry returns when Expire is due next, if any missing object is held or any hidden.
func (s *State[T]) NextExpiry() (at swclock.Millis, due bool) {
	earliest := func(until swclock.Millis) {
		if !due || until < at {
			at, due = until, true
		}
	}
	for _, until := range s.heldUntil {
		earliest(until)
	}
	for _, h := range s.hidden {
		earliest(h.until)
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

// Era returns the era of the objects.
func (s *State[T]) Era() swobject.Era { return s.era }

// AsOf returns the highest revision of an answer that the state was updated from.
func (s *State[T]) AsOf() Revision { return s.asOf }
