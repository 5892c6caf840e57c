package swbudget

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// windowParts is the number of parts in which a window is counted.
const windowParts = 10

// Window allows a number of retries within any window of time: a ratio of the
// requests in it, and a reserve. Each host has a window of its own with a part
// of the reserve, so that the sum over all hosts keeps to the whole.
type Window struct {
	span    swclock.Millis
	ratio   float64
	reserve float64
	// parts is a ring; each part covers a fraction of the span.
	parts [windowParts + 1]windowPart
}

// windowPart counts what happened in one part of the time.
type windowPart struct {
	// number is that of the part since the clock's start, from 1.
	number   int64
	requests int
	retries  int
}

// NewWindow returns a window in which nothing has happened.
func NewWindow(span swclock.Millis, ratio, reserve float64) *Window {
	return &Window{span: span, ratio: ratio, reserve: reserve}
}

// SetReserve changes the reserve.
func (w *Window) SetReserve(reserve float64) { w.reserve = reserve }

// Request counts a request.
func (w *Window) Request(now swclock.Millis) { w.part(now).requests++ }

// Take uses one retry up and reports whether one was left.
func (w *Window) Take(now swclock.Millis) bool {
	present := w.part(now)
	requests, retries := 0, 0
	for i := range w.parts {
		// A part that is partly older than the window counts for its retries only.
		if age := present.number - w.parts[i].number; w.parts[i].number > 0 && age <= windowParts {
			retries += w.parts[i].retries
			if age < windowParts {
				requests += w.parts[i].requests
			}
		}
	}
	if float64(retries+1) > w.ratio*float64(requests)+w.reserve {
		return false
	}
	present.retries++
	return true
}

// part returns the present part.
func (w *Window) part(now swclock.Millis) *windowPart {
	number := int64(now*windowParts/w.span) + 1
	p := &w.parts[number%int64(len(w.parts))]
	if p.number != number {
		*p = windowPart{number: number}
	}
	return p
}
