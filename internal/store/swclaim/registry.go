package swclaim

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// defaultShards must be the same on all hosts of an environment.
	defaultShards = 4096
	// defaultPeriod is the length of a shard's period.
	defaultPeriod = swclock.Hour
	// defaultCache is how long a shard that this host read or wrote is taken to be current.
	defaultCache = 1 * swclock.Second
	// workers bounds the writes in flight of one host.
	workers = 32
	// retryInterval is the time between two tries to record outcomes.
	retryInterval = 200 * time.Millisecond
	// drainTimeout bounds the time for outcomes that are left at the end.
	drainTimeout = 2 * time.Second
)

// Config configures an ObjectRegistry.
type Config struct {
	// Environment is part of the objects' keys.
	Environment string
	// Shards is the number of objects; 0 stands for the default. It is the same
	// on all hosts, and changing it forgets all claims.
	Shards int
	// Period is the unit of retention; 0 stands for one hour.
	Period swclock.Millis
}

// ObjectRegistry keeps claims in the platform's object store. It implements Registry.
//
// Claims that meet in one shard share a write. The write is conditional on the
// version that was read, so that of two hosts that claim the same key one reads
// the other's claim before it decides.
type ObjectRegistry struct {
	store  swobject.Store
	clock  swclock.Clock
	config Config
	queues []queue
	// ready has room for every queue, and holds each at most once.
	ready *swring.Ring[*queue]
}

// New returns a registry; it answers claims while Run runs.
func New(c Config, store swobject.Store, clock swclock.Clock) *ObjectRegistry {
	if c.Shards == 0 {
		c.Shards = defaultShards
	}
	if c.Period == 0 {
		c.Period = defaultPeriod
	}
	r := &ObjectRegistry{
		store:  store,
		clock:  clock,
		config: c,
		queues: make([]queue, c.Shards),
		ready:  swring.New[*queue](c.Shards),
	}
	for i := range r.queues {
		r.queues[i].index = i
	}
	return r
}

// Run records claims and outcomes until ctx ends, and then, for a short while,
// the outcomes that are left.
func (r *ObjectRegistry) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for range workers {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Go(func() { r.retry(ctx) })
	wg.Wait()
	r.drain()
}

// drain tries once more to record what waits. No worker runs any more.
func (r *ObjectRegistry) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(workers)
	for i := range r.queues {
		if q := &r.queues[i]; q.pending() > 0 {
			p.Go(func() { r.commit(ctx, q) })
		}
	}
	p.Wait()
}

// Pending returns how many claims and outcomes are not yet recorded, so that a
// shutdown can wait for them.
func (r *ObjectRegistry) Pending() int {
	n := 0
	for i := range r.queues {
		n += r.queues[i].pending()
	}
	return n
}

// Claim implements Registry.
func (r *ObjectRegistry) Claim(ctx context.Context, e Entry) (Decision, error) {
	if len(e.Request) > maxRequestBytes {
		return Decision{}, errors.WithMessage(ErrUnavailable, "request id too long")
	}
	w := &waiter{entry: e, hash: hashKey(e.Key), result: make(chan result, 1)}
	q := r.queueOf(w.hash)
	if err := q.add(w); err != nil {
		return Decision{}, err
	}
	r.wake(q)
	select {
	case got := <-w.result:
		return got.decision, got.err
	case <-ctx.Done():
		q.abandon(w)
		r.wake(q)
		return Decision{}, errors.WithMessage(ErrUnavailable, ctx.Err().Error())
	}
}

// Finish implements Registry.
func (r *ObjectRegistry) Finish(e Entry, d Decision) {
	if d.Outcome == OutcomeUnknown {
		return // as recorded by the claim
	}
	h := hashKey(e.Key)
	if len(d.Body)+len(d.ContentType) > maxAnswerBytes {
		d = Decision{Outcome: d.Outcome}
	}
	d.Body = bytes.Clone(d.Body)
	q := r.queueOf(h)
	q.addFinish(finish{hash: h, request: e.Request, decision: d})
	r.wake(q)
}

func (r *ObjectRegistry) queueOf(h keyHash) *queue { return &r.queues[h.index(len(r.queues))] }

func (r *ObjectRegistry) wake(q *queue) {
	if q.claimQueued() {
		r.ready.TryPut(q) // has room: see ObjectRegistry.ready
	}
}

func (r *ObjectRegistry) work(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case q := <-r.ready.Items():
			r.commit(ctx, q)
			if q.release() {
				r.ready.TryPut(q)
			}
		}
	}
}

// retry wakes the shards whose outcomes could not be recorded.
func (r *ObjectRegistry) retry(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for i := range r.queues {
				r.wake(&r.queues[i])
			}
		}
	}
}

func (r *ObjectRegistry) objectKey(index int) string {
	return "claims/" + r.config.Environment + "/" + strconv.Itoa(index)
}
