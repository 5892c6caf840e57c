package swtrial

import (
	"container/heap"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// loop runs functions in order of virtual time.
type loop struct {
	now  swclock.Millis
	seq  uint64
	todo timers
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

// at runs a function at an instant, or now if that has passed.
func (l *loop) at(when swclock.Millis, run func()) {
	l.seq++
	heap.Push(&l.todo, timer{max(when, l.now), l.seq, run})
}

func (l *loop) after(span swclock.Millis, run func()) { l.at(l.now+span, run) }

// runUntil runs what is due by an instant.
func (l *loop) runUntil(end swclock.Millis) {
	for len(l.todo) > 0 && l.todo[0].at <= end {
		t := heap.Pop(&l.todo).(timer)
		l.now = t.at
		t.run()
	}
}
