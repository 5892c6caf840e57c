// Package swroom decides who may hold how much of a process's memory and descriptors with what callers send, and who gives
// way when there is no more.
package swroom

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// DefaultCapacity is the capacity of a process that does not know its memory.
	DefaultCapacity = 64 << 20
	// minCapacity is the lowest capacity that CapacityOf returns, and bodiesInCapacity the number of the largest bodies that it has room for at
	// least: one body may hold three eighths of it.
	minCapacity      = 16 << 20
	bodiesInCapacity = 3
	// memoryFraction is the part of the process's memory that bodies may take is one in memoryFraction.
	memoryFraction = 4
	// smallBytes is the size of a small body. One part in smallFraction of the capacity is kept for small bodies.
	smallBytes    = 16 << 10
	smallFraction = 4
	// stallAfter is how long a body of which nothing arrives, on its connection as well, counts as in use.
	stallAfter = swclock.Second
)

// ErrNoRoom means that a caller has to give way.
var ErrNoRoom = errors.New("there is no room for the request")

// CapacityOf returns the capacity for bodies of up to largest bytes of a process with so much memory, in bytes. 0 stands for memory that
// is not known.
func CapacityOf(memory, largest int64) int64 {
	capacity := max(memory/memoryFraction, minCapacity)
	if memory <= 0 {
		capacity = DefaultCapacity
	}
	return max(capacity, bodiesInCapacity*largest)
}

// Group names the organisation whose bodies are counted together; empty for those of no organisation.
type Group string

// groupKey identifies a group: the bodies of an organisation's requests, or those that are carried for a host.
type groupKey struct {
	organisation Group
	holder       swid.HostID
}

// Counts counts the bodies that were refused for want of room.
type Counts struct {
	// Full is the number of those that found no room, Stalled of those that had stalled and gave way, and Larger of those that
	// gave way because their group held the most.
	Full, Stalled, Larger uint64
}

// Room is the memory of a process for the bodies of requests. Its methods are safe for concurrent use.
//
// Bodies take room as they arrive. A body above smallBytes leaves one part in smallFraction of the capacity free, and its group
// holds at most as much as all groups leave of the rest. So n groups that take what they can get leave one in n+1 parts free. The
// small bodies of a group hold at most that part, and at most as much as all leave free of the capacity.
// If a body finds no room, bodies that have stalled give way, those that hold the most first, and then the largest of the group that
// holds the most if it holds more than that of the body. A body that is complete does not give way.
type Room struct {
	capacity int64

	mu sync.Mutex
	// held is the sum of what the shares hold. It never exceeds capacity.
	held int64
	// opened counts all shares that took room.
	opened uint64
	groups map[groupKey]*group
	// arriving has the shares of bodies that are not complete.
	arriving map[*Share]struct{}
	counts   Counts
}

// group is what the open shares of one groupKey hold.
type group struct {
	key    groupKey
	shares int
	held   int64
	// small is the part of held that small bodies hold.
	small int64
}

// NewRoom returns a room of which nothing is held.
func NewRoom(capacity int64) *Room {
	return &Room{capacity: capacity, groups: make(map[groupKey]*group), arriving: make(map[*Share]struct{})}
}

// Capacity returns the bytes that all bodies together may hold.
func (r *Room) Capacity() int64 { return r.capacity }

// Held returns the bytes that all bodies hold.
func (r *Room) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// Counts returns how many bodies were refused.
func (r *Room) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Share has what is held of one body. It is used by one goroutine; others only make it give way.
type Share struct {
	room *Room
	key  groupKey
	// group is nil until the share takes room for the first time. number counts such shares of the room.
	group  *group
	number uint64
	// giveWay is called, with room.mu locked, when the body has to give way.
	giveWay func()
	// The three fields below are protected by room.mu.
	held            int64
	evicted, closed bool
	// progressAt is when the body last made progress.
	progressAt atomic.Int64
}

// Open returns the share of a body that has begun to arrive. The caller has to close it. giveWay ends the reception of the body; it
// must not block, nor call the room. The share of a nil room is nil.
func (r *Room) Open(now swclock.Millis, organisation Group, giveWay func()) *Share {
	return r.open(now, groupKey{organisation: organisation}, giveWay)
}

// OpenCarried is as Open for a request that is carried for another host.
func (r *Room) OpenCarried(now swclock.Millis, holder swid.HostID, giveWay func()) *Share {
	return r.open(now, groupKey{holder: holder}, giveWay)
}

func (r *Room) open(now swclock.Millis, key groupKey, giveWay func()) *Share {
	if r == nil {
		return nil
	}
	s := &Share{room: r, key: key, giveWay: giveWay}
	s.Progress(now)
	return s
}

// enter adds the share to those that may have to give way.
func (s *Share) enter() {
	r := s.room
	g := r.groups[s.key]
	if g == nil {
		g = &group{key: s.key}
		r.groups[s.key] = g
	}
	g.shares++
	r.opened++
	s.group, s.number = g, r.opened
	r.arriving[s] = struct{}{}
}

