package swclaim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// grantChecker records violations of the rule that a key is granted to a second
// request only after the first was recorded as not run.
type grantChecker struct {
	mu         sync.Mutex
	active     map[string]swid.RequestID
	ran        map[string]bool
	violations []string
}

func (g *grantChecker) recordGrant(key string, id swid.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other, ok := g.active[key]; ok || g.ran[key] {
		g.violations = append(g.violations, fmt.Sprintf("key %s granted to %s while held by %q, ran %v", key, id, other, g.ran[key]))
	}
	g.active[key] = id
}

func (g *grantChecker) recordFinish(key string, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, key)
	g.ran[key] = g.ran[key] || ran
}

// runCaller claims keys in turn through one registry, and records the outcome of each
// granted claim.
func (g *grantChecker) runCaller(r *ObjectRegistry, name string, keys, calls int, timeout time.Duration) {
	for i := range calls {
		key := fmt.Sprint(i % keys)
		e := Entry{Key: Key{Org: "o", Key: key}, Request: swid.RequestID(fmt.Sprintf("%s-%d", name, i))}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		d, err := r.Claim(ctx, e)
		cancel()
		if err != nil || !d.Granted {
			continue
		}
		g.recordGrant(key, e.Request)
		ran := i%3 != 0
		g.recordFinish(key, ran)
		outcome := OutcomeNotRun
		if ran {
			outcome = OutcomeAnswered
		}
		r.RecordOutcome(e, Decision{Outcome: outcome})
	}
}

func startRegistry(t testing.TB, c Config, store swobject.Store, clock swclock.Clock) *ObjectRegistry {
	r := New(c, store, clock)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

// TestGrantsOnce checks that a key runs at most once when several hosts claim the same
// few keys from a store that loses responses, delays writes and has outages.
func TestGrantsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		late := rapid.Float64Range(0, 0.4).Draw(rt, "late")
		lose := rapid.Float64Range(0, 0.4).Draw(rt, "lose")
		hosts := rapid.IntRange(1, 4).Draw(rt, "hosts")
		keys := rapid.IntRange(1, 6).Draw(rt, "keys")
		timeout := time.Duration(rapid.IntRange(1, 20).Draw(rt, "patience")) * time.Millisecond
		store := newFaultyStore(seed, late, lose)
		g := &grantChecker{active: make(map[string]swid.RequestID), ran: make(map[string]bool)}
		ctx, cancel := context.WithCancel(context.Background())
		var run, callers conc.WaitGroup
		for host := range hosts {
			r := New(Config{Environment: "e", Shards: 2}, store, swclock.NewSystem())
			run.Go(func() { r.Run(ctx) })
			for c := range 3 {
				callers.Go(func() { g.runCaller(r, fmt.Sprintf("%d-%d", host, c), keys, 12, timeout) })
			}
		}
		run.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(time.Millisecond)
				store.deliverPending()
				store.SetFaults(swmemstore.Faults{LostResponseRate: lose, Outage: n%7 == 6})
			}
		})
		callers.Wait()
		cancel()
		run.Wait()
		if len(g.violations) > 0 {
			rt.Fatal(g.violations)
		}
	})
}

func entry(key string, id swid.RequestID) Entry {
	return Entry{Key: Key{Org: "o", Key: key}, Request: id, Fingerprint: 1}
}

func claim(t *testing.T, r *ObjectRegistry, e Entry) Decision {
	t.Helper()
	d, err := r.Claim(context.Background(), e)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func waitRecorded(t *testing.T, r *ObjectRegistry) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); r.Pending() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d not recorded", r.Pending())
		}
	}
}

func TestRepeatedKey(t *testing.T) {
	store := swmemstore.New(1)
	a := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	b := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	if d := claim(t, a, entry("k", "a1")); !d.Granted {
		t.Fatalf("first claim: %+v", d)
	}
	if d := claim(t, b, entry("k", "b1")); d.Granted || d.Outcome != OutcomeUnknown {
		t.Errorf("claim of a running key: %+v", d)
	}
	// An outcome reported by a request that does not hold the claim is ignored.
	b.RecordOutcome(entry("k", "b1"), Decision{Outcome: OutcomeNotRun})
	waitRecorded(t, b)
	a.RecordOutcome(entry("k", "a1"), Decision{Outcome: OutcomeAnswered, Status: 201, ContentType: "c", Body: []byte("x")})
	waitRecorded(t, a)
	c := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	if d := claim(t, c, entry("k", "c1")); d.Granted || d.Outcome != OutcomeAnswered || d.Status != 201 || string(d.Body) != "x" {
		t.Errorf("claim of an answered key: %+v", d)
	}
	other := entry("k", "c2")
	other.Fingerprint = 2
	if d := claim(t, c, other); d.Granted || !d.Mismatch || d.Body != nil {
		t.Errorf("claim with other content: %+v", d)
	}
}

func TestNotRunIsClaimedAgain(t *testing.T) {
	store := swmemstore.New(1)
	a := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	b := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	claim(t, a, entry("k", "a1"))
	a.RecordOutcome(entry("k", "a1"), Decision{Outcome: OutcomeNotRun})
	waitRecorded(t, a)
	if d := claim(t, b, entry("k", "b1")); !d.Granted {
		t.Errorf("claim after not run: %+v", d)
	}
	// A late outcome of the first claimant does not change the second claim.
	a.RecordOutcome(entry("k", "a1"), Decision{Outcome: OutcomeNotRun})
	waitRecorded(t, a)
	if d := claim(t, a, entry("k", "a2")); d.Granted {
		t.Errorf("claim of a running key: %+v", d)
	}
}

