package swwatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// virtualBoot is the time since boot in a bubble of synctest.
type virtualBoot struct{}

// SinceBoot implements swclock.Boot.
func (virtualBoot) SinceBoot() swclock.Millis { return swclock.Millis(time.Now().UnixMilli()) }

// quietSource is a source without changes. While it is silent, calls are not answered.
type quietSource struct {
	mu      sync.Mutex
	silent  bool
	watches int
}

func (q *quietSource) List(ctx context.Context) (Listing[string], error) {
	if q.answers() {
		return Listing[string]{Items: []Item[string]{item("a", 5)}, AsOf: 8, Era: 2}, nil
	}
	<-ctx.Done()
	return Listing[string]{}, ctx.Err()
}

func (q *quietSource) Watch(ctx context.Context, after Revision, wait swclock.Millis) (Changes[string], error) {
	q.mu.Lock()
	q.watches++
	q.mu.Unlock()
	select {
	case <-time.After(wait.Duration()):
		if q.answers() {
			return Changes[string]{AsOf: after, Era: 2}, nil
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return Changes[string]{}, ctx.Err()
}

func (q *quietSource) setSilent(silent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent = silent
}

func (q *quietSource) answers() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.silent
}

// TestListFromPeer checks which objects of another host are taken: later ones of the same era, while the store cannot be reached; and
// that the store's own follow.
func TestListFromPeer(t *testing.T) {
	later := Listing[string]{Items: []Item[string]{item("a", 5), item("b", 9)}, AsOf: 10, Era: 2}
	tests := []struct {
		name   string
		silent bool
		change func(l *Listing[string])
		taken  bool
	}{
		{"later ones", true, func(*Listing[string]) {}, true},
		{"one is gone", true, func(l *Listing[string]) { l.Items = l.Items[1:] }, true},
		{"the store is reached", false, func(*Listing[string]) {}, false},
		{"as of the same revision", true, func(l *Listing[string]) { l.AsOf = 8 }, false},
		{"of an earlier era", true, func(l *Listing[string]) { l.Era = 1 }, false},
		{"of a later era", true, func(l *Listing[string]) { l.Era = 3 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &quietSource{}
				clock := swclock.NewSystem()
				var names []string
				f := NewFollower(Config{
					Kind: "things", Wait: 3000, Clock: clock, Boot: virtualBoot{}, Health: NewHealth(clock, zerolog.Nop()), Log: zerolog.Nop(),
				}, source, func(items []Item[string]) {
					names = nil
					for _, i := range items {
						names = append(names, i.Name)
					}
				})
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					f.Run(ctx)
				}()
				time.Sleep(time.Second)
				source.setSilent(tt.silent)
				time.Sleep(5 * time.Second)
				if asOf, era, wanted := f.Wanted(); wanted != tt.silent || wanted && (asOf != 8 || era != 2) {
					t.Errorf("wants objects after %d of era %d: %t", asOf, era, wanted)
				}
				l := later
				tt.change(&l)
				if taken := f.ListFromPeer(l); taken != tt.taken {
					t.Errorf("taken: %t", taken)
				}
				if tt.taken && len(names) != len(l.Items) {
					t.Errorf("holds %v", names)
				}
				if listing, has := f.ListSince(8, 2); has != tt.taken || has && len(listing.Items) != len(l.Items) {
					t.Errorf("has %+v for other hosts: %t", listing, has)
				}
				if confirmed := (virtualBoot{}).SinceBoot() - f.ConfirmedAt(); tt.silent && confirmed < 4000 {
					t.Errorf("confirmed %d ms ago by the list of another host", confirmed)
				}
				stop()
				<-ended
			})
		})
	}
}

