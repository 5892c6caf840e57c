package swwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// listTimeout bounds a call that does not wait. The store answers in some
	// milliseconds, and in a quarter of a second when it is slow.
	listTimeout = 1500 * swclock.Millis(1)
	// answerMargin is how long an answer may take beyond the wait that was asked for.
	answerMargin = 700 * swclock.Millis(1)
	// knownShare is the part of the lapse, in percent, for which calls must have
	// failed for objects to have been dropped: most of the silence of an object
	// may lie before the outage.
	knownShare = 30
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
	// Settle is the time between a change and the next watch, so that changes in
	// quick succession take few calls.
	Settle swclock.Millis
	// Grace is how long a missing object is held after the store was away.
	Grace swclock.Millis
	// Lapse is the silence after which the store drops an object, 0 if it never
	// does. Objects are held after an outage in which they may have been dropped.
	Lapse  swclock.Millis
	Clock  swclock.Clock
	Boot   swclock.Boot
	Health *Health
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
	// outages is the number of the latest outage that was looked at.
	outages uint64
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
	listed := false
	wait := f.config.WaitAfterChange
	for {
		f.config.Health.await(ctx)
		if ctx.Err() != nil {
			return
		}
		var err error
		if listed {
			wait, err = f.watch(ctx, wait)
		} else {
			err = f.list(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			listed = true
		case errors.Is(err, ErrHistoryGone):
			f.config.Log.Info().Str("kind", f.config.Kind).Uint64("asOf", uint64(f.state.AsOf())).Msg("store history gone, listing again")
			listed = false
		default:
			// A watch that was cut may have missed changes, and the next one may
			// hear of them late.
			f.config.Health.failed(f.config.Kind, err)
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
	f.answered()
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
	reached, cancelReached := f.config.Health.whileReached(ctx)
	defer cancelReached()
	watching, cancel := context.WithTimeout(reached, (wait + answerMargin).Duration())
	defer cancel()
	sent := f.config.Boot.SinceBoot()
	changes, err := f.source.Watch(watching, f.state.AsOf(), wait)
	if err != nil {
		return wait, err
	}
	f.answered()
	now := f.config.Clock.Now()
	changed := f.state.Apply(changes, now)
	if f.state.Expire(now) || changed {
		f.changed(f.state.Items())
	}
	if len(changes.Changes) > 0 {
		f.confirm(sent)
		sleep(ctx, f.config.Settle)
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

// answered notes that the store answers. After an outage in which the store may
// have dropped objects, one that is missing may come back.
func (f *Follower[T]) answered() {
	o := f.config.Health.succeeded(f.config.Kind)
	if o.Number == f.outages {
		return
	}
	f.outages = o.Number
	if f.config.Lapse > 0 && (o.Known >= f.config.Lapse*knownShare/100 || o.Unanswered >= f.config.Lapse) {
		f.state.Returned(f.config.Clock.Now())
	}
}

func sleep(ctx context.Context, span swclock.Millis) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