func TestOutcomeIsRecordedAtTheEnd(t *testing.T) {
	store := swmemstore.New(1)
	r := New(Config{Environment: "e"}, store, swclock.NewSystem())
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	run.Go(func() { r.Run(ctx) })
	claim(t, r, entry("k", "a1"))
	cancel()
	run.Wait()
	r.RecordOutcome(entry("k", "a1"), Decision{Outcome: OutcomeAnswered})
	r.Run(ctx) // ctx has ended: only drains the queued outcome
	b := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	if d := claim(t, b, entry("k", "b1")); d.Outcome != OutcomeAnswered {
		t.Errorf("claim after the end: %+v", d)
	}
}

func TestOutageAnswersAtOnce(t *testing.T) {
	store := swmemstore.New(1)
	store.SetFaults(swmemstore.Faults{Outage: true})
	r := startRegistry(t, Config{Environment: "e"}, store, swclock.NewSystem())
	if _, err := r.Claim(context.Background(), entry("k", "a1")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("claim in an outage: %v", err)
	}
	store.SetFaults(swmemstore.Faults{})
	if d := claim(t, r, entry("k", "a2")); !d.Granted {
		t.Errorf("claim after the outage: %+v", d)
	}
}

// TestLateWriteIsFenced guards against a claim that failed but whose write takes
// effect later, which would block its key. The outcome recorded after the failure
// changes the shard's version, so that the late write conflicts and the key can be
// claimed again.
func TestLateWriteIsFenced(t *testing.T) {
	store := newFaultyStore(1, 1, 0)
	r := startRegistry(t, Config{Environment: "e", Shards: 1}, store, swclock.NewSystem())
	if _, err := r.Claim(context.Background(), entry("k", "a1")); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("claim whose write is late: %v", err)
	}
	store.mu.Lock()
	store.lateShare = 0
	store.mu.Unlock()
	waitRecorded(t, r)
	store.deliverPending()
	b := startRegistry(t, Config{Environment: "e", Shards: 1}, store, swclock.NewSystem())
	if d := claim(t, b, entry("k", "b1")); !d.Granted {
		t.Errorf("claim after a late write: %+v", d)
	}
}

// lossyStore returns swobject.ErrUnknown from its first write although the write
// takes effect.
type lossyStore struct {
	*swmemstore.Store
	lost bool
}

func (s *lossyStore) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if !s.lost {
		s.lost = true
		return 0, swobject.ErrUnknown
	}
	return version, err
}

func TestLostAnswerIsSettled(t *testing.T) {
	r := startRegistry(t, Config{Environment: "e"}, &lossyStore{Store: swmemstore.New(1)}, swclock.NewSystem())
	if d := claim(t, r, entry("k", "a1")); !d.Granted {
		t.Errorf("claim whose answer was lost: %+v", d)
	}
	if d := claim(t, r, entry("k", "a2")); d.Granted {
		t.Errorf("second claim: %+v", d)
	}
}

func TestRetention(t *testing.T) {
	store, clock := swmemstore.New(1), &swclock.Manual{}
	r := startRegistry(t, Config{Environment: "e", Shards: 1}, store, clock)
	claim(t, r, entry("old", "a"))
	for i := range retentionPeriods {
		clock.Advance(swclock.Hour)
		claim(t, r, entry(fmt.Sprint(i), swid.RequestID(fmt.Sprint(i))))
	}
	if d := claim(t, r, entry("old", "b")); d.Granted {
		t.Error("claim was dropped before its retention ended")
	}
	clock.Advance(swclock.Hour)
	if d := claim(t, r, entry("old", "c")); !d.Granted {
		t.Errorf("claim after the retention: %+v", d)
	}
	// A host that has not seen the current period for its whole length does not end it.
	late := startRegistry(t, Config{Environment: "e", Shards: 1}, store, clock)
	claim(t, late, entry("new", "d"))
	if r.queues[0].ageSeen != late.queues[0].ageSeen {
		t.Error("a host ended a period that it had not seen")
	}
}

func TestFullShard(t *testing.T) {
	s := newShard()
	n := 0
	for ; ; n++ {
		e := entry(fmt.Sprint(n), swid.RequestID(fmt.Sprintf("%060d", n)))
		h := hashKey(e.Key)
		if s.claim(h, e).full {
			break
		}
		s.recordOutcome(outcomeReport{hash: h, request: e.Request, decision: Decision{Outcome: OutcomeAnswered, Status: 200, Body: make([]byte, maxAnswerBytes)}})
	}
	data, err := encodeShard(s)
	if err != nil || len(data) > swobject.MaxValueBytes {
		t.Errorf("%d claims have %d bytes, error %v", n, len(data), err)
	}
	var err2 error = &FullError{RetryAfter: swclock.Hour}
	if !errors.Is(err2, ErrUnavailable) {
		t.Error("a full shard does not count as unavailable")
	}
}
