package swtrial

import (
	"container/heap"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// eventLoop runs functions in order of virtual time.
type eventLoop struct {
	now     swclock.Millis
	seq     uint64
	pending timers
}

type timer struct {
	at  swclock.Millis
	seq uint64
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// at schedules run for a time, or for now if that time has passed.
func (l *eventLoop) at(when swclock.Millis, run func()) {
	l.seq++
	heap.Push(&l.pending, timer{max(when, l.now), l.seq, run})
}

func (l *eventLoop) after(span swclock.Millis, run func()) { l.at(l.now+span, run) }

// runUntil runs the functions that are due until end, end included.
func (l *eventLoop) runUntil(end swclock.Millis) {
	for len(l.pending) > 0 && l.pending[0].at <= end {
		t := heap.Pop(&l.pending).(timer)
		l.now = t.at
		t.run()
	}
}
