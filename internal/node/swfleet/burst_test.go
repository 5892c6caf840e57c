package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
)

// Processor time, of a whole core, that a cell takes for an event, and for each unit of its effort.
const (
	stepCost       = 10 * time.Microsecond
	rankCost       = 400 * time.Nanosecond
	comparisonCost = 200 * time.Nanosecond
	visitCost      = time.Nanosecond
	// sliceCost is how long a cell computes until others that want the processor get it.
	sliceCost = 2 * time.Millisecond
)

// chargedCore is a cell whose decisions take time of its host's processor.
type chargedCore struct {
	swowner.Core
	processor *processor
	ended     <-chan struct{}
	// owed is the time that has not been taken yet.
	owed time.Duration
}

// Step implements swowner.Core.
func (c *chargedCore) Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	core := c.Core.(*swvalue.Cell[swvalue.Fastest, swvalue.ByWorth])
	before := core.Effort()
	actions = core.Step(now, e, actions)
	effort := core.Effort().Since(before)
	c.owed += stepCost + time.Duration(effort.Ranks)*rankCost + time.Duration(effort.Comparisons)*comparisonCost + time.Duration(effort.Visits)*visitCost
	if c.owed >= sliceCost {
		c.processor.use(c.owed, c.ended)
		c.owed = 0
	}
	return actions
}

// burst adds a number of requests a second at each host for a time.
func (f *simulatedFleet) burst(perHost float64, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var callers sync.WaitGroup
	for _, h := range f.hosts {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(h.number), 7))
			for n := 0; ; n++ {
				select {
				case <-time.After(time.Duration(random.ExpFloat64() / perHost * float64(time.Second))):
				case <-ctx.Done():
					return
				}
				callers.Go(func() { h.call(context.Background(), swid.RequestID(fmt.Sprintf("burst-%d-%d", h.number, n))) })
			}
		})
	}
	<-ctx.Done()
}

// TestBurstDoesNotOutlastItself guards against an owner that gets slower the more requests wait: the queue of a burst then
// lasts after it, and few are served although the targets have the capacity for all.
func TestBurstDoesNotOutlastItself(t *testing.T) {
	const (
		perHost = 10
		span    = 6 * time.Second
		// settled is the time after the burst in which what waits is served.
		settled = 3 * time.Second
		// minBurstServed is the share of the requests of the burst that are answered at least; the targets have the capacity for a third.
		minBurstServed = 0.25
	)
	for _, size := range sizesOf(30) {
		t.Run(fmt.Sprint(size, " hosts"), func(t *testing.T) {
			clearPools()
			synctest.Test(t, func(t *testing.T) {
				defer clearPools()
				f := newSimulatedFleet(t, size)
				f.chargeCores, f.deadline = true, swclock.FromDuration(patience)
				f.startAll()
				f.observe(6)
				began := int(time.Since(f.started) / time.Second)
				f.burst(perHost, span)
				ended := int(time.Since(f.started) / time.Second)
				time.Sleep(settled + 4*time.Second)
				var shares []string
				for second := began; second < ended+6; second++ {
					share := f.servedShare(second)
					shares = append(shares, fmt.Sprintf("%.2f", share))
					switch {
					case second > began && second < ended-1 && share < minBurstServed:
						t.Errorf("%.2f of the requests were answered %d s into the burst", share, second-began)
					case second >= ended+int(settled/time.Second) && share < minServed:
						t.Errorf("%.2f of the requests were answered %d s after the burst", share, second-ended)
					}
				}
				t.Logf("shares answered from the beginning of the burst on: %v", shares)
				f.killAll()
			})
		})
	}
}
