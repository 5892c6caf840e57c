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
	// defaultShards is the default of Config.Shards, which must be the same on all
	// hosts of an environment.
	defaultShards = 4096
	// defaultPeriod is the default of Config.Period.
	defaultPeriod = swclock.Hour
	// cacheValidity is how long a shard that this host read or wrote is used
	// without reading it again.
	cacheValidity = 1 * swclock.Second
	// workerCount is how many shards one host can write at the same time.
	workerCount = 32
	// retryInterval is the time between two tries to record queued outcomes.
	retryInterval = 200 * time.Millisecond
	// drainTimeout bounds the time to record the claims and outcomes that are left
	// when the context of Run ends.
	drainTimeout = 2 * time.Second
)

// Config configures an ObjectRegistry.
type Config struct {
	// Environment is part of the object keys, so that environments do not share claims.
	Environment string
	// Shards is the number of objects that claims are distributed over; 0 stands
	// for 4096. It must be the same on all hosts. After a change, earlier claims
	// are no longer found.
	Shards int
	// Period is the unit of retention: a claim is kept for 24 whole periods
	// after the one in which it was recorded. 0 stands for one hour.
	Period swclock.Millis
}

// ObjectRegistry keeps claims in the platform's object store. It implements Registry.
//
// Claims queued for the same shard share a write. The write is conditional on
// the version that was read: of two hosts that claim the same key, one gets a
// conflict and reads the other's claim before it decides.
type ObjectRegistry struct {
	store  swobject.Store
	clock  swclock.Clock
	config Config
	queues []queue
	// ready holds the queues that wait for a worker. It has capacity for every
	// queue, and each is in it at most once.
	ready *swring.Ring[*queue]
}

// New returns a registry. It processes claims only while Run runs.
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

// Run records claims and outcomes until ctx ends, and then records the remaining
// ones for at most drainTimeout.
func (r *ObjectRegistry) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for range workerCount {
		wg.Go(func() { r.runWorker(ctx) })
	}
	wg.Go(func() { r.runRetries(ctx) })
	wg.Wait()
	r.drain()
}

// drain calls commit once for each queue that has entries. It runs after all workers
// have returned.
func (r *ObjectRegistry) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	p := pool.New().WithMaxGoroutines(workerCount)
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
	r.enqueue(q)
	select {
	case got := <-w.result:
		return got.decision, got.err
	case <-ctx.Done():
		q.abandon(w)
		r.enqueue(q)
		return Decision{}, errors.WithMessage(ErrUnavailable, ctx.Err().Error())
	}
}

// RecordOutcome implements Registry.
func (r *ObjectRegistry) RecordOutcome(e Entry, d Decision) {
	if d.Outcome == OutcomeUnknown {
		return // the claim was recorded with this outcome
	}
	h := hashKey(e.Key)
	if len(d.Body)+len(d.ContentType) > maxAnswerBytes {
		d = Decision{Outcome: d.Outcome}
	}
	d.Body = bytes.Clone(d.Body)
	q := r.queueOf(h)
	q.addOutcome(outcomeReport{hash: h, request: e.Request, decision: d})
	r.enqueue(q)
}

// queueOf returns the queue of the shard that a key belongs to.
func (r *ObjectRegistry) queueOf(h keyHash) *queue { return &r.queues[h.index(len(r.queues))] }

// enqueue puts a queue with entries into the ready ring, unless it is queued already.
func (r *ObjectRegistry) enqueue(q *queue) {
	if q.markQueued() {
		r.ready.TryPut(q) // never full: see ObjectRegistry.ready
	}
}

// runWorker commits ready queues until ctx ends.
func (r *ObjectRegistry) runWorker(ctx context.Context) {
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

// runRetries enqueues, every retryInterval, the queues that still have entries: their
// outcomes could not be recorded yet, or were added while a worker processed the queue.
func (r *ObjectRegistry) runRetries(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for i := range r.queues {
				r.enqueue(&r.queues[i])
			}
		}
	}
}

func (r *ObjectRegistry) objectKey(index int) string {
	return "claims/" + r.config.Environment + "/" + strconv.Itoa(index)
}
