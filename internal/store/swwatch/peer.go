package swwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// peerTimeout is the time after which another host that says nothing more of the objects no longer counts, and
	// one that asks nothing more.
	peerTimeout = 1200 * swclock.Millis(1)
	// behindTimeout is how long another host may hold a change that this one lacks, before this one ends its watch: its
	// connection to the store may have fallen silent.
	behindTimeout = swclock.Second
	// renewalWait is the wait of the watch that follows one that was ended: it shows soon whether the store answers.
	renewalWait = 700 * swclock.Millis(1)
)

// Held is what a host holds of the objects of one kind.
type Held struct {
	Era swobject.Era
	// Latest is the revision of the latest change, or a later one before the next change. Who holds all changes of the
	// era up to Latest holds all that the host does.
	Latest Revision
	// ConfirmedAt is the time since boot of the host that compares, as of which the store confirmed the objects.
	ConfirmedAt swclock.Millis
}

// peerState is what other hosts said of the objects, by the time since boot.
type peerState struct {
	// confirmedAt is when another host last confirmed the objects.
	confirmedAt swclock.Millis
	// lacked is the latest change that another host holds and this one lacks, and lackedSince since when; 0 if there
	// is none.
	lacked      Revision
	lackedSince swclock.Millis
	// askedAt is when another host last asked for Held.
	askedAt swclock.Millis
}

// renewal is the reason why a watch is ended before the end of its wait.
type renewal string

// Reasons.
const (
	renewBehind      renewal = "behind"
	renewUnconfirmed renewal = "unconfirmed"
	renewAsked       renewal = "asked"
)

// Held returns what this host holds, for another host that asks, and false if the store cannot be reached or the objects
// have not been listed.
func (f *Follower[T]) Held() (Held, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Boot.SinceBoot()
	before := f.peer.askedAt
	f.peer.askedAt = now
	if f.config.AskedWait > 0 && (before == 0 || now-before > peerTimeout) {
		f.requestRenewal(renewAsked) // the present watch may wait for too long
	}
	if f.config.Health.Unreachable() || f.ConfirmedAt() == 0 {
		return Held{}, false
	}
	return Held{Era: f.state.Era(), Latest: f.latest, ConfirmedAt: f.ConfirmedAt()}, true
}

// ObservePeer takes what another host holds. If this host holds all of that, the store confirmed the objects of
// this host too. If it lacks some for a while, it asks the store again.
func (f *Follower[T]) ObservePeer(held Held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Boot.SinceBoot()
	era, asOf := f.state.Era(), f.state.AsOf()
	switch {
	case f.ConfirmedAt() == 0 || held.Era < era:
		return // not listed yet, or the other host has not noticed that the store was set back
	case held.Era == era && asOf >= held.Latest:
		if f.peer.confirmedAt == 0 || now-f.peer.confirmedAt > peerTimeout {
			f.config.Log.Info().Str("kind", f.config.Kind).Uint64("asOf", uint64(asOf)).Uint64("latest", uint64(held.Latest)).
				Int64("confirmedAgeMillis", int64(now-held.ConfirmedAt)).Msg("copy confirmed by the owner")
		}
		f.peer.confirmedAt, f.peer.lackedSince = now, 0
		f.confirm(held.ConfirmedAt)
		f.config.Health.recordAnswerToPeer(now - held.ConfirmedAt)
	case f.peer.lackedSince == 0, held.Era == era && asOf >= f.peer.lacked:
		f.peer.lacked, f.peer.lackedSince = held.Latest, now
	case now-f.peer.lackedSince >= behindTimeout:
		f.peer.lackedSince = 0
		f.requestRenewal(renewBehind)
	}
}

// position is as of what the objects are held.
type position struct {
	asOf Revision
	era  swobject.Era
}

// Wanted returns the revision and the era as of which this host holds the objects, and false unless it wants those of another host:
// it has listed them, and cannot reach the store. It may be called while the objects change.
func (f *Follower[T]) Wanted() (Revision, swobject.Era, bool) {
	held := f.held.Load()
	if held == nil || !f.config.Health.Unreachable() {
		return 0, 0, false
	}
	return held.asOf, held.era, true
}

