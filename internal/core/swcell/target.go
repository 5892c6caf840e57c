package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprefix"
)

// Trust says how much new work a target is given.
type Trust uint8

// Degrees of trust.
const (
	// TrustFull targets use all their slots.
	TrustFull Trust = iota
	// TrustProbing targets are granted one request at a time, to learn from it.
	TrustProbing
	// TrustSlow targets were probed and stay slow. They are used as their learned speed allows.
	TrustSlow
)

// target is the cell's account of one target.
type target struct {
	conf Target
	// listed tells that the latest configuration holds the target.
	listed bool
	// reachable is by the owner's own observation.
	reachable bool
	// downSince is when it became unreachable.
	downSince swclock.Millis
	runs      []*run
	// tokens sums the tokens of runs.
	tokens swid.Tokens
	rates  swcost.Rates
	// pace is the time between tokens, from progress and from ends.
	pace     swcost.Average
	prefixes *swprefix.Index
	// prefillFree is the instant at which the prompts granted so far are expected to be processed.
	prefillFree float64
	// exclusive is the suspect that runs alone, if any.
	exclusive *run
	reserved  reservation

	trust Trust
	// probe is the request that a TrustProbing target runs to be learned from.
	probe *run
	// failures counts the attempts that failed since the last success.
	failures int
	// retryAt is when a TrustProbing target is granted its next probe.
	retryAt swclock.Millis

	load loadAccount
}

// reservation keeps slots free for requests that are granted soon.
type reservation struct {
	// pass is the dispatch pass that it holds for.
	pass  uint64
	slots int
	// wait is the time until the first of the requests starts.
	wait float64
}

func newTarget(conf Target, prefixHashes int) *target {
	t := &target{conf: conf, reachable: true, prefixes: swprefix.New(prefixHashes)}
	t.resetRates()
	return t
}

func (t *target) resetRates() {
	t.rates = swcost.NewRates(t.conf.PrefillRate, t.conf.DecodeRate, t.conf.ServiceTime)
	t.pace = t.rates.Decode
}

// active reports whether the target takes new work.
func (t *target) active() bool {
	return t.listed && t.reachable && t.conf.State == TargetActive
}

// returnTime is how long an unreachable target is expected back.
const returnTime = swclock.Minute

// mayReturn reports whether an unreachable target would take work if it came
// back, and may come back.
func (t *target) mayReturn(now swclock.Millis) bool {
	return t.listed && !t.reachable && t.conf.State == TargetActive && now < t.downSince+returnTime
}

// returnIn estimates the time until an unreachable target is back: as long as it
// has been away.
func (t *target) returnIn(now swclock.Millis) float64 {
	return float64(max(now-t.downSince, swclock.Second))
}

// slots returns the number of slots that the cell may use at present.
func (t *target) slots() int {
	return t.conf.Slots - t.load.external
}

// room returns the number of requests that may be granted now.
func (t *target) room(now swclock.Millis) int {
	if !t.active() || t.exclusive != nil {
		return 0
	}
	n := t.slots() - len(t.runs)
	if t.trust == TrustProbing {
		if t.probe != nil || now < t.retryAt {
			return 0
		}
		n = min(n, 1)
	}
	return n
}

// fits reports whether the target has the memory for an attempt. An idle target takes any.
func (t *target) fits(tokens swid.Tokens) bool {
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
	t.skipPrefill(r, float64(now))
	if last == 0 {
		t.prefillFree = float64(now)
	}
	t.load.ended(r.granted, now)
}

// skipPrefill moves the prompts behind one that is no longer processed forward.
func (t *target) skipPrefill(r *run, now float64) {
	saved := min(r.prefillEnd-now, r.prefillSpan)
	if saved <= 0 {
		return
	}
	t.prefillFree -= saved
	for _, o := range t.runs {
		if o.prefillEnd > r.prefillEnd {
			o.prefillEnd -= saved
			o.expectedEnd -= saved
		}
	}
}
