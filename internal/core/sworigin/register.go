package sworigin

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// DefaultCapacity is the number of streams that a Register keeps: more than begin within the usual deadlines
// at the largest size.
const DefaultCapacity = 1 << 17

// Verdict is what a Register knows of a stream.
type Verdict uint8

// Verdicts.
const (
	// VerdictUnknown means that nothing tells which version began the stream.
	VerdictUnknown Verdict = iota
	// VerdictPending means that the store has not been read since the question came up.
	VerdictPending
	// VerdictKnown means that the origin is known.
	VerdictKnown
)

// Register records the origins of streams. It has those of this host's own streams, of those that this host
// scheduled as an owner, and those that were stored. If it does not have a stream, the stream's origin is known only
// where there is a single one that it can have: the software versions that have served a service are recorded
// for as long as streams may be taken up. It is safe for concurrent use.
type Register struct {
	capacity int

	mu sync.Mutex
	// streams has up to capacity streams.
	streams map[Stream]record
	// order has the streams in the order in which they were added, for the removal of the oldest.
	order []Stream
	// unsaved has the streams of mixed services that are to be stored, in the order in which they began.
	unsaved []Begun
	// serving maps each service to the origins that a stream may have which is continued there.
	serving map[swid.ServiceID]map[Origin]served
	// confirmedAt is the latest instant as of which serving has all origins that the store knows of, and
	// unconfirmedAt when the latest question came up that needs a later one.
	confirmedAt, unconfirmedAt swclock.Millis
	// loadedAt is the start of the latest complete reading of the stored streams, and wantedAt that of the latest
	// question for one that is not known.
	loadedAt, wantedAt swclock.Millis
	// changes counts the changes of serving.
	changes uint64
}

// record is what is known of a stream.
type record struct {
	origin Origin
	until  swclock.Millis
}

// served is when an origin last served.
type served struct {
	now bool
	// until is the end of the time in which streams that it began may be continued, once it serves no more.
	until swclock.Millis
}

// NewRegister returns an empty register.
func NewRegister(capacity int) *Register {
	return &Register{
		capacity: capacity, streams: make(map[Stream]record), serving: make(map[swid.ServiceID]map[Origin]served),
		confirmedAt: -1, unconfirmedAt: -1, loadedAt: -1, wantedAt: -1,
	}
}

// Add records a stream that has begun. A stream of which two origins are reported has none that is known.
func (r *Register) Add(b Begun, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.Retention = min(b.Retention, MaxRetention)
	if b.Stream == 0 || b.Retention <= 0 || !r.put(b, now) {
		return
	}
	if r.mixed(b.Origin.Service, now) {
		r.unsaved = append(r.unsaved, b)
		if len(r.unsaved) > r.capacity {
			r.unsaved = slices.Delete(r.unsaved, 0, len(r.unsaved)-r.capacity)
		}
	}
}

// put stores a stream and reports whether it was not known before. r.mu must be held.
func (r *Register) put(b Begun, now swclock.Millis) bool {
	known, found := r.streams[b.Stream]
	if found && known.until > now {
		if known.origin != b.Origin {
			known.origin = Origin{}
		}
		known.until = max(known.until, now+b.Retention)
		r.streams[b.Stream] = known
		return false
	}
	if !found {
		r.makeRoom(now)
		r.order = append(r.order, b.Stream)
	}
	r.streams[b.Stream] = record{origin: b.Origin, until: now + b.Retention}
	return true
}

// makeRoom removes the streams at the front of order that have expired, and the oldest one if there are too
// many. r.mu must be held.
func (r *Register) makeRoom(now swclock.Millis) {
	n := 0
	for n < len(r.order) && (r.streams[r.order[n]].until <= now || len(r.streams) >= r.capacity) {
		delete(r.streams, r.order[n])
		n++
	}
	r.order = r.order[n:]
}

// Find returns the origin of a stream that this register has.
func (r *Register) Find(s Stream, now swclock.Millis) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, known := r.streams[s]
	return found.origin, known && found.until > now && found.origin.Known()
}

// Resolve returns the origin of a stream that is to be continued at a service. askedAt is when the question
// came up. A single origin that is known of the service is the stream's only if the store has confirmed since
// then that there is no other: a host that was out of step for a while may lack those that came meanwhile.
func (r *Register) Resolve(service swid.ServiceID, s Stream, askedAt, now swclock.Millis) (Origin, Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, known := r.streams[s]; known && found.until > now {
		if !found.origin.Known() {
			return Origin{}, VerdictUnknown
		}
		return found.origin, VerdictKnown
	}
	possible := r.possible(service, now)
	confirmed := r.confirmedAt >= askedAt
	switch {
	case len(possible) <= 1 && !confirmed:
		r.unconfirmedAt = max(r.unconfirmedAt, askedAt)
		return Origin{}, VerdictPending
	case len(possible) == 1:
		return possible[0], VerdictKnown
	case len(possible) == 0, s == 0, r.loadedAt >= askedAt:
		return Origin{}, VerdictUnknown
	}
	r.wantedAt = max(r.wantedAt, askedAt)
	return Origin{}, VerdictPending
}

// Wanted reports what is to be read from the store, because a stream was asked for that is not known:
// a confirmation of the origins of each service, and the stored streams.
func (r *Register) Wanted(now swclock.Millis) (confirmation, streams bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	confirmation = r.unconfirmedAt > r.confirmedAt
	// What is confirmed may turn out to be one of several origins.
	streams = r.wantedAt > r.loadedAt || r.unconfirmedAt > r.loadedAt && r.anyMixed(now)
	return confirmation, streams
}

