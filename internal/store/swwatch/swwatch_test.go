package swwatch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// reply is the answer of a scripted source to one call.
type reply struct {
	call    string
	listing Listing[string]
	changes Changes[string]
	err     error
	// takes is how far the clock advances before the answer.
	takes swclock.Millis
}

// script is a source that gives a list of answers. It checks which method each
// call uses, and blocks calls after the last answer until the test ends.
type script struct {
	t     *testing.T
	clock *swclock.Manual
	done  chan struct{}

	mu      sync.Mutex
	replies []reply
	waits   []swclock.Millis
}

func (s *script) next(ctx context.Context, call string) (reply, error) {
	s.mu.Lock()
	if len(s.replies) == 0 {
		s.mu.Unlock()
		select {
		case <-s.done:
		default:
			close(s.done)
		}
		<-ctx.Done()
		return reply{}, ctx.Err()
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	s.mu.Unlock()
	if r.call != call {
		s.t.Errorf("called %s, want %s", call, r.call)
	}
	s.clock.Advance(r.takes)
	return r, r.err
}

func (s *script) List(ctx context.Context) (Listing[string], error) {
	r, err := s.next(ctx, "list")
	return r.listing, err
}

func (s *script) Watch(ctx context.Context, _ Revision, wait swclock.Millis) (Changes[string], error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	r, err := s.next(ctx, "watch")
	return r.changes, err
}

func item(name string, revision Revision) Item[string] {
	return Item[string]{Name: name, Revision: revision, Value: name}
}

func removed(name string) Change[string] { return Change[string]{Item: item(name, 0), Removed: true} }

func namesOf(items []Item[string]) []string {
	names := make([]string, len(items))
	for i, it := range items {
		names[i] = it.Name
	}
	return names
}

// sumClock adds a running clock to the manual clock of the script: the retry
// intervals of Health pass in real time. The spans in the tests below are much
// longer than those intervals.
type sumClock struct {
	script  *swclock.Manual
	running *swclock.System
}

func (s sumClock) Now() swclock.Millis { return s.script.Now() + s.running.Now() }

// runScript runs a follower on a script and returns the names of the held objects
// after each change.
func runScript(t *testing.T, config Config, replies []reply) (held [][]string, f *Follower[string], s *script) {
	t.Helper()
	clock := &swclock.Manual{}
	clock.Advance(1000)
	s = &script{t: t, clock: clock, done: make(chan struct{}), replies: replies}
	config.Clock, config.Boot, config.Log = clock, clock, zerolog.Nop()
	config.Health = NewHealth(sumClock{clock, swclock.NewSystem()}, zerolog.Nop())
	f = NewFollower(config, s, func(items []Item[string]) { held = append(held, namesOf(items)) })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	select {
	case <-s.done:
	case <-time.After(time.Minute):
		t.Error("the follower did not use all replies of the script")
	}
	cancel()
	<-ended
	return held, f, s
}

var errNoAnswer = errors.New("no answer")

func TestFollower(t *testing.T) {
	both := Listing[string]{Items: []Item[string]{item("a", 1), item("b", 2)}, AsOf: 2}
	one := Listing[string]{Items: []Item[string]{item("a", 1)}, AsOf: 9}
	grace := Config{Wait: 100, MissingGrace: 2000, RenewalTimeout: 500_000}
	tests := []struct {
		name    string
		config  Config
		replies []reply
		want    [][]string
	}{
		{"changes", Config{Wait: 100}, []reply{
			{call: "list", listing: both},
			{call: "watch", changes: Changes[string]{Changes: []Change[string]{{Item: item("c", 3)}, removed("a")}, AsOf: 4}},
		}, [][]string{{"a", "b"}, {"b", "c"}}},
		{"an older state changes nothing", Config{Wait: 100}, []reply{
			{call: "list", listing: Listing[string]{Items: []Item[string]{item("a", 5)}, AsOf: 5}},
			{call: "watch", changes: Changes[string]{Changes: []Change[string]{{Item: item("a", 4)}}, AsOf: 6}},
		}, [][]string{{"a"}}},
		{"lists after a cut watch", Config{Wait: 100}, []reply{
			{call: "list", listing: both}, {call: "watch", err: errNoAnswer}, {call: "list", listing: one},
		}, [][]string{{"a", "b"}, {"a"}}},
		{"lists after a gap in the history", Config{Wait: 100}, []reply{
			{call: "list", listing: both}, {call: "watch", err: ErrHistoryGone}, {call: "list", listing: one},
		}, [][]string{{"a", "b"}, {"a"}}},
		{"lists after a watch that shows a store that was set back", Config{Wait: 100}, []reply{
			{call: "list", listing: both},
			{call: "watch", changes: Changes[string]{Changes: []Change[string]{{Item: item("c", 3)}}, AsOf: 3, Era: 1}},
			{call: "list", listing: Listing[string]{Items: []Item[string]{item("a", 1), item("d", 1)}, AsOf: 1, Era: 1}},
		}, [][]string{{"a", "b"}, {"a", "d"}}},
		{"missing without an outage is gone", grace, []reply{
			{call: "list", listing: both}, {call: "watch", changes: Changes[string]{Changes: []Change[string]{removed("b")}, AsOf: 3}},
		}, [][]string{{"a", "b"}, {"a"}}},
		{"missing after failures for long comes back", grace, []reply{
			{call: "list", listing: both}, {call: "watch", err: errNoAnswer}, {call: "list", err: errNoAnswer, takes: 250_000}, {call: "list", listing: one},
			{call: "watch", changes: Changes[string]{Changes: []Change[string]{{Item: item("b", 10)}}, AsOf: 10}},
		}, [][]string{{"a", "b"}, {"a", "b"}}},
		{"missing after a long wait for a failure comes back", grace, []reply{
			{call: "list", listing: both}, {call: "watch", err: errNoAnswer, takes: 600_000}, {call: "list", listing: one},
			{call: "watch", changes: Changes[string]{Changes: []Change[string]{{Item: item("b", 10)}}, AsOf: 10}},
		}, [][]string{{"a", "b"}, {"a", "b"}}},
		{"missing after an outage stays away", grace, []reply{
			{call: "list", listing: both}, {call: "watch", err: errNoAnswer, takes: 600_000}, {call: "list", listing: one},
			{call: "watch", changes: Changes[string]{AsOf: 9}, takes: 1000}, {call: "watch", changes: Changes[string]{AsOf: 9}, takes: 1000},
		}, [][]string{{"a", "b"}, {"a"}}},
		{"missing after a short outage is gone", grace, []reply{
			{call: "list", listing: both}, {call: "watch", err: errNoAnswer, takes: 100}, {call: "list", listing: one},
		}, [][]string{{"a", "b"}, {"a"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			held, _, _ := runScript(t, tt.config, tt.replies)
			if !slices.EqualFunc(held, tt.want, slices.Equal) {
				t.Errorf("held %v, want %v", held, tt.want)
			}
		})
	}
}

// TestConfirmed checks as of which time each kind of answer confirms the held objects.
func TestConfirmed(t *testing.T) {
	listed := reply{call: "list", listing: Listing[string]{Items: []Item[string]{item("a", 1)}, AsOf: 1}, takes: 10}
	quiet := Changes[string]{AsOf: 1}
	changed := Changes[string]{Changes: []Change[string]{{Item: item("a", 2)}}, AsOf: 2}
	tests := []struct {
		name    string
		replies []reply
		want    swclock.Millis
		// waits are the waits that the watches requested. The last watch is still in progress.
		waits []swclock.Millis
	}{
		{"a list as of its call", []reply{listed}, 1000, []swclock.Millis{300}},
		{"a quiet watch as of its end", []reply{listed, {call: "watch", changes: quiet, takes: 305}}, 1310, []swclock.Millis{300, 1000}},
		{"a watch with a change as of its call", []reply{listed, {call: "watch", changes: changed, takes: 200}}, 1010, []swclock.Millis{300, 300}},
		{"a quiet watch that was cut short as of its call", []reply{listed, {call: "watch", changes: quiet, takes: 200}}, 1010, []swclock.Millis{300, 1000}},
		{"nothing by a failure", []reply{listed, {call: "watch", err: errNoAnswer, takes: 200}, {call: "list", err: errNoAnswer}}, 1000, []swclock.Millis{300}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, f, s := runScript(t, Config{Wait: 1000, WaitAfterChange: 300}, tt.replies)
			if got := f.ConfirmedAt(); got != tt.want {
				t.Errorf("confirmed as of %d, want %d", got, tt.want)
			}
			if !slices.Equal(s.waits, tt.waits) {
				t.Errorf("waits %v, want %v", s.waits, tt.waits)
			}
		})
	}
}

// TestStateConverges checks on random histories, of which the state receives
// listings and batches of changes, that it ends with the objects of the store.
func TestStateConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Item[string]{}
		state := NewState[string](swclock.Millis(rapid.IntRange(0, 500).Draw(t, "grace")), 0)
		revision, now := Revision(0), swclock.Millis(0)
		var missed []Change[string]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += swclock.Millis(rapid.IntRange(0, 300).Draw(t, "time"))
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				revision++
				store[name] = item(name, revision)
				missed = append(missed, Change[string]{Item: store[name]})
			case 2:
				revision++
				delete(store, name)
				missed = append(missed, removed(name))
			case 3:
				state.Apply(Changes[string]{Changes: missed, AsOf: revision}, now)
				missed = nil
			case 4:
				state.StoreRecovered(now)
				var l Listing[string]
				for _, it := range store {
					l.Items = append(l.Items, it)
				}
				l.AsOf = revision
				state.List(l, now)
				missed = nil
			}
		}
		state.Apply(Changes[string]{Changes: missed, AsOf: revision}, now)
		state.Expire(now + 1000)
		var want []string
		for name := range store {
			want = append(want, name)
		}
		slices.Sort(want)
		if got := namesOf(state.Items()); !slices.Equal(got, want) {
			t.Fatalf("holds %v, the store has %v", got, want)
		}
	})
}

