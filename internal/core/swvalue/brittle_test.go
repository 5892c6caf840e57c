package swvalue

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
)

// TestAcceptedRoom checks that a brittle target that rejected a request is granted as many as it had at once, whether or
// not it was full then.
func TestAcceptedRoom(t *testing.T) {
	statement := swlimit.Statement{Heard: true, Brittle: true, MaxRejections: 1}
	tests := []struct {
		name string
		// adopted is the number of runs that the cell learns of after the rejection, beside its own.
		adopted, slots int
	}{
		{"no others", 0, 3},
		{"not full", 1, 4},
		{"full", 1, 3},
		{"full, two adopted", 2, 4},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			brittle := swlimit.NewBrittle()
			brittle.Observe("t", statement, 0, 0)
			b := &harness{cell: New(Config{Brittle: brittle}, Fastest{}, ByWorth{}), now: 1000}
			b.configure(e.slots, "t")
			const own = 2
			var runs []swcell.Grant
			for range own + 1 {
				g, ok := grantOf(b.step(b.newGrantRequest(nil)))
				if !ok {
					t.Fatalf("request %d is not granted", len(runs)+1)
				}
				runs = append(runs, g)
				b.now += acceptTime
			}
			b.step(swcell.Done{Key: runs[own].Key, Attempt: 1, Target: "t", Result: swcell.ResultNotStarted, Statement: statement})
			for range e.adopted {
				b.step(swcell.InFlight{GrantRequest: b.newGrantRequest(heldBy("adopted")), Target: "t", Elapsed: swclock.Second})
			}
			for _, g := range runs[:own] {
				b.step(swcell.Done{Key: g.Key, Attempt: 1, Target: "t", Result: swcell.ResultAnswered, Statement: statement, FirstToken: 50, Total: 300})
			}
			granted := 0
			for range e.slots {
				if _, ok := grantOf(b.step(b.newGrantRequest(heldBy("other")))); ok {
					granted++
				}
			}
			if granted != own {
				t.Errorf("%d requests granted after %d have ended, want as many", granted, own)
			}
		})
	}
}
