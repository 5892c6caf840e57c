package swsuspect

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Crash is the end of a target while it ran content.
type Crash struct {
	Target swid.TargetID
	// Started and Ended bound the run of the content that the target did not finish.
	Started swclock.Millis
	Ended   swclock.Millis
	// Alone is set if the target ran nothing else.
	Alone bool
	// Apart is set if the content ran nowhere else, and on no target that ran other content that
	// several targets had crashed with.
	Apart bool
}

// conclusive reports whether the crash may make the content refused. Others show no more than that
// it is a suspect, like all content that ran on the targets that crashed.
func (c *Crash) conclusive() bool { return c.Alone || c.Apart }

// strikes returns the number of strikes for the crash.
func (c *Crash) strikes() int {
	if c.Alone {
		return aloneStrikes
	}
	return 1
}

// same reports whether two runs of the same content ended by one crash: the target ran both at
// the same time.
func (c *Crash) same(o *Crash) bool {
	return c.Target == o.Target && c.Started < o.Ended && o.Started < c.Ended
}

// Breaks tells a target that content has crashed from one that breaks whatever it runs. The zero
// value stands for a target without any record.
type Breaks struct {
	// crashed is set once the target crashed, and crashedAt is when it last did.
	crashed   bool
	crashedAt swclock.Millis
	// working is set if the target has worked since its last crash.
	working bool
}

// Answered records that the target answered a run that began at started.
func (b *Breaks) Answered(started swclock.Millis) {
	b.working = b.working || started >= b.crashedAt
}

// Restarted records that the target was started anew.
func (b *Breaks) Restarted() { b.working = true }

// Broke records that a run that began at started broke, and reports whether that is a crash of
// the target, for which the content of the run may be the cause. It is not if the target had
// crashed before the run and has not worked since.
func (b *Breaks) Broke(started, now swclock.Millis) bool {
	if b.crashed && started < b.crashedAt {
		return true // the run ended with the last crash
	}
	if b.crashed && !b.working {
		return false
	}
	b.crashed, b.crashedAt, b.working = true, now, false
	return true
}
