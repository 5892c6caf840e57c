package swvalue

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
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

// countingOrder is ByWorth, and counts the ranks that it computes.
type countingOrder struct {
	ByWorth
	ranked *int
}

// Rank implements Order.
func (o countingOrder) Rank(c *Candidate) float64 {
	*o.ranked++
	return o.ByWorth.Rank(c)
}

// crowdedCell is a cell in which requests wait although slow targets have free slots.
type crowdedCell struct {
	cell     *Cell[countingPlacement, countingOrder]
	compared int
	ranked   int
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
	c.cell = New(Config{Seed: 1}, countingPlacement{compared: &c.compared}, countingOrder{ranked: &c.ranked})
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

// TestRanksOfACrowdedCell guards against an owner that ranks all waiting requests at each message, and so gets slower the more
// requests wait.
func TestRanksOfACrowdedCell(t *testing.T) {
	for _, waiting := range []int{50, 200, 800} {
		t.Run(fmt.Sprint(waiting, " requests wait"), func(t *testing.T) {
			c := newCrowdedCell(waiting)
			c.ranked = 0
			const messages = 300
			began := c.now
			for range messages / 3 {
				c.now++
				c.progress()
				c.end()
				c.request()
			}
			// A request is ranked a few times when it comes.
			limit := messages/3*4 + ranksPerSecond*int(c.now-began)/int(swclock.Second) + waiting
			if c.ranked > limit {
				t.Errorf("%d ranks for %d messages, want at most %d", c.ranked, messages, limit)
			}
		})
	}
}

// TestOutlooksOfACrowdedCell guards against an owner that compares all waiting requests with all targets whenever something is
// learned of one target.
func TestOutlooksOfACrowdedCell(t *testing.T) {
	for _, waiting := range []int{50, 200, 800} {
		t.Run(fmt.Sprint(waiting, " requests wait"), func(t *testing.T) {
			c := newCrowdedCell(0)
			c.fill(waiting)
			before, began := c.cell.effort, c.now
			for i := range 100 {
				c.now++
				c.step(swcell.TargetHeard{Target: c.cell.targets[i%len(c.cell.targets)].conf.ID, Host: "h1"})
			}
			// Each request is compared with all targets once, and outlooksPerSecond are twice: idle and busy ones.
			outlooks := 2 * (waiting + outlooksPerSecond*int(c.now-began)/int(swclock.Second))
			if got, limit := c.cell.effort.Since(before).Comparisons, uint64(outlooks*crowdedTargets); got > limit {
				t.Errorf("%d comparisons, want at most %d", got, limit)
			}
		})
	}
}

// TestReviewOfACrowdedCell guards against an owner whose review of the waiting requests takes time in proportion to the square of
// their number.
func TestReviewOfACrowdedCell(t *testing.T) {
	for _, waiting := range []int{50, 200, 800} {
		t.Run(fmt.Sprint(waiting, " requests wait"), func(t *testing.T) {
			c := newCrowdedCell(0)
			c.fill(waiting)
			waits := len(c.cell.waiting)
			if waits < waiting*9/10 {
				t.Fatalf("%d requests wait, want about %d", waits, waiting)
			}
			before := c.cell.effort
			c.now += reviewInterval
			c.step(swcell.Tick{})
			// Each request looks for its place among the others twice.
			limit := uint64(waits * 2 * (bits.Len(uint(waits)) + 1))
			if got := c.cell.effort.Since(before).Visits; got > limit {
				t.Errorf("%d visits, want at most %d", got, limit)
			}
		})
	}
}

// TestBacklog compares the work ahead of each reviewed request with its sum.
func TestBacklog(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var q queued
		for range random.IntN(30) {
			q.insert(ranked{request: &request{}, rank: float64(random.IntN(8)), work: float64(1 + random.IntN(100))})
		}
		b, rejected := newBacklog(&q), make([]bool, len(q.entries))
		for i, e := range q.entries {
			for rank := -1.0; rank <= 9; rank++ {
				want := 0.0
				for j, other := range q.entries {
					if j != i && other.rank >= rank && !rejected[j] {
						want += other.work
					}
				}
				if got := b.ahead(i, rank); got != want {
					t.Fatalf("work ahead of request %d at rank %v is %v, want %v of %+v", i, rank, got, want, q.entries)
				}
			}
			rejected[i] = random.IntN(3) == 0
			b.reviewed(e.work, rejected[i])
		}
	}
}

