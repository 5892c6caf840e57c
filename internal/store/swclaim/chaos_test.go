package swclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// freezeDuration is longer than the timeout of the callers in TestGrantsOnce.
const freezeDuration = 25 * time.Millisecond

// faultyStore simulates network and host faults on top of a store: delayed
// calls, hosts that freeze after a call, and writes that take effect after
// their caller received swobject.ErrUnknown.
type faultyStore struct {
	*swmemstore.Store
	mu     sync.Mutex
	random *rand.Rand
	// lateShare is the share of writes that take effect only in deliverPending, if at all.
	lateShare float64
	pending   []func()
}

func newFaultyStore(seed uint64, late, lose float64) *faultyStore {
	s := &faultyStore{Store: swmemstore.New(seed), random: rand.New(rand.NewPCG(seed, 1)), lateShare: late}
	s.SetFaults(swmemstore.Faults{LostResponseRate: lose})
	return s
}

// draw returns at random whether a write is late, and a pause of less than 0.3 ms.
func (s *faultyStore) draw() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.lateShare, time.Duration(s.random.IntN(300)) * time.Microsecond
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	late, pause := s.draw()
	time.Sleep(pause)
	if !late {
		defer s.freezeSometimes()
		return s.Store.Put(ctx, key, value, expected)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, func() { _, _ = s.Store.Put(ctx, key, value, expected) })
	return 0, swobject.ErrUnknown
}

func (s *faultyStore) Get(ctx context.Context, key string) (swobject.Object, error) {
	_, pause := s.draw()
	time.Sleep(pause)
	defer s.freezeSometimes() // the value that was read may be stale by then
	return s.Store.Get(ctx, key)
}

// freezeSometimes sleeps for freezeDuration in one of thirty calls, to simulate a frozen host.
func (s *faultyStore) freezeSometimes() {
	s.mu.Lock()
	frozen := s.random.IntN(30) == 0
	s.mu.Unlock()
	if frozen {
		time.Sleep(freezeDuration)
	}
}

// deliverPending sends the late writes collected so far to the store.
func (s *faultyStore) deliverPending() {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	for _, write := range pending {
		write()
	}
}
