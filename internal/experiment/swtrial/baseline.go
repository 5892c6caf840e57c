package swtrial

import (
	"math/rand/v2"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// baselineTarget is a baseline's state of one target.
type baselineTarget struct {
	id          swid.TargetID
	slots       int
	reachable   bool
	outstanding int
}

// Chooser selects the target of a request. Choose is called with at least one target.
type Chooser interface {
	Choose(targets []*baselineTarget) *baselineTarget
}

// Random picks every target with equal probability.
type Random struct {
	random *rand.Rand
}

// NewRandom returns a Random with a fixed seed.
func NewRandom() *Random { return &Random{random: rand.New(rand.NewPCG(3, 3))} }

// Choose implements Chooser.
func (c *Random) Choose(targets []*baselineTarget) *baselineTarget {
	return targets[c.random.IntN(len(targets))]
}

// RoundRobin picks the targets in rotation.
type RoundRobin struct{ next int }

// Choose implements Chooser.
func (c *RoundRobin) Choose(targets []*baselineTarget) *baselineTarget {
	c.next++
	return targets[c.next%len(targets)]
}

// LeastOutstanding picks the target with the fewest requests in flight.
type LeastOutstanding struct{}

// Choose implements Chooser.
func (LeastOutstanding) Choose(targets []*baselineTarget) *baselineTarget {
	return slices.MinFunc(targets, func(a, b *baselineTarget) int { return a.outstanding - b.outstanding })
}

// Baseline grants requests in order of arrival and rejects those for which no target is left.
// It ignores tiers, fair shares and costs.
type Baseline[C Chooser] struct {
	chooser C
	// limitToSlots keeps requests in waiting until a target has a free slot. Without it, they
	// wait in the queues of the engines.
	limitToSlots bool
	targets      []*baselineTarget
	waiting      []swcell.GrantRequest
	granted      map[swcell.Key]*baselineTarget
}

// NewDirect returns a baseline that grants each request at once, also when every slot is in use.
func NewDirect[C Chooser](chooser C) *Baseline[C] {
	return &Baseline[C]{chooser: chooser, granted: make(map[swcell.Key]*baselineTarget)}
}

// NewFirstCome returns a baseline that keeps requests in a queue until a slot is free.
func NewFirstCome[C Chooser](chooser C) *Baseline[C] {
	b := NewDirect(chooser)
	b.limitToSlots = true
	return b
}

// Step implements Scheduler.
func (b *Baseline[C]) Step(_ swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	switch e := e.(type) {
	case swcell.Configure:
		for _, t := range e.Targets {
			b.targets = append(b.targets, &baselineTarget{id: t.ID, slots: t.Slots, reachable: true})
		}
	case swcell.TargetReachability:
		for _, t := range b.targets {
			if t.id == e.Target {
				t.reachable = e.Reachable
			}
		}
	case swcell.GrantRequest:
		b.waiting = append(b.waiting, e)
	case swcell.Withdraw:
		b.waiting = slices.DeleteFunc(b.waiting, func(r swcell.GrantRequest) bool { return r.Key == e.Key })
		b.release(e.Key)
	case swcell.Done:
		b.release(e.Key)
	}
	return b.dispatch(actions)
}

func (b *Baseline[C]) release(k swcell.Key) {
	if t := b.granted[k]; t != nil {
		t.outstanding--
		delete(b.granted, k)
	}
}

func (b *Baseline[C]) dispatch(actions []swcell.Action) []swcell.Action {
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		usable, exhausted := b.usableTargets(&r)
		if exhausted {
			actions = append(actions, swcell.Reject{Key: r.Key, Attempt: r.Attempt, Reason: swcell.ReasonNoTarget})
		} else if len(usable) == 0 {
			break
		} else {
			t := b.chooser.Choose(usable)
			t.outstanding++
			b.granted[r.Key] = t
			actions = append(actions, swcell.Grant{Key: r.Key, Attempt: r.Attempt, Target: t.id})
		}
		b.waiting = b.waiting[1:]
	}
	return actions
}

// usableTargets returns the targets to which a request may be dispatched now. If every reachable
// target is excluded by the request, or none is reachable, exhausted is true.
func (b *Baseline[C]) usableTargets(r *swcell.GrantRequest) (usable []*baselineTarget, exhausted bool) {
	exhausted = true
	for _, t := range b.targets {
		if !t.reachable || slices.Contains(r.Exclude, t.id) {
			continue
		}
		exhausted = false
		if !b.limitToSlots || t.outstanding < t.slots {
			usable = append(usable, t)
		}
	}
	return usable, exhausted
}
