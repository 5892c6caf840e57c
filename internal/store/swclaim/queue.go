package swclaim

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// maxWaiting bounds the claims that wait for one shard.
	maxWaiting = 1024
	// maxFinishes bounds the outcomes that wait for one shard; an outcome that
	// finds no room reads as unknown.
	maxFinishes = 4096
)

// result is the end of a claim.
type result struct {
	decision Decision
	err      error
}

// waiter is a claim that is under way.
type waiter struct {
	entry  Entry
	hash   keyHash
	result chan result // has room for the one result

	// The fields below are guarded by queue.mu.

	// taken means that a write of the claim may have been tried.
	taken bool
	// settled means that the result was sent; abandoned, that nobody waits for it.
	settled   bool
	abandoned bool
}

// queue holds what waits for one shard. At most one worker has the queue at a
// time, so that a shard has one write in flight.
type queue struct {
	index int

	mu sync.Mutex
	// queued means that the queue is in the ring or with a worker.
	queued   bool
	waiters  []*waiter
	finishes []finish

	// The fields below belong to the worker that has the queue.

	// cached is the shard as last read or written; nil if it must be read. Only
	// a queue with a worker has one.
	cached   *shard
	version  swobject.Version
	cachedAt swclock.Millis
	// ageSeen is the age last read or written, and since is when it was first seen.
	ageSeen uint32
	since   swclock.Millis
	seen    bool
}

// batch is what one write records.
type batch struct {
	waiters  []*waiter
	finishes []finish
}

func (b batch) empty() bool { return len(b.waiters) == 0 && len(b.finishes) == 0 }

// add queues a claim, unless too many wait.
func (q *queue) add(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= maxWaiting {
		return errors.WithMessage(ErrUnavailable, "too many claims wait")
	}
	q.waiters = append(q.waiters, w)
	return nil
}

func (q *queue) addFinish(f finish) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addFinishLocked(f)
}

func (q *queue) addFinishLocked(f finish) {
	if len(q.finishes) < maxFinishes {
		q.finishes = append(q.finishes, f)
	}
}

// take returns everything that waits, including what an earlier try of the same worker took.
func (q *queue) take() batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := batch{finishes: q.finishes[:len(q.finishes):len(q.finishes)]}
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if w.abandoned {
			continue
		}
		w.taken = true
		kept = append(kept, w)
		b.waiters = append(b.waiters, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	return b
}

// settle ends the claims of a batch and drops its outcomes, which are recorded.
func (q *queue) settle(b batch, results []result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finishes = append([]finish(nil), q.finishes[len(b.finishes):]...)
	q.endLocked(b, results)
}

// fail ends the claims of a batch with an error. maybeWritten means that a write of
// them may have taken effect or still may.
func (q *queue) fail(b batch, err error, maybeWritten bool) {
	results := make([]result, len(b.waiters))
	for i := range results {
		results[i].err = err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if maybeWritten {
		for _, w := range b.waiters {
			if !w.abandoned {
				q.addFinishLocked(notRun(w, true))
			}
		}
	}
	q.endLocked(b, results)
}

func (q *queue) endLocked(b batch, results []result) {
	for i, w := range b.waiters {
		w.settled = true
		if !w.abandoned {
			w.result <- results[i]
		}
	}
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if !w.settled {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// abandon ends the wait for a claim. The claimant will not dispatch, so that
// the claim, if it was or may yet be recorded, is recorded as not run.
func (q *queue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.abandoned = true
	if w.settled {
		if r := <-w.result; r.err == nil && r.decision.Granted {
			q.addFinishLocked(notRun(w, false))
		}
		return
	}
	if w.taken {
		q.addFinishLocked(notRun(w, true))
	}
}

func notRun(w *waiter, fence bool) finish {
	return finish{hash: w.hash, request: w.entry.Request, decision: Decision{Outcome: OutcomeNotRun}, fence: fence}
}

// claimQueued marks the queue as in the ring, and reports whether it was not.
func (q *queue) claimQueued() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued || len(q.waiters) == 0 && len(q.finishes) == 0 {
		return false
	}
	q.queued = true
	return true
}

// release gives the queue back; claims that came meanwhile queue it again. An
// idle queue keeps no shard, so that memory does not grow with the shards.
func (q *queue) release() (again bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queued = len(q.waiters) > 0
	if !q.queued {
		q.cached = nil
	}
	return q.queued
}

func (q *queue) pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) + len(q.finishes)
}