// anyMixed reports whether the streams of any service may have different origins. r.mu must be held.
func (r *Register) anyMixed(now swclock.Millis) bool {
	for service := range r.serving {
		if r.mixed(service, now) {
			return true
		}
	}
	return false
}

// Confirm records that all origins which the store knew of at an instant have been passed to SetServing and
// LoadVersions.
func (r *Register) Confirm(at swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// Load adds stored streams, of a reading that began at an instant.
func (r *Register) Load(streams []Begun, startedAt, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range streams {
		r.put(b, now)
	}
	r.loadedAt = max(r.loadedAt, startedAt)
}

// SetServing replaces the origins that each service's streams may have now, and reports whether there is one
// that was not known.
func (r *Register) SetServing(current map[swid.ServiceID][]Origin, now swclock.Millis) (added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, origins := range r.serving {
		for o, s := range origins {
			if s.now {
				origins[o] = served{until: now + MaxRetention}
			}
		}
	}
	before := r.changes
	for service, origins := range current {
		for _, o := range origins {
			r.serve(service, o, served{now: true}, now)
		}
	}
	return r.changes != before
}

// LoadVersions adds the stored origins of each service.
func (r *Register) LoadVersions(stored map[swid.ServiceID][]Origin, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, origins := range stored {
		for _, o := range origins {
			r.serve(service, o, served{until: now + MaxRetention}, now)
		}
	}
}

// Join records that streams which any of the services began may from now on be continued at any other, as a route
// was moved from one to another.
func (r *Register) Join(services []swid.ServiceID, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, from := range services {
		for o, s := range maps.Clone(r.serving[from]) {
			until := s.until
			if s.now {
				until = now + MaxRetention
			}
			if until <= now {
				continue
			}
			for _, to := range services {
				if known, found := r.serving[to][o]; !found || !known.now && known.until < until {
					r.serve(to, o, served{until: until}, now)
				}
			}
		}
	}
}

// serve records an origin of a service. What makes the service a mixed one makes the streams known so far
// ones to be stored. r.mu must be held.
func (r *Register) serve(service swid.ServiceID, o Origin, s served, now swclock.Millis) {
	origins := r.serving[service]
	if origins == nil {
		origins = make(map[Origin]served)
		r.serving[service] = origins
	}
	before, known := origins[o]
	if known && before.now {
		return
	}
	wasMixed := r.mixed(service, now)
	origins[o] = s
	if !known {
		r.changes++
	}
	if !wasMixed && r.mixed(service, now) {
		r.unsave(service, now)
	}
}

// Unsave makes all streams of mixed services ones to be stored, as the store may have lost them.
func (r *Register) Unsave(now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsaved = nil
	for service := range r.serving {
		if r.mixed(service, now) {
			r.unsave(service, now)
		}
	}
}

// unsave makes the streams that a service began ones to be stored. r.mu must be held.
func (r *Register) unsave(service swid.ServiceID, now swclock.Millis) {
	for _, s := range r.order {
		if k := r.streams[s]; k.origin.Service == service && k.until > now {
			r.unsaved = append(r.unsaved, Begun{Stream: s, Origin: k.origin, Retention: k.until - now})
		}
	}
}

// Mixed reports whether streams that are continued at a service may have different origins.
func (r *Register) Mixed(service swid.ServiceID, now swclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mixed(service, now)
}

// mixed implements Mixed. r.mu must be held.
func (r *Register) mixed(service swid.ServiceID, now swclock.Millis) bool {
	n := 0
	for _, s := range r.serving[service] {
		if s.now || s.until > now {
			n++
		}
	}
	return n > 1
}

// possible returns the origins that streams may have which are continued at a service. r.mu must be held.
func (r *Register) possible(service swid.ServiceID, now swclock.Millis) []Origin {
	var origins []Origin
	for o, s := range r.serving[service] {
		if s.now || s.until > now {
			origins = append(origins, o)
		}
	}
	return origins
}

// Versions returns the origins that are to be stored, by service, and a number that is larger after each
// change. It drops those that have served too long ago.
func (r *Register) Versions(now swclock.Millis) (versions map[swid.ServiceID][]Origin, changes uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions = make(map[swid.ServiceID][]Origin, len(r.serving))
	for service, origins := range r.serving {
		for o, s := range origins {
			if !s.now && s.until <= now {
				delete(origins, o)
				r.changes++
			}
		}
		if len(origins) == 0 {
			delete(r.serving, service)
			continue
		}
		versions[service] = r.possible(service, now)
		slices.SortFunc(versions[service], compareOrigins)
	}
	return versions, r.changes
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Version), string(b.Version)))
}

// Unsaved returns up to limit streams that are to be stored.
func (r *Register) Unsaved(limit int) []Begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.unsaved[:min(limit, len(r.unsaved))])
}

// Saved records that the first n streams of Unsaved have been stored.
func (r *Register) Saved(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsaved = slices.Delete(r.unsaved, 0, min(n, len(r.unsaved)))
}

// Recent returns up to limit streams that may be continued, the latest first.
func (r *Register) Recent(limit int, now swclock.Millis) []Begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []Begun
	for i := len(r.order) - 1; i >= 0 && len(recent) < limit; i-- {
		if k := r.streams[r.order[i]]; k.until > now && k.origin.Known() {
			recent = append(recent, Begun{Stream: r.order[i], Origin: k.origin, Retention: k.until - now})
		}
	}
	return recent
}