// Reserve adds n bytes to the share, for which others may have to give way. It returns ErrNoRoom if there is no room, or if
// this share has given way. All methods of a nil share succeed; it bounds nothing.
func (s *Share) Reserve(now swclock.Millis, n int) error {
	if s == nil {
		return nil
	}
	r := s.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.evicted || s.closed {
		return ErrNoRoom
	}
	if s.group == nil {
		s.enter()
	}
	victims, found := r.findRoom(now, s, int64(n))
	if !found {
		r.counts.Full++
		return ErrNoRoom
	}
	for _, v := range victims {
		r.evict(now, v)
	}
	s.add(int64(n))
	s.Progress(now)
	return nil
}

// Progress records that a part of the body has arrived. It takes no lock.
func (s *Share) Progress(now swclock.Millis) {
	if s != nil {
		s.progressAt.Store(int64(now))
	}
}

// add changes what the share holds.
func (s *Share) add(n int64) {
	s.group.small -= s.small()
	s.held += n
	s.group.small += s.small()
	s.group.held += n
	s.room.held += n
}

// small returns what the share holds if its body is small, else 0.
func (s *Share) small() int64 {
	if s.held > smallBytes {
		return 0
	}
	return s.held
}

// freed is what the shares that are to give way hold: all of them, those of the group that grows, and the small bodies of that group.
type freed struct{ all, ofGroup, smallOfGroup int64 }

// findRoom returns the shares that have to give way so that s can grow by n, or false if that would not be enough.
func (r *Room) findRoom(now swclock.Millis, s *Share, n int64) (victims []*Share, found bool) {
	var f freed
	if r.fits(s, n, f) {
		return nil, true
	}
	chosen := make(map[*Share]struct{})
	for !r.fits(s, n, f) {
		v := r.victim(now, s, n, f, chosen)
		if v == nil {
			return nil, false
		}
		chosen[v] = struct{}{}
		victims = append(victims, v)
		f.all += v.held
		if v.group == s.group {
			f.ofGroup += v.held
			f.smallOfGroup += v.small()
		}
	}
	return victims, true
}

// fits reports whether s can grow by n once others have given way.
func (r *Room) fits(s *Share, n int64, f freed) bool {
	held := r.held - f.all + n
	if s.held+n <= smallBytes {
		return s.group.small-f.smallOfGroup+n <= r.capacity-held && r.smallFits(s, n, f)
	}
	large := r.capacity - r.capacity/smallFraction
	return s.group.held-f.ofGroup+n <= large-held
}

// smallFits reports whether the small bodies of a group take no more than one group may, if s is small and grows by n.
func (r *Room) smallFits(s *Share, n int64, f freed) bool {
	return s.held+n > smallBytes || s.group.small-f.smallOfGroup+n <= r.capacity/smallFraction
}

// victim returns the share that gives way next so that s can grow by n, or nil if there is none.
func (r *Room) victim(now swclock.Millis, s *Share, n int64, f freed, chosen map[*Share]struct{}) *Share {
	var stalled, largest *Share
	onlySmallOfGroup := !r.smallFits(s, n, f) // as nothing else would help
	for v := range r.arriving {
		if _, taken := chosen[v]; taken || v == s || v.held == 0 || onlySmallOfGroup && (v.group != s.group || v.small() == 0) {
			continue
		}
		if v.stalled(now) && (stalled == nil || v.givesWayBefore(stalled)) {
			stalled = v
		}
		// Bodies of the same group that still arrive do not give way to each other: none would become complete.
		if v.group != s.group && (largest == nil || v.group.held > largest.group.held || v.group.held == largest.group.held && v.givesWayBefore(largest)) {
			largest = v
		}
	}
	if stalled != nil {
		return stalled
	}
	if largest != nil && largest.group.held > s.group.held-f.ofGroup+n {
		return largest
	}
	return nil
}

// givesWayBefore reports whether s gives way before o if nothing else tells them apart: it holds more, or was opened earlier.
func (s *Share) givesWayBefore(o *Share) bool {
	return s.held > o.held || s.held == o.held && s.number < o.number
}

// stalled reports whether the body has made no progress for long.
func (s *Share) stalled(now swclock.Millis) bool {
	return now-swclock.Millis(s.progressAt.Load()) >= stallAfter
}

// evict makes a share give way.
func (r *Room) evict(now swclock.Millis, s *Share) {
	if s.stalled(now) {
		r.counts.Stalled++
	} else {
		r.counts.Larger++
	}
	s.evicted = true
	r.release(s)
	s.giveWay()
}

// release takes all bytes from a share, which may not give way any more.
func (r *Room) release(s *Share) {
	delete(r.arriving, s)
	s.add(-s.held)
}

// Complete records that the body has arrived: it does not give way any more. It returns ErrNoRoom if it had to before.
func (s *Share) Complete() error {
	if s == nil || s.group == nil {
		return nil
	}
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	if s.evicted {
		return ErrNoRoom
	}
	delete(s.room.arriving, s)
	return nil
}

// Close releases what the share holds. It may be called again.
func (s *Share) Close() {
	if s == nil {
		return
	}
	r := s.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.group == nil {
		return
	}
	r.release(s)
	if s.group.shares--; s.group.shares == 0 {
		delete(r.groups, s.group.key)
	}
}
