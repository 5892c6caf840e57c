package swvalue

import (
	"fmt"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// countingPlacement is Fastest, and counts the comparisons of a target with a request.
type countingPlacement struct {
	Fastest
	compared *int
}

// Cost implements Placement.
func (p countingPlacement) Cost(o *Offer) float64 {
	*p.compared++
	return p.Fastest.Cost(o)
}

// crowdedCell is a cell in which requests wait although slow targets have free slots.
type crowdedCell struct {
	cell     *Cell[countingPlacement, ByWorth]
	compared int
	now      swclock.Millis
	seq      swid.Seq
	grants   []swcell.Grant
}

const (
	crowdedTargets = 100
	crowdedSlots   = 7
)

// newCrowdedCell fills the fast half of the targets, and then adds waiting requests.
func newCrowdedCell(waiting int) *crowdedCell {
	c := &crowdedCell{now: 1}
	c.cell = New(Config{Seed: 1}, countingPlacement{compared: &c.compared}, ByWorth{})
	conf := swcell.Configure{}
	for i := range crowdedTargets {
		conf.Targets = append(conf.Targets, swcell.Target{
			ID: swid.TargetID(fmt.Sprintf("t%03d", i)), State: swcell.TargetActive, Slots: crowdedSlots, KVTokens: 500_000,
		})
	}
	c.step(conf)
	for i, t := range c.cell.targets {
		for range 3 {
			t.rates.decode.Add(map[bool]float64{true: 4, false: 400}[i%2 == 0])
			t.rates.prefill.Add(map[bool]float64{true: 0.02, false: 2}[i%2 == 0])
			t.rates.overhead.Add(25)
		}
	}
	for range crowdedTargets / 2 * crowdedSlots {
		c.request()
	}
	for range waiting {
		c.request()
	}
	return c
}

func (c *crowdedCell) step(e swcell.Event) {
	for _, a := range c.cell.Step(c.now, e, nil) {
		if g, ok := a.(swcell.Grant); ok {
			c.grants = append(c.grants, g)
		}
	}
}

// request adds a request that is late on a slow target.
func (c *crowdedCell) request() {
	c.seq++
	c.step(swcell.GrantRequest{
		Key: swcell.Key{Holder: "h", Incarnation: 1, Seq: c.seq}, Attempt: 1, PromptTokens: 2000, OutputTokens: 400, ExpectedTokens: 200,
		Deadline: c.now + 15*swclock.Second, Objective: c.now + 2*swclock.Second,
	})
}

// progress reports output of a running request.
func (c *crowdedCell) progress() {
	g := c.grants[0]
	c.step(swcell.Progress{Key: g.Key, Attempt: g.Attempt, Produced: 1})
}

// end ends the request that has run for the longest time.
func (c *crowdedCell) end() {
	g := c.grants[0]
	c.grants = c.grants[1:]
	c.step(swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultAnswered, OutputTokens: 100, FirstToken: 50, Total: 500})
}

// TestDecisionsOfACrowdedCell guards against an owner that compares all waiting requests with all
// targets at each message.
func TestDecisionsOfACrowdedCell(t *testing.T) {
	for _, waiting := range []int{50, 200, 800} {
		t.Run(fmt.Sprint(waiting, " requests wait"), func(t *testing.T) {
			c := newCrowdedCell(waiting)
			if got := len(c.cell.waiting); got < waiting*9/10 {
				t.Fatalf("%d requests wait, want about %d", got, waiting)
			}
			c.now++
			c.step(swcell.Tick{})
			c.compared = 0
			const messages = 100
			for range messages {
				c.progress()
				c.request()
			}
			if limit := 2 * messages * crowdedTargets; c.compared > limit {
				t.Errorf("%d comparisons with targets for %d requests, want at most %d, however many wait", c.compared, messages, limit)
			}
		})
	}
}

func BenchmarkCrowdedCell(b *testing.B) {
	for _, waiting := range []int{50, 200, 800} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			c := newCrowdedCell(waiting)
			b.ResetTimer()
			for range b.N {
				c.now += 1
				c.progress()
				c.end()
				c.request()
				if c.now%reviewInterval == 0 {
					c.step(swcell.Tick{})
				}
			}
		})
	}
}
