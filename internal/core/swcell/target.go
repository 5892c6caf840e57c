package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprefix"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// Trust says how much new work a target is granted. It depends on the target's failures
// and speed.
type Trust uint8

// Levels of trust.
const (
	// TrustFull targets use all their slots.
	TrustFull Trust = iota
	// TrustProbing targets are granted one request at a time, as a probe.
	TrustProbing
	// TrustSlow targets answered their probe but are slow compared with their peers.
	// They use all their slots; estimates take their measured speed into account.
	TrustSlow
)

// target is the state of one target.
type target struct {
	conf Target
	// listed says that the latest configuration contains the target.
	listed bool
	// reachable says whether the target was reachable when the owner last observed it.
	reachable bool
	// reachabilityChangedAt is when reachable last changed.
	reachabilityChangedAt swclock.Millis
	runs                  []*run
	// tokens is the sum of the tokens of runs.
	tokens swid.Tokens
	rates  swcost.Rates
	// tokenInterval is the time between output tokens, from progress and from ended runs.
	tokenInterval swcost.Average
	prefixes      *swprefix.Index
	// prefillFreeAt is when all prompts granted so far are expected to be processed.
	prefillFreeAt float64
	// exclusive is the suspect run beside which nothing is granted, or nil.
	exclusive *run
	reserved  reservation

	trust Trust
	// probe is the run whose result decides whether a TrustProbing target gets another
	// level of trust, or nil.
	probe *run
	// failures counts the failed attempts since the latest success.
	failures int
	// nextProbeAt is when a TrustProbing target may be granted its next probe.
	nextProbeAt swclock.Millis
	breaks      swsuspect.Breaks

	load loadTracker
}

// reservation keeps slots free for requests that are expected to start later.
type reservation struct {
	// pass is the dispatch pass for which the reservation is valid.
	pass  uint64
	slots int
	// wait is the time until the first of those requests starts.
	wait float64
}

func newTarget(conf Target, prefixHashes int) *target {
	t := &target{conf: conf, reachable: true, prefixes: swprefix.New(prefixHashes)}
	t.resetRates()
	return t
}

func (t *target) resetRates() {
	t.rates = swcost.NewRates(t.conf.PrefillRate, t.conf.DecodeRate, t.conf.ServiceTime)
	t.tokenInterval = t.rates.Decode
}

// active reports whether the target takes new work.
func (t *target) active() bool {
	return t.listed && t.reachable && t.conf.State == TargetActive
}

// returnTimeout is how long requests wait for an unreachable target to return.
const returnTimeout = swclock.Minute

// mayReturn reports whether the target is unreachable for less than returnTimeout
// and would take new work if it were reachable.
func (t *target) mayReturn(now swclock.Millis) bool {
	return t.listed && !t.reachable && t.conf.State == TargetActive && now < t.reachabilityChangedAt+returnTimeout
}

// expectedReturn estimates the time until an unreachable target returns: as long
// as it has been unreachable, and at least a second.
func (t *target) expectedReturn(now swclock.Millis) float64 {
	return float64(max(now-t.reachabilityChangedAt, swclock.Second))
}

// usableSlots returns the number of slots that external load leaves to the cell.
func (t *target) usableSlots() int {
	return t.conf.Slots - t.load.external
}

// freeSlots returns the number of requests that may be granted to the target now.
// It may be negative.
func (t *target) freeSlots(now swclock.Millis) int {
	if !t.active() || t.exclusive != nil {
		return 0
	}
	n := t.usableSlots() - len(t.runs)
	if t.trust == TrustProbing {
		if t.probe != nil || now < t.nextProbeAt {
			return 0
		}
		n = min(n, 1)
	}
	return n
}

// fitsMemory reports whether the target has enough memory for an attempt. A target
// without runs accepts an attempt of any size.
func (t *target) fitsMemory(tokens swid.Tokens) bool {
	return t.conf.KVTokens == 0 || len(t.runs) == 0 || t.tokens+tokens <= t.conf.KVTokens
}

func (t *target) add(r *run) {
	r.index = len(t.runs)
	t.runs = append(t.runs, r)
	t.tokens += r.tokens()
	r.alone = len(t.runs) == 1
	if !r.alone {
		for _, other := range t.runs {
			other.alone = false
		}
	}
	if t.trust == TrustProbing {
		t.probe = r
	}
	if r.suspect {
		t.exclusive = r
	}
}

func (t *target) remove(r *run, now swclock.Millis) {
	last := len(t.runs) - 1
	t.runs[r.index] = t.runs[last]
	t.runs[r.index].index = r.index
	t.runs[last] = nil
	t.runs = t.runs[:last]
	t.tokens -= r.tokens()
	if t.probe == r {
		t.probe = nil
	}
	if t.exclusive == r {
		t.exclusive = nil
	}
	t.removePrefill(r, float64(now))
	if last == 0 {
		t.prefillFreeAt = float64(now)
	}
	t.load.recordEnd(r.grantedAt, now)
}

// removePrefill subtracts the unprocessed rest of an ended run's prompt from the expected
// times of the prompts behind it.
func (t *target) removePrefill(r *run, now float64) {
	saved := min(r.prefillEnd-now, r.prefillSpan)
	if saved <= 0 {
		return
	}
	t.prefillFreeAt -= saved
	for _, o := range t.runs {
		if o.prefillEnd > r.prefillEnd {
			o.prefillEnd -= saved
			o.expectedEnd -= saved
		}
	}
}
