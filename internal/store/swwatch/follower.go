package swwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// listTimeout bounds a listing. The store answers within a few milliseconds,
	// or within 250 ms when it is slow.
	listTimeout = 1500 * swclock.Millis(1)
	// answerMargin is how much longer than its requested wait a watch may take.
	answerMargin = 700 * swclock.Millis(1)
	// minFailingPercent is the percentage of Config.RenewalTimeout for which calls must
	// have failed before the follower assumes that the store dropped objects. It
	// is below 100 because an object may already have gone without a renewal for
	// most of that time when the outage began.
	minFailingPercent = 30
)

// Config configures a Follower.
type Config struct {
	// Kind is the kind of the objects, as it is written to the log.
	Kind string
	// Wait is the longest time that one watch waits for a change.
	Wait swclock.Millis
	// WaitAfterChange is the wait of the first watch, and of a watch that follows
	// one that returned a change; 0 stands for Wait. It is set shorter than Wait
	// where ConfirmedAt must be recent: an answer with a change confirms the objects
	// only as of the start of its call.
	WaitAfterChange swclock.Millis
	// PeerWait, if not 0, is the longest time that a watch waits while other hosts confirm the objects, and AskedWait
	// while other hosts ask this one for that.
	PeerWait, AskedWait swclock.Millis
	// ConfirmWithin, if not 0, ends a watch with a longer wait than Wait when the objects have not been confirmed for so long.
	ConfirmWithin swclock.Millis
	// ChangePause is the pause between a change and the next watch, so that changes in
	// quick succession are fetched with few calls.
	ChangePause swclock.Millis
	// RetryPause is the pause after a failed call, for objects whose calls may fail while others are answered.
	RetryPause swclock.Millis
	// MissingGrace is how long an object that is missing after an outage of the store, or after it was
	// set back, is still held.
	MissingGrace swclock.Millis
	// RenewalTimeout is the time without a renewal after which the store drops an object,
	// or 0 if it never does. After an outage in which the store may have dropped
	// objects for this reason, missing objects are held for MissingGrace.
	RenewalTimeout swclock.Millis
	Clock          swclock.Clock
	Boot           swclock.Boot
	Health         *Health
	Log            zerolog.Logger
}

// Follower keeps a copy of the objects of one kind and reports each change.
type Follower[T any] struct {
	config Config
	source Source[T]
	// changed is called with all objects, sorted by name, by one goroutine at a time.
	changed func([]Item[T])
	// mu guards state and lastOutage, and is held while changed runs.
	mu    sync.Mutex
	state *State[T]
	// confirmed is the time since boot as of which the held objects last matched
	// the store, or 0 before the first listing.
	confirmed atomic.Int64
	// lastOutage is the number of the latest outage that recordAnswer handled.
	lastOutage uint64
	// held is nil before the first listing.
	held atomic.Pointer[position]
	// latest is the revision of the latest change of the held objects, or a later one before the next change.
	latest Revision
	// peer is what other hosts said of the objects.
	peer peerState
	// renew ends a watch that waits, with its reason.
	renew chan renewal
}

// NewFollower returns a follower that makes no call before Run.
func NewFollower[T any](config Config, source Source[T], changed func([]Item[T])) *Follower[T] {
	if config.WaitAfterChange == 0 {
		config.WaitAfterChange = config.Wait
	}
	return &Follower[T]{
		config: config, source: source, state: NewState[T](config.MissingGrace, config.RenewalTimeout), changed: changed, renew: make(chan renewal, 1),
	}
}

// ConfirmedAt returns the time since boot as of which the store last confirmed the
// held objects, or 0 if it never did.
func (f *Follower[T]) ConfirmedAt() swclock.Millis { return swclock.Millis(f.confirmed.Load()) }

// Refresh lists the objects. After it returns without an error, all changes that the store had when it was called have
// been passed to the function of NewFollower.
func (f *Follower[T]) Refresh(ctx context.Context) error {
	err := f.list(ctx)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		f.config.Health.recordFailure(f.config.Kind, err)
	}
	return err
}

