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

// Pauses after a watch that failed or ended.
const (
	firstPause   swclock.Millis = 100
	longestPause                = swclock.Second
	// watchLimit bounds one watch, so that one whose connection went silent is replaced.
	watchLimit = 3 * swclock.Second
)

// watch runs the goroutine that watches the platform while the host is a relay.
type watch struct {
	relay  *Relay
	group  *conc.WaitGroup
	cancel context.CancelFunc // nil while the host does not watch
}

// set starts or stops the watch.
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

// runWatch passes new heads on until ctx ends.
func (r *Relay) runWatch(ctx context.Context) {
	var seen swid.ConfigVersion
	pause := firstPause
	for ctx.Err() == nil {
		seen = max(seen, r.Current().Version)
		head, err := r.watchOnce(ctx, seen)
		if err == nil {
			seen = head.Version
			pause = firstPause
			_ = r.events.Put(ctx, headEvent{from: platform, head: head}) // fails only when ctx ends
			continue
		}
		if errors.Is(err, swobject.ErrNotFound) {
			pause = firstPause
		} else {
			r.logFailure(err, "watch of the environment document failed")
		}
		sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
}

// watchOnce waits for a head above a version, for a limited time.
func (r *Relay) watchOnce(ctx context.Context, after swid.ConfigVersion) (swstore.Head, error) {
	limited, cancel := context.WithTimeout(ctx, watchLimit.Duration())
	defer cancel()
	return r.store.Watch(limited, after)
}

// sleep pauses for between half of a span and the whole of it.
func sleep(ctx context.Context, span swclock.Millis) {
	half := span.Duration() / 2
	timer := time.NewTimer(half + rand.N(half+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
