// Package swmemstore is an in-memory object store with the platform's faults, for
// tests inside one process.
package swmemstore

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Faults holds the active faults of a Store.
type Faults struct {
	// Outage makes every call fail, watches in progress included.
	Outage bool
	// WatchOutage makes watches fail and leaves all other calls unaffected.
	WatchOutage bool
	// LostResponseRate is the fraction of writes whose response is lost, from 0 to 1. On
	// average, half of those writes take effect.
	LostResponseRate float64
}

// Store implements swobject.Store. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	objects map[string]swobject.Object
	hosts   []swobject.Host
	faults  Faults
	random  *rand.Rand
	// changed is closed and replaced at each write and each change of faults.
	changed chan struct{}
	writes  int
	reads   int
}

// New returns an empty store. seed determines which writes lose their response, and
// which of those take effect.
func New(seed uint64) *Store {
	return &Store{
		objects: make(map[string]swobject.Object),
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
	s.broadcast()
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(hosts []swobject.Host) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = hosts
}

// Calls returns how many writes and reads were made.
func (s *Store) Calls() (writes, reads int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes, s.reads
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements swobject.Store.
func (s *Store) Get(_ context.Context, key string) (swobject.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	return s.get(key)
}

func (s *Store) get(key string) (swobject.Object, error) {
	if s.faults.Outage {
		return swobject.Object{}, swobject.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return swobject.Object{}, swobject.ErrNotFound
	}
	return o, nil
}

// Put implements swobject.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
	if s.faults.Outage {
		return 0, swobject.ErrUnavailable
	}
	lost := s.random.Float64() < s.faults.LostResponseRate
	if lost && s.random.IntN(2) == 0 {
		return 0, swobject.ErrUnknown
	}
	o := s.objects[key]
	if o.Version != expected {
		return 0, swobject.ErrConflict
	}
	o = swobject.Object{Key: key, Version: o.Version + 1, Value: append([]byte(nil), value...)}
	s.objects[key] = o
	s.broadcast()
	if lost {
		return 0, swobject.ErrUnknown
	}
	return o.Version, nil
}

// Watch implements swobject.Store.
func (s *Store) Watch(ctx context.Context, key string, after swobject.Version) (swobject.Object, error) {
	for {
		s.mutex.Lock()
		o, err := s.get(key)
		if s.faults.WatchOutage {
			err = swobject.ErrUnavailable
		}
		changed := s.changed
		s.mutex.Unlock()
		if watchEnds(o, err, after) {
			return o, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return swobject.Object{}, swobject.ErrNotFound
		}
	}
}

// watchEnds reports whether a watch returns: the store is unavailable, or the
// object's version is above after.
func watchEnds(o swobject.Object, err error, after swobject.Version) bool {
	return err == swobject.ErrUnavailable || err == nil && o.Version > after
}

// Hosts implements swobject.Store.
func (s *Store) Hosts(context.Context) ([]swobject.Host, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Outage {
		return nil, swobject.ErrUnavailable
	}
	return append([]swobject.Host(nil), s.hosts...), nil
}
