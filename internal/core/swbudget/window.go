package swbudget

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// bucketCount is the number of buckets into which a window is divided.
const bucketCount = 10

// Window limits the retries within any window of time to a ratio of the requests in
// it plus a reserve. Each host has a window of its own with a part of the reserve,
// so that all hosts together stay within the whole reserve.
type Window struct {
	span    swclock.Millis
	ratio   float64
	reserve float64
	// buckets is a ring; each bucket covers an equal fraction of the span.
	buckets [bucketCount + 1]bucket
}

// bucket counts the requests and retries in one bucket of time.
type bucket struct {
	// number counts the buckets since the clock's start, from 1; 0 marks an unused one.
	number   int64
	requests int
	retries  int
}

// NewWindow returns a window without requests and retries.
func NewWindow(span swclock.Millis, ratio, reserve float64) *Window {
	return &Window{span: span, ratio: ratio, reserve: reserve}
}

// SetReserve changes the reserve.
func (w *Window) SetReserve(reserve float64) { w.reserve = reserve }

// Request counts a request.
func (w *Window) Request(now swclock.Millis) { w.currentBucket(now).requests++ }

// Take uses one retry and reports whether one was left.
func (w *Window) Take(now swclock.Millis) bool {
	current := w.currentBucket(now)
	requests, retries := 0, 0
	for i := range w.buckets {
		// The oldest bucket began before the window. Only its retries count, so that
		// the limit holds for any window.
		if age := current.number - w.buckets[i].number; w.buckets[i].number > 0 && age <= bucketCount {
			retries += w.buckets[i].retries
			if age < bucketCount {
				requests += w.buckets[i].requests
			}
		}
	}
	if float64(retries+1) > w.ratio*float64(requests)+w.reserve {
		return false
	}
	current.retries++
	return true
}

// GiveBack returns a retry that was taken at an instant and not used.
func (w *Window) GiveBack(takenAt swclock.Millis) {
	number := w.bucketNumber(takenAt)
	if p := &w.buckets[number%int64(len(w.buckets))]; p.number == number && p.retries > 0 {
		p.retries--
	}
}

// bucketNumber returns the number of the bucket of an instant.
func (w *Window) bucketNumber(at swclock.Millis) int64 { return int64(at*bucketCount/w.span) + 1 }

// currentBucket returns the bucket of the current time. If the ring still holds
// an older bucket in its place, currentBucket replaces that.
func (w *Window) currentBucket(now swclock.Millis) *bucket {
	number := w.bucketNumber(now)
	p := &w.buckets[number%int64(len(w.buckets))]
	if p.number != number {
		*p = bucket{number: number}
	}
	return p
}