// recordHeld records as of what the objects are held. f.mu must be held.
func (f *Follower[T]) recordHeld() { f.held.Store(&position{f.state.AsOf(), f.state.Era()}) }

// ListSince returns the objects for another host that holds those of a revision, and false unless this host holds a later change.
func (f *Follower[T]) ListSince(after Revision, era swobject.Era) (Listing[T], bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.AsOf() == 0 || f.state.Era() != era || f.latest <= after {
		return Listing[T]{}, false
	}
	return Listing[T]{Items: f.state.Items(), AsOf: f.state.AsOf(), Era: era}, true
}

// ListFromPeer takes the objects that another host holds, and reports whether it did: while the store cannot be reached, and if the
// other host holds them as of a later revision. They are not confirmed by that.
func (f *Follower[T]) ListFromPeer(l Listing[T]) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := f.state.AsOf()
	if asOf == 0 || l.Era != f.state.Era() || l.AsOf <= asOf || !f.config.Health.Unreachable() {
		return false
	}
	f.config.Log.Info().Str("kind", f.config.Kind).Uint64("before", uint64(asOf)).Uint64("asOf", uint64(l.AsOf)).Msg("objects taken from another host")
	if f.state.List(l, f.config.Clock.Now()) {
		f.recordListed(l, false)
		f.changed(f.state.Items())
	}
	f.recordHeld()
	return true
}

// recordListed records the latest change of a listing that changed the held objects. f.mu must be held.
func (f *Follower[T]) recordListed(l Listing[T], first bool) {
	if !first {
		f.latest = l.AsOf // an object may have been removed at any revision up to then
		return
	}
	for _, item := range l.Items {
		f.latest = max(f.latest, item.Revision)
	}
}

// recordChanges records the latest of some changes. f.mu must be held.
func (f *Follower[T]) recordChanges(c Changes[T]) {
	for _, change := range c.Changes {
		if change.Removed {
			f.latest = max(f.latest, c.AsOf) // the revision of the removal is not known
		}
		f.latest = max(f.latest, change.Revision)
	}
}

// nextWait returns how long the next watch may wait.
func (f *Follower[T]) nextWait() swclock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Boot.SinceBoot()
	recent := func(at swclock.Millis) bool { return at > 0 && now-at <= peerTimeout }
	switch {
	case f.config.AskedWait > 0 && recent(f.peer.askedAt):
		return f.config.AskedWait
	case f.config.PeerWait > 0 && recent(f.peer.confirmedAt):
		return f.config.PeerWait
	default:
		return f.config.Wait
	}
}

// requestRenewal ends the watch that waits, if there is one.
func (f *Follower[T]) requestRenewal(reason renewal) {
	select {
	case f.renew <- reason:
	default:
	}
}

// endWhenRenewed calls end when a renewal is requested while a watch waits, or when the objects have not been confirmed for
// ConfirmWithin. The result is set before end is called.
func (f *Follower[T]) endWhenRenewed(watching context.Context, end func(), wait swclock.Millis) *atomic.Bool {
	var renewed atomic.Bool
	select {
	case <-f.renew: // requested before this watch
	default:
	}
	go func() {
		reason, ok := f.awaitRenewal(watching, wait)
		if !ok {
			return
		}
		f.config.Log.Info().Str("kind", f.config.Kind).Str("reason", string(reason)).
			Int64("confirmedAgeMillis", int64(f.config.Boot.SinceBoot()-f.ConfirmedAt())).Msg("watch renewed")
		renewed.Store(true)
		end()
	}()
	return &renewed
}

// awaitRenewal returns why a watch is to be ended, and false if it ends by itself. A watch that waits for Wait at most confirms
// the objects soon enough, or fails.
func (f *Follower[T]) awaitRenewal(watching context.Context, wait swclock.Millis) (renewal, bool) {
	var unconfirmed <-chan time.Time
	for {
		if within := f.config.ConfirmWithin; within > 0 && wait > f.config.Wait {
			left := f.ConfirmedAt() + within - f.config.Boot.SinceBoot()
			if left <= 0 {
				return renewUnconfirmed, true
			}
			unconfirmed = time.After(left.Duration())
		}
		select {
		case reason := <-f.renew:
			return reason, true
		case <-watching.Done():
			return "", false
		case <-unconfirmed:
		}
	}
}
