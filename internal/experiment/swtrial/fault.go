package swtrial

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

func (sim *simulation[S]) applyFault(f Fault) {
	e := sim.engines[f.Target]
	switch f.Kind {
	case FaultSlow:
		e.slowdown = f.Factor
		if f.Span > 0 {
			sim.after(f.Span, func() { e.slowdown = 1 })
		}
	case FaultCrash:
		sim.crash(e, f.Span)
	case FaultUnresponsive:
		e.unresponsive = true
		sim.reportReachability(e, false, reachabilityDelay+unresponsiveTimeout)
		if f.Span > 0 {
			sim.after(f.Span, func() {
				e.unresponsive = false
				sim.admit(e)
				sim.reportReachability(e, true, reachabilityDelay)
			})
		}
	}
}

// crash breaks every attempt on an engine and empties its prefix cache. The engine
// is up again after span, or never if span is 0.
func (sim *simulation[S]) crash(e *engine, span swclock.Millis) {
	if e.down {
		return
	}
	sim.result.Crashes++
	e.down = true
	e.prefillBusyUntil = 0
	e.cache.Purge()
	e.added, e.removed = nil, nil
	broken := slices.Concat(e.running, e.queue)
	for _, a := range broken {
		sim.finishAttempt(sim.requests[a.request.seq], a, swcell.ResultBroken)
	}
	sim.reportReachability(e, false, reachabilityDelay)
	if span > 0 {
		sim.after(span, func() {
			e.down = false
			sim.reportReachability(e, true, reachabilityDelay)
		})
	}
}

func (sim *simulation[S]) reportReachability(e *engine, reachable bool, delay swclock.Millis) {
	sim.after(delay, func() { sim.step(swcell.TargetReachability{Target: e.conf.ID, Reachable: reachable}) })
}

// reportLoads sends a load report of each engine, which arrives loadReportAge later.
func (sim *simulation[S]) reportLoads() {
	for _, e := range sim.orderedEngines {
		if e.down || e.unresponsive {
			continue
		}
		running, waiting := len(e.running), len(e.queue)
		sim.after(loadReportAge, func() {
			sim.step(swcell.LoadReport{Target: e.conf.ID, Running: running, Waiting: waiting, Age: loadReportAge})
		})
	}
}

// reportCache reports the changes of an engine's prefix cache after cacheReportDelay. With
// cacheGapProbability the changes are lost and the report only has its Gap flag set.
func (sim *simulation[S]) reportCache(e *engine) {
	if len(e.added)+len(e.removed) == 0 {
		return
	}
	report := swcell.CacheReport{Target: e.conf.ID, Added: e.added, Removed: e.removed}
	e.added, e.removed = nil, nil
	if sim.random.Float64() < cacheGapProbability {
		report.Added, report.Removed, report.Gap = nil, nil, true
	}
	sim.after(cacheReportDelay, func() { sim.step(report) })
}