// TestQueued checks that requests are removed whatever others have their rank.
func TestQueued(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var q queued
		var requests []*request
		for i := range random.IntN(30) {
			r := &request{arrival: uint64(i)}
			requests = append(requests, r)
			q.insert(ranked{request: r, rank: float64(random.IntN(4))})
		}
		random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
		for i, r := range requests {
			q.remove(r)
			q.remove(r) // which does not wait any more
			if slices.ContainsFunc(q.entries, func(e ranked) bool { return e.request == r }) || len(q.entries) != len(requests)-i-1 {
				t.Fatalf("%d requests are left of %d after %d were removed", len(q.entries), len(requests), i+1)
			}
		}
	}
}

// TestRepeatsOfACrowdedCell guards against an owner that searches all waiting requests at each message on one of them: holders
// repeat those of requests that wait.
func TestRepeatsOfACrowdedCell(t *testing.T) {
	for _, waiting := range []int{50, 200, 800} {
		t.Run(fmt.Sprint(waiting, " requests wait"), func(t *testing.T) {
			c := newCrowdedCell(0)
			c.fill(waiting)
			repeated := make([]swcell.GrantRequest, len(c.cell.waiting))
			for i, r := range c.cell.waiting {
				repeated[i] = r.grantRequest
			}
			before := c.cell.effort
			for _, r := range repeated {
				c.step(r)
			}
			for _, r := range repeated {
				c.step(swcell.Withdraw{Key: r.Key, Attempt: r.Attempt})
			}
			if got, limit := c.cell.effort.Since(before).Visits, uint64(2*len(repeated)); got > limit || len(c.cell.waiting) > 0 {
				t.Errorf("%d visits for %d messages, want at most %d; %d requests wait", got, 2*len(repeated), limit, len(c.cell.waiting))
			}
		})
	}
}

// BenchmarkBusyCell has a number of requests wait that come from many hosts and name the parts of their prompts.
func BenchmarkBusyCell(b *testing.B) {
	for _, waiting := range []int{0, 50, 450, 1000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			c := newCrowdedCell(0)
			c.fill(waiting)
			b.ResetTimer()
			for i := range b.N {
				c.now += swclock.Millis(i % 2)
				c.progress()
				c.end()
				c.fill(waiting)
				if i%100 == 0 {
					c.step(swcell.Tick{})
				}
			}
		})
	}
}

// fill adds requests until a number of them wait and half of the slots are taken, or one is rejected.
func (c *crowdedCell) fill(waiting int) {
	for before := -1; (len(c.cell.waiting) < waiting || len(c.grants) < crowdedTargets*crowdedSlots/2) && c.held() > before; {
		before = c.held()
		c.seq++
		n := swid.PrefixHash(c.seq)
		c.step(swcell.GrantRequest{
			Key: swcell.Key{Holder: swid.HostID(fmt.Sprint("h", n%100)), Incarnation: 1, Seq: c.seq}, Attempt: 1,
			PromptTokens: 2000, OutputTokens: 400, ExpectedTokens: 200, Fingerprint: swid.Fingerprint(n),
			Deadline: c.now + 15*swclock.Second, Objective: c.now + 2*swclock.Second, Abandon: c.now + 4*swclock.Second,
			Parts: []swcell.Part{{ID: n % 20, Tokens: 500}, {ID: 1000 + n%300, Tokens: 1000}, {ID: 100_000 + n, Tokens: 500}},
		})
	}
}

// held returns the number of requests that wait or run.
func (c *crowdedCell) held() int { return len(c.cell.waiting) + len(c.grants) }

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
