package swrelay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Bounds of the backoff after a watch that failed or ended, and of a watch itself.
const (
	initialBackoff swclock.Millis = 100
	maxBackoff                    = swclock.Second
	// watchTimeout is the maximum duration of one watch, so that a watch on an
	// unresponsive connection is replaced.
	watchTimeout = 3 * swclock.Second
)

// watch runs the goroutine that watches the platform while the host is a relay.
type watch struct {
	relay  *Relay
	group  *conc.WaitGroup
	cancel context.CancelFunc // nil while the host does not watch
}

// set restarts the watch if on, and stops it otherwise.
func (w *watch) set(ctx context.Context, on bool) {
	w.stop()
	if !on {
		return
	}
	child, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	w.group.Go(func() { w.relay.runWatch(child) })
}

func (w *watch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
	}
}

// runWatch watches the platform and queues an event for each new head until ctx ends.
func (r *Relay) runWatch(ctx context.Context) {
	var seen swid.ConfigVersion
	pause := initialBackoff
	for ctx.Err() == nil {
		seen = max(seen, r.Current().Version)
		head, err := r.watchOnce(ctx, seen)
		if err == nil {
			seen = head.Version
			pause = initialBackoff
			_ = r.events.Put(ctx, headEvent{from: platform, head: head}) // fails only when ctx ends
			continue
		}
		if errors.Is(err, swobject.ErrNotFound) {
			pause = initialBackoff
		} else {
			r.logFailure(err, "watch of the environment document failed")
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

// watchOnce waits at most watchTimeout for a head with a version above after.
func (r *Relay) watchOnce(ctx context.Context, after swid.ConfigVersion) (swstore.Head, error) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout.Duration())
	defer cancel()
	return r.store.Watch(limited, after)
}

// sleep sleeps for a random time between half of limit and limit, or until ctx ends.
func sleep(ctx context.Context, limit swclock.Millis) {
	half := limit.Duration() / 2
	timer := time.NewTimer(half + rand.N(half+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
