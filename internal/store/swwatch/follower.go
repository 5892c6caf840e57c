package swwatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// firstRetry and maxRetry bound the wait after a failed call: short enough
	// to notice the store's return, and long enough to spare its rates.
	firstRetry = 50 * swclock.Millis(1)
	maxRetry   = 500 * swclock.Millis(1)
	// listTimeout bounds a call that does not wait. The store answers in some
	// milliseconds, and in a quarter of a second when it is slow.
	listTimeout = 1500 * swclock.Millis(1)
	// answerMargin is how long an answer may take beyond the wait that was asked for.
	answerMargin = 700 * swclock.Millis(1)
)

// Config configures a Follower.
type Config struct {
	// Kind names the objects in the log.
	Kind string
	// Wait is how long one watch waits for a change.
	Wait swclock.Millis
	// WaitAfterChange is the wait of a watch after one that ended with a change.
	// It is shorter where an answer confirms what is held, since one with a
	// change confirms it only as of its call; 0 stands for Wait.
	WaitAfterChange swclock.Millis
	// Grace is how long a missing object is held after the store was away.
	Grace swclock.Millis
	// Outage is how long calls must have failed for missing objects to be held.
	Outage swclock.Millis
	Clock  swclock.Clock
	Boot   swclock.Boot
	Log    zerolog.Logger
}

// Follower follows the objects of one kind and tells of each change.
type Follower[T any] struct {
	config Config
	source Source[T]
	state  *State[T]
	// changed is called from Run's goroutine with the objects, sorted by name.
	changed func([]Item[T])
	// confirmed is when the store last confirmed what is held, in boot time; 0
	// before the first listing.
	confirmed atomic.Int64
	// failingSince is when the calls began to fail, or 0 while they succeed.
	failingSince swclock.Millis
}

// NewFollower returns a follower that does nothing before Run.
func NewFollower[T any](config Config, source Source[T], changed func([]Item[T])) *Follower[T] {
	if config.WaitAfterChange == 0 {
		config.WaitAfterChange = config.Wait
	}
	return &Follower[T]{config: config, source: source, state: NewState[T](config.Grace), changed: changed}
}

// Confirmed returns when the store last confirmed what is held, in time since boot, or 0 if it never did.
func (f *Follower[T]) Confirmed() swclock.Millis { return swclock.Millis(f.confirmed.Load()) }

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	retry := firstRetry
	listed := false
	wait := f.config.WaitAfterChange
	for ctx.Err() == nil {
		var err error
		if listed {
			wait, err = f.watch(ctx, wait)
		} else if err = f.list(ctx); err == nil {
			listed = true
		}
		switch {
		case err == nil:
			retry = firstRetry
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			f.config.Log.Info().Str("kind", f.config.Kind).Uint64("asOf", uint64(f.state.AsOf())).Msg("store history gone, listing again")
			listed = false
		default:
			f.failed(err)
			f.sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			// A watch that was cut may have missed changes, and the next one may
			// hear of them late.
			listed = false
		}
	}
}

func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	sent := f.config.Boot.SinceBoot()
	listing, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.succeeded()
	if f.state.List(listing, f.config.Clock.Now()) {
		f.changed(f.state.Items())
	}
	f.confirm(sent)
	return nil
}

// watch waits for changes once and returns how long the next watch is to wait.
func (f *Follower[T]) watch(ctx context.Context, wait swclock.Millis) (swclock.Millis, error) {
	if at, due := f.state.NextExpiry(); due {
		wait = min(wait, max(at-f.config.Clock.Now(), 1))
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + answerMargin).Duration())
	defer cancel()
	sent := f.config.Boot.SinceBoot()
	changes, err := f.source.Watch(ctx, f.state.AsOf(), wait)
	if err != nil {
		return wait, err
	}
	f.succeeded()
	now := f.config.Clock.Now()
	changed := f.state.Apply(changes, now)
	if f.state.Expire(now) || changed {
		f.changed(f.state.Items())
	}
	if len(changes.Changes) > 0 {
		f.confirm(sent)
		return f.config.WaitAfterChange, nil
	}
	if f.config.Boot.SinceBoot() < sent+wait {
		f.confirm(sent) // the watch was cut short
		return f.config.Wait, nil
	}
	// Without a change the store answers at the end of the wait.
	f.confirm(sent + wait)
	return f.config.Wait, nil
}

// confirm notes an answer that was true at an instant.
func (f *Follower[T]) confirm(at swclock.Millis) {
	f.confirmed.Store(max(f.confirmed.Load(), int64(at), 1))
}

func (f *Follower[T]) failed(err error) {
	if f.failingSince == 0 {
		f.failingSince = max(f.config.Clock.Now(), 1)
		f.config.Log.Warn().Str("kind", f.config.Kind).Err(err).Msg("store lost")
	}
}

func (f *Follower[T]) succeeded() {
	if f.failingSince == 0 {
		return
	}
	now := f.config.Clock.Now()
	away := now - f.failingSince
	f.failingSince = 0
	if away >= f.config.Outage {
		f.state.Returned(now)
	}
	f.config.Log.Info().Str("kind", f.config.Kind).Int64("awayMillis", int64(away)).Msg("store regained")
}

// sleep waits for about a span.
func (f *Follower[T]) sleep(ctx context.Context, span swclock.Millis) {
	jittered := span/2 + swclock.Millis(rand.Int64N(int64(span)))
	timer := time.NewTimer(jittered.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
