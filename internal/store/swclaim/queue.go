package swclaim

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// maxQueuedClaims bounds the claims queued for one shard.
	maxQueuedClaims = 1024
	// maxQueuedOutcomes bounds the outcomes queued for one shard. Further outcomes
	// are dropped, and their claims keep OutcomeUnknown.
	maxQueuedOutcomes = 4096
)

// result is what Claim returns.
type result struct {
	decision Decision
	err      error
}

// waiter is a call of Claim in progress.
type waiter struct {
	entry  Entry
	hash   keyHash
	result chan result // has room for the single result, so that sending never blocks

	// The fields below are guarded by queue.mu.

	// writeTried means that a write of the claim may have been tried.
	writeTried bool
	// resultSent means that the result was sent. abandoned means that the
	// claimant stopped waiting for it.
	resultSent bool
	abandoned  bool
}

// queue holds the claims and outcomes to be written to one shard. At most one
// worker processes the queue at a time, so that this host has at most one write
// of the shard in flight.
type queue struct {
	index int

	mu sync.Mutex
	// queued means that the queue is in ObjectRegistry.ready or processed by a worker.
	queued   bool
	waiters  []*waiter
	outcomes []outcomeReport

	// The fields below belong to the worker that processes the queue.

	// cached is the shard as last read or written, or nil if it must be read.
	// It is nil while the queue is idle.
	cached   *shard
	version  swobject.Version
	cachedAt swclock.Millis
	// ageSeen is the age last read or written, and ageSeenAt is when this process
	// first saw it. ageKnown means that both are set.
	ageSeen   uint32
	ageSeenAt swclock.Millis
	ageKnown  bool
}

// batch holds the claims and outcomes that one write records.
type batch struct {
	waiters  []*waiter
	outcomes []outcomeReport
}

func (b batch) empty() bool { return len(b.waiters) == 0 && len(b.outcomes) == 0 }

// add queues a claim, or returns ErrUnavailable if the queue is full.
func (q *queue) add(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= maxQueuedClaims {
		return errors.WithMessage(ErrUnavailable, "too many queued claims")
	}
	q.waiters = append(q.waiters, w)
	return nil
}

func (q *queue) addOutcome(o outcomeReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addOutcomeLocked(o)
}

// addOutcomeLocked queues an outcome, or drops it if the queue is full. The caller
// holds q.mu.
func (q *queue) addOutcomeLocked(o outcomeReport) {
	if len(q.outcomes) < maxQueuedOutcomes {
		q.outcomes = append(q.outcomes, o)
	}
}

// nextBatch returns all queued claims and outcomes, including those of an earlier
// try that did not complete, and drops abandoned claims.
func (q *queue) nextBatch() batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := batch{outcomes: q.outcomes[:len(q.outcomes):len(q.outcomes)]}
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if w.abandoned {
			continue
		}
		w.writeTried = true
		kept = append(kept, w)
		b.waiters = append(b.waiters, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	return b
}

// complete sends the results of the claims in a batch and removes its outcomes,
// which are now recorded.
func (q *queue) complete(b batch, results []result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.outcomes = append([]outcomeReport(nil), q.outcomes[len(b.outcomes):]...)
	q.sendResultsLocked(b, results)
}

// fail ends the claims of a batch with an error. The outcomes of the batch stay queued.
// maybeWritten means that a write of the claims may have taken effect or still may; fail
// then queues the outcome not run for each claim that was not abandoned, because no
// claimant dispatches its request after an error.
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
				q.addOutcomeLocked(notRunReport(w, true))
			}
		}
	}
	q.sendResultsLocked(b, results)
}

// sendResultsLocked sends the results of the claims in a batch and removes the
// claims from the queue. The caller holds q.mu.
func (q *queue) sendResultsLocked(b batch, results []result) {
	for i, w := range b.waiters {
		w.resultSent = true
		if !w.abandoned {
			w.result <- results[i]
		}
	}
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if !w.resultSent {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// abandon ends the wait for a claim. The claimant will not dispatch the request,
// so a claim that was or may still be written is recorded as not run.
func (q *queue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.abandoned = true
	if w.resultSent {
		if r := <-w.result; r.err == nil && r.decision.Granted {
			q.addOutcomeLocked(notRunReport(w, false))
		}
		return
	}
	if w.writeTried {
		q.addOutcomeLocked(notRunReport(w, true))
	}
}

// notRunReport returns a report that a claimed request did not run.
func notRunReport(w *waiter, fence bool) outcomeReport {
	return outcomeReport{hash: w.hash, request: w.entry.Request, decision: Decision{Outcome: OutcomeNotRun}, fence: fence}
}

// markQueued marks the queue as queued if it has entries. It reports whether the
// caller must put the queue into the ready ring because it was not queued before.
func (q *queue) markQueued() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued || len(q.waiters) == 0 && len(q.outcomes) == 0 {
		return false
	}
	q.queued = true
	return true
}

// release ends a worker's use of the queue. It reports whether the worker must
// put the queue into the ready ring again because claims were added meanwhile.
// Outcomes alone wait for runRetries.
// An idle queue caches no shard, so that memory does not grow with the number of
// shards.
func (q *queue) release() (requeue bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queued = len(q.waiters) > 0
	if !q.queued {
		q.cached = nil
	}
	return q.queued
}

// pending returns the number of queued claims and outcomes.
func (q *queue) pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) + len(q.outcomes)
}
