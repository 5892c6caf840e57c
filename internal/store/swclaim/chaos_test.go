package swclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// freeze is longer than callers wait in TestGrantsOnce.
const freeze = 25 * time.Millisecond

// chaosStore adds to a store what networks and hosts do: calls that pause,
// hosts that are frozen before or after a call, and writes that take effect
// after their caller was told that the answer is lost.
type chaosStore struct {
	*swmemstore.Store
	mu     sync.Mutex
	random *rand.Rand
	// late is the share of writes that take effect late or never.
	late    float64
	pending []func()
}

func newChaosStore(seed uint64, late, lose float64) *chaosStore {
	s := &chaosStore{Store: swmemstore.New(seed), random: rand.New(rand.NewPCG(seed, 1)), late: late}
	s.SetFaults(swmemstore.Faults{LoseAnswer: lose})
	return s
}

// draw returns whether a write is late, and a short pause.
func (s *chaosStore) draw() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.late, time.Duration(s.random.IntN(300)) * time.Microsecond
}

func (s *chaosStore) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
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

func (s *chaosStore) Get(ctx context.Context, key string) (swobject.Object, error) {
	_, pause := s.draw()
	time.Sleep(pause)
	defer s.freezeSometimes() // what was read is then old
	return s.Store.Get(ctx, key)
}

// freezeSometimes pauses one call in thirty for as long as a frozen host would.
func (s *chaosStore) freezeSometimes() {
	s.mu.Lock()
	frozen := s.random.IntN(30) == 0
	s.mu.Unlock()
	if frozen {
		time.Sleep(freeze)
	}
}

// deliver lets some of the late writes reach the store.
func (s *chaosStore) deliver() {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	for _, write := range pending {
		write()
	}
}
