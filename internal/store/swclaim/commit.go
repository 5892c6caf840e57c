package swclaim

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// maxCommitTries is how often one call of commit tries to write a shard.
	maxCommitTries = 16
	// firstConflictBackoff bounds the random pause after the first conflict. The
	// bound doubles with each further conflict up to maxConflictBackoff, so that
	// hosts that write the same shard spread out.
	firstConflictBackoff = 4 * time.Millisecond
	maxConflictBackoff   = 128 * time.Millisecond
)

// commit writes the queued claims and outcomes of a shard. Each try includes
// those that were queued since the previous try.
func (r *ObjectRegistry) commit(ctx context.Context, q *queue) {
	maybeWritten := false
	backoff := firstConflictBackoff
	var b batch
	for range maxCommitTries {
		if b = q.nextBatch(); b.empty() {
			return
		}
		err := r.commitOnce(ctx, q, b)
		if err == nil {
			return
		}
		q.cached = nil
		switch {
		case errors.Is(err, swobject.ErrConflict):
			sleep(ctx, rand.N(backoff))
			backoff = min(2*backoff, maxConflictBackoff)
		case nothingWritten(err):
			q.fail(b, errors.WithMessage(ErrUnavailable, err.Error()), maybeWritten)
			return
		default:
			maybeWritten = true
		}
	}
	q.fail(b, errors.WithMessage(ErrUnavailable, "too many version conflicts"), maybeWritten)
}

// nothingWritten reports whether a write that failed with err took no effect.
func nothingWritten(err error) bool {
	return errors.Is(err, swobject.ErrUnavailable) || errors.Is(err, swobject.ErrRateLimited) ||
		errors.Is(err, swobject.ErrTooLarge)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// commitOnce reads the shard, evaluates the batch and writes the shard if it
// changed. Claimants receive their decisions only after the write that the
// decisions depend on.
func (r *ObjectRegistry) commitOnce(ctx context.Context, q *queue, b batch) error {
	if err := r.load(ctx, q); err != nil {
		return err
	}
	next := &shard{age: q.cached.age, records: maps.Clone(q.cached.records), bytes: q.cached.bytes}
	changed := r.advance(q, next)
	for _, o := range b.outcomes {
		if next.recordOutcome(o) {
			changed = true
		}
	}
	results := make([]result, len(b.waiters))
	for i, w := range b.waiters {
		v := next.claim(w.hash, w.entry)
		changed = changed || v.changed
		results[i].decision = v.decision
		if v.full {
			results[i].err = &FullError{RetryAfter: r.config.Period}
		}
	}
	if changed {
		if err := r.write(ctx, q, next); err != nil {
			return err
		}
	}
	q.complete(b, results)
	return nil
}

// load reads the shard into q.cached unless the cached one is still valid. Its errors
// wrap swobject.ErrUnavailable, by which commit recognises that nothing was written.
func (r *ObjectRegistry) load(ctx context.Context, q *queue) error {
	if q.cached != nil && r.clock.Now()-q.cachedAt < cacheValidity {
		return nil
	}
	o, err := r.store.Get(ctx, r.objectKey(q.index))
	if errors.Is(err, swobject.ErrNotFound) {
		r.cacheShard(q, newShard(), 0)
		return nil
	}
	if err != nil {
		return errors.WithMessage(swobject.ErrUnavailable, err.Error())
	}
	s, err := decodeShard(o.Value)
	if err != nil {
		return errors.WithMessage(swobject.ErrUnavailable, err.Error())
	}
	r.cacheShard(q, s, o.Version)
	return nil
}

func (r *ObjectRegistry) write(ctx context.Context, q *queue, s *shard) error {
	data, err := encodeShard(s)
	if err != nil {
		return errors.WithMessage(swobject.ErrUnavailable, err.Error())
	}
	version, err := r.store.Put(ctx, r.objectKey(q.index), data, q.version)
	if err != nil {
		return err
	}
	r.cacheShard(q, s, version)
	return nil
}

// cacheShard caches a shard that was read or written, and records when its age
// was first seen.
func (r *ObjectRegistry) cacheShard(q *queue, s *shard, version swobject.Version) {
	now := r.clock.Now()
	q.cached, q.version, q.cachedAt = s, version, now
	if !q.ageKnown || q.ageSeen != s.age {
		q.ageKnown, q.ageSeen, q.ageSeenAt = true, s.age, now
	}
}

// advance starts the shard's next period if this process first saw the current
// one at least a whole period ago, and reports whether it did. Two advances are
// therefore at least one period apart by the monotonic clock of the host that makes
// the later one.
func (r *ObjectRegistry) advance(q *queue, s *shard) bool {
	if r.clock.Now()-q.ageSeenAt < r.config.Period {
		return false
	}
	s.advance()
	return true
}
