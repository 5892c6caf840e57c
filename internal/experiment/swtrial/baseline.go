package swtrial

import (
	"math/rand/v2"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// baseTarget is what a baseline knows of a target.
type baseTarget struct {
	id          swid.TargetID
	slots       int
	active      bool
	outstanding int
}

// Chooser picks one of the targets, of which there is at least one.
type Chooser interface {
	Choose(targets []*baseTarget) *baseTarget
}

// Random picks any target with equal chance.
type Random struct {
	random *rand.Rand
}

// NewRandom returns a chooser with a fixed seed.
func NewRandom() *Random { return &Random{random: rand.New(rand.NewPCG(3, 3))} }

// Choose implements Chooser.
func (c *Random) Choose(targets []*baseTarget) *baseTarget {
	return targets[c.random.IntN(len(targets))]
}

// RoundRobin picks the targets in turn.
type RoundRobin struct{ next int }

// Choose implements Chooser.
func (c *RoundRobin) Choose(targets []*baseTarget) *baseTarget {
	c.next++
	return targets[c.next%len(targets)]
}

// LeastOutstanding picks the target with the fewest requests in flight.
type LeastOutstanding struct{}

// Choose implements Chooser.
func (LeastOutstanding) Choose(targets []*baseTarget) *baseTarget {
	return slices.MinFunc(targets, func(a, b *baseTarget) int { return a.outstanding - b.outstanding })
}

// Baseline dispatches in order of arrival, without tiers, shares or costs.
type Baseline[C Chooser] struct {
	chooser C
	// bounded makes requests wait for a slot here rather than in the engine.
	bounded bool
	targets []*baseTarget
	waiting []swcell.Ask
	running map[swcell.Key]*baseTarget
}

// NewDirect returns a baseline that dispatches each request at once.
func NewDirect[C Chooser](chooser C) *Baseline[C] {
	return &Baseline[C]{chooser: chooser, running: make(map[swcell.Key]*baseTarget)}
}

// NewFirstCome returns a baseline that keeps requests in a queue until a slot is free.
func NewFirstCome[C Chooser](chooser C) *Baseline[C] {
	b := NewDirect(chooser)
	b.bounded = true
	return b
}

// Step implements Scheduler.
func (b *Baseline[C]) Step(_ swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	switch e := e.(type) {
	case swcell.Configure:
		for _, t := range e.Targets {
			b.targets = append(b.targets, &baseTarget{id: t.ID, slots: t.Slots, active: true})
		}
	case swcell.TargetSeen:
		for _, t := range b.targets {
			if t.id == e.Target {
				t.active = e.Reachable
			}
		}
	case swcell.Ask:
		b.waiting = append(b.waiting, e)
	case swcell.Withdraw:
		b.waiting = slices.DeleteFunc(b.waiting, func(a swcell.Ask) bool { return a.Key == e.Key })
		b.release(e.Key)
	case swcell.Done:
		b.release(e.Key)
	}
	return b.dispatch(actions)
}

func (b *Baseline[C]) release(k swcell.Key) {
	if t := b.running[k]; t != nil {
		t.outstanding--
		delete(b.running, k)
	}
}

func (b *Baseline[C]) dispatch(actions []swcell.Action) []swcell.Action {
	for len(b.waiting) > 0 {
		a := b.waiting[0]
		usable, tried := b.usable(&a)
		if tried {
			actions = append(actions, swcell.GiveUp{Key: a.Key, Attempt: a.Attempt, Reason: swcell.ReasonNoTarget})
		} else if len(usable) == 0 {
			break
		} else {
			t := b.chooser.Choose(usable)
			t.outstanding++
			b.running[a.Key] = t
			actions = append(actions, swcell.Grant{Key: a.Key, Attempt: a.Attempt, Target: t.id})
		}
		b.waiting = b.waiting[1:]
	}
	return actions
}

// usable returns the targets that may be granted now, and whether there will be none later either.
func (b *Baseline[C]) usable(a *swcell.Ask) (usable []*baseTarget, tried bool) {
	tried = true
	for _, t := range b.targets {
		if !t.active || slices.Contains(a.Exclude, t.id) {
			continue
		}
		tried = false
		if !b.bounded || t.outstanding < t.slots {
			usable = append(usable, t)
		}
	}
	return usable, tried
}
