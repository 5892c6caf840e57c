package swqueue

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func item(org swid.OrgID, deadline swclock.Millis, cost float64) *Item[int] {
	return &Item[int]{Org: org, Deadline: deadline, LatestStart: deadline, Work: cost, Cost: cost}
}

func equalWeight(swid.OrgID) float64 { return 1 }

// While organisations are backlogged, the cost that each was served, divided by its
// weight, differs by at most two requests.
func TestBackloggedOrganisationsAreServedByWeight(t *testing.T) {
	const largest = 1000
	rapid.Check(t, func(t *rapid.T) {
		weights := map[swid.OrgID]float64{"a": 1, "b": rapid.Float64Range(0.5, 4).Draw(t, "b"), "c": 2}
		q := New[int](func(o swid.OrgID) float64 { return weights[o] })
		for org := range weights {
			for range 300 {
				q.Push(item(org, swclock.Millis(rapid.IntRange(0, 1000).Draw(t, "deadline")), rapid.Float64Range(1, largest).Draw(t, "cost")))
			}
		}
		served := make(map[swid.OrgID]float64)
		for range 200 {
			i, _ := q.Head()
			q.Take(i)
			served[i.Org] += i.Cost / weights[i.Org]
		}
		for org := range weights {
			if gap := math.Abs(served[org] - served["a"]); gap > 2*largest/min(weights[org], 1) {
				t.Fatalf("%s and a were served amounts that differ by %.0f", org, gap)
			}
		}
	})
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	q := New[int](equalWeight)
	for range 100 {
		q.Push(item("busy", 10, 10))
	}
	for range 50 {
		i, _ := q.Head()
		q.Take(i)
	}
	for range 50 {
		q.Push(item("new", 10, 10))
	}
	fromNew := 0
	for range 20 {
		i, _ := q.Head()
		q.Take(i)
		if i.Org == "new" {
			fromNew++
		}
	}
	if fromNew < 9 || fromNew > 11 {
		t.Errorf("the new organisation got %d of 20 turns, want half", fromNew)
	}
}

func TestEarliestDeadlineWithinOrganisation(t *testing.T) {
	q := New[int](equalWeight)
	late, early := item("a", 200, 1), item("a", 100, 1)
	q.Push(late)
	q.Push(early)
	if i, _ := q.Head(); i != early {
		t.Error("the later deadline is first")
	}
	q.Hold(early)
	if i, _ := q.Head(); i != late {
		t.Error("a held item is first")
	}
	q.Release()
	if i, _ := q.Head(); i != early {
		t.Error("a released item is not at its previous position")
	}
}

func TestAheadCountsFairShares(t *testing.T) {
	q := New[int](equalWeight)
	for range 100 {
		q.Push(item("rush", 100, 10))
	}
	quiet, last := item("quiet", 100, 10), item("rush", 100, 10)
	q.Push(quiet)
	q.Push(last)
	if ahead := q.Ahead(quiet); ahead > 30 {
		t.Errorf("%.0f of work ahead of a quiet organisation, want about one request of each other organisation", ahead)
	}
	if ahead := q.Ahead(last); ahead < 1000 || ahead > 1020 {
		t.Errorf("%.0f of work ahead of the last request, want all", ahead)
	}
}

// Random pushes, removals and charges keep the length and the total work
// consistent, and every item can be taken at the end.
func TestQueueStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](equalWeight)
		var queued []*Item[int]
		work := 0.0
		for range 300 {
			n := rapid.IntRange(0, 5).Draw(t, "step")
			switch {
			case n < 3 || len(queued) == 0:
				i := item(swid.OrgID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "org"))), swclock.Millis(rapid.IntRange(0, 99).Draw(t, "deadline")), 5)
				q.Push(i)
				queued = append(queued, i)
				work += 5
			case n < 5:
				index := rapid.IntRange(0, len(queued)-1).Draw(t, "at")
				q.Remove(queued[index])
				queued = append(queued[:index], queued[index+1:]...)
				work -= 5
			default:
				q.Charge("1", rapid.Float64Range(-50, 50).Draw(t, "cost"))
			}
			if q.Len() != len(queued) || math.Abs(q.Work()-work) > 1e-6 {
				t.Fatalf("%d items of %.1f, want %d of %.1f", q.Len(), q.Work(), len(queued), work)
			}
		}
		for range queued {
			i, ok := q.Head()
			if !ok {
				t.Fatal("the queue is empty before all items were taken")
			}
			q.Take(i)
		}
	})
}