// TestPeerConfirms checks when a host that hears from another one each half second what that holds asks the store itself, and
// how old its confirmation becomes.
func TestPeerConfirms(t *testing.T) {
	const (
		interval, span = 500 * time.Millisecond, 20 * time.Second
		// from is when the other host is heard first, and silentFrom when a silent store falls silent.
		from, silentFrom = 4 * time.Second, 8 * time.Second
	)
	same := func(now swclock.Millis) Held { return Held{Era: 2, Latest: 5, ConfirmedAt: now - 300} }
	tests := []struct {
		name string
		// peer returns what the other host holds; nil if it is not heard. until is when it is last heard, if not 0.
		peer  func(now swclock.Millis) Held
		until time.Duration
		// asked is set if the other host asks this one instead.
		asked, silent bool
		// watches are allowed, and the confirmation may be so old once the other host has been heard.
		minWatches, maxWatches int
		maxAge                 swclock.Millis
		unreachable            bool
	}{
		{name: "nobody is heard", minWatches: 6, maxWatches: 8, maxAge: 3100},
		{name: "another host holds the same", peer: same, maxWatches: 4, maxAge: 900},
		{name: "it holds less", peer: func(now swclock.Millis) Held { return Held{Era: 2, Latest: 3, ConfirmedAt: now - 300} }, maxWatches: 4, maxAge: 900},
		{name: "it holds more", peer: func(now swclock.Millis) Held { return Held{Era: 2, Latest: 9, ConfirmedAt: now} }, minWatches: 7, maxWatches: 24, maxAge: 3100},
		{name: "it is of an earlier era", peer: func(now swclock.Millis) Held { return Held{Era: 1, Latest: 5, ConfirmedAt: now} }, minWatches: 6, maxWatches: 8, maxAge: 3100},
		{name: "it is of a later era", peer: func(now swclock.Millis) Held { return Held{Era: 3, Latest: 5, ConfirmedAt: now} }, minWatches: 7, maxWatches: 24, maxAge: 3100},
		{name: "its confirmation grows old", peer: func(swclock.Millis) Held { return Held{Era: 2, Latest: 5, ConfirmedAt: 1} }, minWatches: 6, maxWatches: 14, maxAge: 3700},
		{name: "it falls silent", peer: same, until: 10 * time.Second, minWatches: 6, maxWatches: 9, maxAge: 3700},
		{name: "it asks", asked: true, minWatches: 15, maxWatches: 20, maxAge: 1100},
		{name: "it holds the same, and the store is silent here", peer: same, silent: true, maxWatches: 4, maxAge: 900},
		{name: "it holds more, and the store is silent here", peer: func(now swclock.Millis) Held {
			if now > 9000 {
				return Held{Era: 2, Latest: 9, ConfirmedAt: now}
			}
			return same(now)
		}, silent: true, maxWatches: 20, maxAge: 30_000, unreachable: true},
		{name: "the store is silent here, and nobody is heard", silent: true, maxWatches: 8, maxAge: 30_000, unreachable: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &quietSource{}
				clock := swclock.NewSystem()
				start := virtualBoot{}.SinceBoot()
				f := NewFollower(Config{
					Kind: "things", Wait: 3000, WaitAfterChange: 700, PeerWait: swclock.Minute, AskedWait: 1000, ConfirmWithin: 2500,
					Clock: clock, Boot: virtualBoot{}, Health: NewHealth(clock, zerolog.Nop()), Log: zerolog.Nop(),
				}, source, func([]Item[string]) {})
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					f.Run(ctx)
				}()
				var oldest swclock.Millis
				for passed := time.Duration(0); passed < span; passed += interval {
					now := virtualBoot{}.SinceBoot()
					if tt.silent && passed == silentFrom {
						source.setSilent(true)
					}
					if passed >= from+time.Second {
						oldest = max(oldest, now-f.ConfirmedAt())
					}
					heard := passed >= from && (tt.until == 0 || passed < tt.until)
					if heard && tt.asked {
						if held, ok := f.Held(); !ok || held.Latest != 5 || held.Era != 2 {
							t.Errorf("holds %+v, %t", held, ok)
						}
					} else if heard && tt.peer != nil {
						held := tt.peer(now - start)
						held.ConfirmedAt += start
						f.ObservePeer(held)
					}
					time.Sleep(interval)
				}
				unreachable := f.config.Health.Unreachable()
				stop()
				<-ended
				if source.watches < tt.minWatches || source.watches > tt.maxWatches {
					t.Errorf("%d watches, want %d to %d", source.watches, tt.minWatches, tt.maxWatches)
				}
				if oldest > tt.maxAge {
					t.Errorf("the confirmation became %d ms old, want %d at most", oldest, tt.maxAge)
				}
				if unreachable != tt.unreachable {
					t.Errorf("the store is taken for unreachable: %t", unreachable)
				}
			})
		})
	}
}

