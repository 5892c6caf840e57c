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
	// maxTries bounds the tries of one batch.
	maxTries = 16
	// firstConflictPause bounds the random pause after a first conflict, and
	// doubles with each further one, so that hosts that meet in a shard spread out.
	firstConflictPause = 4 * time.Millisecond
	maxConflictPause   = 128 * time.Millisecond
)

// commit records what waits for a shard. Each try takes in what came meanwhile.
func (r *ObjectRegistry) commit(ctx context.Context, q *queue) {
	maybeWritten := false
	pause := firstConflictPause
	var b batch
	for range maxTries {
		if b = q.take(); b.empty() {
			return
		}
		err := r.try(ctx, q, b)
		if err == nil {
			return
		}
		q.cached = nil
		switch {
		case errors.Is(err, swobject.ErrConflict):
			sleep(ctx, rand.N(pause))
			pause = min(2*pause, maxConflictPause)
		case nothingWritten(err):
			q.fail(b, errors.WithMessage(ErrUnavailable, err.Error()), maybeWritten)
			return
		default:
			maybeWritten = true
		}
	}
	q.fail(b, errors.WithMessage(ErrUnavailable, "too many conflicts"), maybeWritten)
}

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

// try reads the shard, decides the batch and writes the shard if it changed.
// Decisions are given out only after the write that they depend on.
func (r *ObjectRegistry) try(ctx context.Context, q *queue, b batch) error {
	if err := r.load(ctx, q); err != nil {
		return err
	}
	next := &shard{age: q.cached.age, records: maps.Clone(q.cached.records), bytes: q.cached.bytes}
	changed := r.advance(q, next)
	for _, f := range b.finishes {
		if next.finish(f) {
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
	q.settle(b, results)
	return nil
}

// load makes q.cached current, if it is not known to be.
func (r *ObjectRegistry) load(ctx context.Context, q *queue) error {
	if q.cached != nil && r.clock.Now()-q.cachedAt < defaultCache {
		return nil
	}
	o, err := r.store.Get(ctx, r.objectKey(q.index))
	if errors.Is(err, swobject.ErrNotFound) {
		r.keep(q, newShard(), 0)
		return nil
	}
	if err != nil {
		return errors.WithMessage(swobject.ErrUnavailable, err.Error()) // a read writes nothing
	}
	s, err := decodeShard(o.Value)
	if err != nil {
		return errors.WithMessage(swobject.ErrUnavailable, err.Error())
	}
	r.keep(q, s, o.Version)
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
	r.keep(q, s, version)
	return nil
}

// keep remembers a shard as read or written, and since when its age is seen.
func (r *ObjectRegistry) keep(q *queue, s *shard, version swobject.Version) {
	now := r.clock.Now()
	q.cached, q.version, q.cachedAt = s, version, now
	if !q.seen || q.ageSeen != s.age {
		q.seen, q.ageSeen, q.since = true, s.age, now
	}
}

// advance starts the shard's next period if this process has seen the present
// one for a whole period. Every two advances are so at least one period apart, by
// the monotonic clock of the host that makes the later one.
func (r *ObjectRegistry) advance(q *queue, s *shard) bool {
	if r.clock.Now()-q.since < r.config.Period {
		return false
	}
	s.advance()
	return true
}
