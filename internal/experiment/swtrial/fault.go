package swtrial

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

func (w *world[S]) fault(f Fault) {
	e := w.engines[f.Target]
	switch f.Kind {
	case FaultSlow:
		e.slow = f.Factor
		if f.Span > 0 {
			w.after(f.Span, func() { e.slow = 1 })
		}
	case FaultCrash:
		w.crash(e, f.Span)
	case FaultSilent:
		e.silent = true
		w.seen(e, false, seenDelay+silenceTimeout)
		if f.Span > 0 {
			w.after(f.Span, func() {
				e.silent = false
				w.admit(e)
				w.seen(e, true, seenDelay)
			})
		}
	}
}

// crash breaks everything on an engine, which comes back with an empty cache.
func (w *world[S]) crash(e *engine, span swclock.Millis) {
	if e.down {
		return
	}
	w.result.Crashes++
	e.down = true
	e.prefillFree = 0
	e.cache.Purge()
	e.added, e.removed = nil, nil
	lost := slices.Concat(e.running, e.queue)
	for _, t := range lost {
		w.finish(w.asks[t.request.seq], t, swcell.ResultBroken)
	}
	w.seen(e, false, seenDelay)
	if span > 0 {
		w.after(span, func() {
			e.down = false
			w.seen(e, true, seenDelay)
		})
	}
}

func (w *world[S]) seen(e *engine, reachable bool, delay swclock.Millis) {
	w.after(delay, func() { w.step(swcell.TargetSeen{Target: e.conf.ID, Reachable: reachable}) })
}

// report sends each engine's load, which is old when it arrives.
func (w *world[S]) report() {
	for _, e := range w.ordered {
		if e.down || e.silent {
			continue
		}
		running, waiting := len(e.running), len(e.queue)
		w.after(reportAge, func() {
			w.step(swcell.LoadReport{Target: e.conf.ID, Running: running, Waiting: waiting, Age: reportAge})
		})
	}
}

// reportCache sends the changes of an engine's cache late, and loses some.
func (w *world[S]) reportCache(e *engine) {
	if len(e.added)+len(e.removed) == 0 {
		return
	}
	report := swcell.CacheReport{Target: e.conf.ID, Added: e.added, Removed: e.removed}
	e.added, e.removed = nil, nil
	if w.random.Float64() < cacheGapShare {
		report.Added, report.Removed, report.Gap = nil, nil, true
	}
	w.after(cacheDelay, func() { w.step(report) })
}