// listSource lists one object as of a revision.
type listSource struct {
	quietSource
	asOf Revision
}

func (l *listSource) List(context.Context) (Listing[string], error) {
	return Listing[string]{Items: []Item[string]{item("a", 5)}, AsOf: l.asOf, Era: 2}, nil
}

// TestBehind checks when a host ends its watch because another one holds more: not while it only follows the same changes
// a moment later.
func TestBehind(t *testing.T) {
	type step struct {
		// asOf is what this host has listed by then, and latest what the other one holds.
		asOf, latest Revision
	}
	tests := []struct {
		name  string
		steps []step // each half a second after the one before
		want  bool
	}{
		{"never behind", []step{{10, 5}, {10, 9}, {10, 10}, {10, 10}}, false},
		{"one change lacking for a second", []step{{10, 11}, {10, 11}, {10, 11}}, true},
		{"one change lacking, and then others", []step{{10, 11}, {10, 12}, {10, 13}}, true},
		{"always a moment later", []step{{10, 11}, {11, 12}, {12, 13}, {13, 14}, {14, 15}}, false},
		{"catches up in time", []step{{10, 11}, {10, 11}, {11, 11}, {11, 12}, {12, 12}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &swclock.Manual{}
			clock.Advance(1000)
			source := &listSource{}
			f := NewFollower(Config{
				Kind: "things", Wait: 100, Clock: clock, Boot: clock, Health: NewHealth(clock, zerolog.Nop()), Log: zerolog.Nop(),
			}, source, func([]Item[string]) {})
			for _, s := range tt.steps {
				source.asOf = s.asOf
				if err := f.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				f.ObservePeer(Held{Era: 2, Latest: s.latest, ConfirmedAt: clock.Now()})
				clock.Advance(500)
			}
			if renewed := len(f.renew) > 0; renewed != tt.want {
				t.Errorf("the watch is ended: %t, want %t", renewed, tt.want)
			}
		})
	}
}

// TestHeldWithoutStore checks that a host which cannot reach the store, or has not listed, confirms nothing to others.
func TestHeldWithoutStore(t *testing.T) {
	clock := &swclock.Manual{}
	clock.Advance(1000)
	health := NewHealth(clock, zerolog.Nop())
	f := NewFollower(Config{Kind: "things", Wait: 100, Clock: clock, Boot: clock, Health: health, Log: zerolog.Nop()}, &quietSource{}, func([]Item[string]) {})
	if held, ok := f.Held(); ok {
		t.Errorf("holds %+v before it has listed", held)
	}
	if err := f.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if held, ok := f.Held(); !ok || held != (Held{Era: 2, Latest: 5, ConfirmedAt: 1000}) {
		t.Errorf("holds %+v, %t", held, ok)
	}
	health.recordFailure("things", errNoAnswer)
	if held, ok := f.Held(); ok {
		t.Errorf("holds %+v while the store is unreachable", held)
	}
}

// TestWatchCutAfterConfirmation guards against targets that are held after they have gone, because the watch of a host that was
// long confirmed by another one is cut off: that is no outage of the store in which it may have dropped them.
func TestWatchCutAfterConfirmation(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		clock := &swclock.Manual{}
		clock.Advance(1000)
		health := NewHealth(clock, zerolog.Nop())
		f := NewFollower(Config{
			Kind: "things", Wait: 100, MissingGrace: 2000, RenewalTimeout: 3600, Clock: clock, Boot: clock, Health: health, Log: zerolog.Nop(),
		}, &quietSource{}, func([]Item[string]) {})
		if err := f.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if clock.Advance(20_000); confirmed {
			f.ObservePeer(Held{Era: 2, Latest: 5, ConfirmedAt: clock.Now() - 300})
		}
		health.recordFailure("things", errNoAnswer)
		f.mu.Lock()
		f.recordAnswer(2)
		dropped := f.state.Apply(Changes[string]{Changes: []Change[string]{removed("a")}, AsOf: 9, Era: 2}, clock.Now())
		f.mu.Unlock()
		if dropped != confirmed {
			t.Errorf("confirmed: %t; the target is dropped at once: %t", confirmed, dropped)
		}
	}
}
