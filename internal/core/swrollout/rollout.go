package swrollout

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// Rollout decides one order. It is not safe for concurrent use.
type Rollout struct {
	config Config
	order  Order
	// record is the latest record that is known to be in the store.
	record Record
}

// New returns the roll-out of an order whose record the store has. unixNow is the host's time of day in Unix milliseconds.
func New(config Config, order Order, record Record, now swclock.Millis, unixNow int64) *Rollout {
	return &Rollout{config: config, order: order, record: record}
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// Stored takes a record that was read from the store, or written to it: another owner may have written it.
func (r *Rollout) Stored(record Record, now swclock.Millis) { r.record = record }

// WriteFailed reports that the latest record of Step was not written, or may not have been.
func (r *Rollout) WriteFailed(now swclock.Millis) {}

// Arrived counts a request that reached the service: once for each request of a caller, also one that is rejected.
func (r *Rollout) Arrived(now swclock.Millis) {}

// Versions returns at which versions a request may begin. mayLast is the time that it is expected to take at a target of an old
// version. The result holds at this instant only.
func (r *Rollout) Versions(route Route, mayLast, now swclock.Millis) Versions {
	return Versions{Old: true}
}

// Granted records that a request was granted to a target of the new version: a first attempt, a retry or a continuation.
func (r *Rollout) Granted(now swclock.Millis) {}

// Returned records that a request which was granted to the new version was certainly not sent there.
func (r *Rollout) Returned(now swclock.Millis) {}

// Observe takes the end of an attempt at any version.
func (r *Rollout) Observe(a Answer, now swclock.Millis) {}

// Situation is what Step has to know of the service's targets.
type Situation struct {
	// OldTargets and NewTargets are the targets that take requests, and OldSlots and NewSlots the sums of their slots.
	OldTargets, NewTargets, OldSlots, NewSlots int
	// OldRunning is the number of requests that run at targets of other versions.
	OldRunning int
	// Waiting is the number of requests that wait for a target.
	Waiting int
}

// Step reviews the order. The caller calls it each 100 ms or so. write is not nil if the record has to be written to the store
// now; until Stored or WriteFailed, Step returns no other. change is not nil if the verdict has changed.
func (r *Rollout) Step(s Situation, now swclock.Millis) (write *Record, change *Change) {
	return nil, nil
}

// Evidence returns what the present belief rests on.
func (r *Rollout) Evidence(now swclock.Millis) Evidence { return Evidence{Order: r.order} }
