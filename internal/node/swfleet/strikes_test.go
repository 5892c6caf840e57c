package swfleet

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// TestStrikeLog checks what a host reports of its strikes, also after thousands of contents crashed
// targets, a lost link and a change of the owner.
func TestStrikeLog(t *testing.T) {
	var l strikeLog
	now := swclock.Minute
	// report returns the number of strikes in a registration.
	report := func(complete, sent bool) int {
		n := 0
		l.report(complete, now, func(strikes []swmsg.Strike) bool {
			n = len(strikes)
			return sent
		})
		return n
	}
	check := func(when string, got, want int) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %d strikes reported, want %d", when, got, want)
		}
	}
	add := func(contents int) {
		for i := range contents {
			l.add(swid.Fingerprint(i), swsuspect.Crash{Target: "a", Started: now - 1, Ended: now})
		}
	}
	add(2)
	check("while the link is down", report(false, false), 2)
	check("when it is up", report(false, true), 2)
	check("later", report(false, true), 0)
	add(1)
	check("a new strike", report(false, true), 1)
	check("to a new owner", report(true, true), 3)
	now += strikeReportTime + 1
	check("to a new owner, long after", report(true, true), 0)
	add(5000)
	check("after thousands", report(false, true), swcodec.MaxStrikes)
}