// TestStateOfStoreSetBack checks which objects are held after the store was set back to an earlier copy.
func TestStateOfStoreSetBack(t *testing.T) {
	const grace, lapse = 200, 500
	listing := func(era swobject.Era, asOf Revision, items ...Item[string]) Listing[string] {
		return Listing[string]{Era: era, AsOf: asOf, Items: items}
	}
	drop := Changes[string]{AsOf: 101, Changes: []Change[string]{removed("b")}}
	tests := []struct {
		name string
		// run begins at 0 with the objects a and b as of revision 100, which the store has at 90.
		run  func(s *State[string])
		want []string
	}{
		{"an older revision of the same era", func(s *State[string]) { s.List(listing(0, 50, item("c", 50)), 10) }, []string{"a", "b"}},
		{"a new object", func(s *State[string]) {
			s.List(listing(1, 50, item("a", 40), item("b", 40), item("c", 50)), 10)
		}, []string{"a", "b", "c"}},
		{"a late listing of the era before", func(s *State[string]) {
			s.List(listing(1, 50, item("a", 40), item("b", 40)), 10)
			s.List(listing(0, 200, item("d", 150)), 20)
		}, []string{"a", "b"}},
		{"missing in the copy", func(s *State[string]) { s.List(listing(1, 50, item("a", 40)), 10) }, []string{"a", "b"}},
		{"missing in the copy and not written again", func(s *State[string]) {
			s.List(listing(1, 50, item("a", 40)), 10)
			s.Expire(10 + grace)
		}, []string{"a"}},
		{"missing in the copy and written again", func(s *State[string]) {
			s.List(listing(1, 50, item("a", 40)), 10)
			s.Apply(Changes[string]{Era: 1, AsOf: 51, Changes: []Change[string]{{Item: item("b", 51)}}}, 20)
			s.Expire(10 + grace)
		}, []string{"a", "b"}},
		{"dropped before", func(s *State[string]) {
			s.Apply(drop, 5)
			s.List(listing(1, 50, item("a", 40), item("b", 40)), 10)
			s.List(listing(1, 51, item("a", 40), item("b", 40)), 20)
		}, []string{"a"}},
		{"dropped before and changed since", func(s *State[string]) {
			s.Apply(drop, 5)
			s.List(listing(1, 50, item("a", 40), item("b", 40)), 10)
			s.Apply(Changes[string]{Era: 1, AsOf: 51, Changes: []Change[string]{{Item: item("b", 51)}}}, 20)
		}, []string{"a", "b"}},
		{"dropped before and kept by the store", func(s *State[string]) {
			s.Apply(drop, 5)
			s.List(listing(1, 50, item("a", 40), item("b", 40)), 10)
			s.Expire(10 + lapse)
		}, []string{"a", "b"}},
		{"dropped before and lapsed", func(s *State[string]) {
			s.Apply(drop, 5)
			s.List(listing(1, 50, item("a", 40), item("b", 40)), 10)
			s.Apply(Changes[string]{Era: 1, AsOf: 51, Changes: []Change[string]{removed("b")}}, 20)
			s.Expire(10 + lapse)
		}, []string{"a"}},
		{"set back twice", func(s *State[string]) {
			s.List(listing(1, 50, item("a", 40), item("b", 40)), 10)
			s.List(listing(2, 30, item("a", 20), item("c", 25)), 20)
			s.Expire(20 + grace)
		}, []string{"a", "c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState[string](grace, lapse)
			s.List(listing(0, 100, item("a", 90), item("b", 90)), 0)
			tt.run(s)
			if got := namesOf(s.Items()); !slices.Equal(got, tt.want) {
				t.Errorf("holds %v, want %v", got, tt.want)
			}
		})
	}
}

// TestHealthTakesTurns checks that only one of several followers calls an
// unreachable store when a try is due, and that all may call after its return.
func TestHealthTakesTurns(t *testing.T) {
	clock := &swclock.Manual{}
	h := NewHealth(clock, zerolog.Nop())
	if wait, _ := h.takeTurn(); wait != 0 {
		t.Fatalf("must wait %d although the store is reachable", wait)
	}
	h.recordFailure("a", errNoAnswer)
	clock.Advance(firstRetry)
	tries := 0
	for range 5 {
		if wait, _ := h.takeTurn(); wait == 0 {
			tries++
		}
	}
	if tries != 1 {
		t.Errorf("%d followers tried at once, want 1", tries)
	}
	h.recordSuccess("a", 0)
	if wait, _ := h.takeTurn(); wait != 0 || h.Unreachable() {
		t.Errorf("must wait %d after the store's return", wait)
	}
}