// Run lists and watches the objects until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	listed := false
	wait := f.config.WaitAfterChange
	for {
		f.config.Health.awaitTurn(ctx)
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
			after, _ := f.position()
			f.config.Log.Info().Str("kind", f.config.Kind).Uint64("asOf", uint64(after)).Msg("store history gone, listing again")
			listed = false
		default:
			// A failed watch may have missed changes that the next watch would
			// return late.
			f.config.Health.recordFailure(f.config.Kind, err)
			listed = false
			sleep(ctx, f.config.RetryPause)
		}
	}
}

// list reads all objects once.
func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	sent := f.config.Boot.SinceBoot()
	listing, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer(listing.Era)
	first := f.state.AsOf() == 0
	if f.state.List(listing, f.config.Clock.Now()) {
		f.recordListed(listing, first)
		f.changed(f.state.Items())
	}
	f.recordHeld()
	f.confirm(sent)
	return nil
}

// watch waits for changes once and returns the wait of the next watch.
func (f *Follower[T]) watch(ctx context.Context, wait swclock.Millis) (swclock.Millis, error) {
	after, expiry := f.position()
	if expiry > 0 {
		wait = min(wait, expiry)
	}
	reachable, cancelReachable := f.config.Health.whileReachable(ctx)
	defer cancelReachable()
	watching, cancel := context.WithTimeout(reachable, (wait + answerMargin).Duration())
	defer cancel()
	renewed := f.endWhenRenewed(watching, cancel, wait)
	sent := f.config.Boot.SinceBoot()
	changes, err := f.source.Watch(watching, after, wait)
	if err != nil {
		if renewed.Load() && ctx.Err() == nil {
			return renewalWait, nil
		}
		if f.isOutdated() {
			return wait, ErrHistoryGone // the call was ended for that
		}
		return wait, err
	}
	applied, err := f.apply(changes, after)
	if err != nil || !applied {
		return wait, err
	}
	if len(changes.Changes) > 0 {
		f.confirm(sent)
		sleep(ctx, f.config.ChangePause)
		return f.config.WaitAfterChange, nil
	}
	if f.config.Boot.SinceBoot() < sent+wait {
		f.confirm(sent) // the watch ended early
		return f.nextWait(), nil
	}
	// The store answers a watch without a change at the end of the wait, so the
	// answer confirms the objects as of that time.
	f.confirm(sent + wait)
	return f.nextWait(), nil
}

// position returns the revision after which to watch, and the time until Expire is due next, or 0 if it is not.
func (f *Follower[T]) position() (after Revision, expiry swclock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, due := f.state.NextExpiry(); due {
		expiry = max(at-f.config.Clock.Now(), 1)
	}
	return f.state.AsOf(), expiry
}

// isOutdated reports whether the store was set back since the objects were listed.
func (f *Follower[T]) isOutdated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Health.Era() > f.state.Era()
}

// apply applies the changes after a revision. It applies none if the objects were listed meanwhile, as of a later
// revision: a change that came before then must not replace what came after it.
func (f *Follower[T]) apply(changes Changes[T], after Revision) (applied bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer(changes.Era)
	if changes.Era != f.state.Era() {
		return false, ErrHistoryGone // changes before the revision may be missing
	}
	if f.state.AsOf() != after {
		return false, nil
	}
	now := f.config.Clock.Now()
	f.recordChanges(changes)
	changed := f.state.Apply(changes, now)
	f.recordHeld()
	if f.state.Expire(now) || changed {
		f.changed(f.state.Items())
	}
	return true, nil
}

// confirm records that the held objects matched the store at an instant.
func (f *Follower[T]) confirm(at swclock.Millis) {
	for {
		known := f.confirmed.Load()
		if known >= max(int64(at), 1) || f.confirmed.CompareAndSwap(known, max(int64(at), 1)) {
			return
		}
	}
}

// recordAnswer records that the store answered. After an outage in which the
// store may have dropped objects, it starts the grace period for missing objects,
// which may reappear. f.mu must be held.
func (f *Follower[T]) recordAnswer(era swobject.Era) {
	o := f.config.Health.recordSuccess(f.config.Kind, era)
	if o.Number == f.lastOutage {
		return
	}
	f.lastOutage = o.Number
	if f.config.RenewalTimeout > 0 && (o.Failing >= f.config.RenewalTimeout*minFailingPercent/100 || o.Unanswered >= f.config.RenewalTimeout) {
		f.state.StoreRecovered(f.config.Clock.Now())
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
