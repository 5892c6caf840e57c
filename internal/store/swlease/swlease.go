// Package swlease implements a lease that is stored as an object in the platform's
// object store. One process at a time holds the lease and may send orders (see package
// sworder). The version of the lease's object is the fencing number of the orders sent
// under the lease.
//
// Timestamps of different hosts are never compared. The term of the lease's holder
// begins before the holder sends the renewal. A successor starts its wait when it first
// reads the version that the renewal wrote. It waits for the term and the delivery time
// of orders, lengthened by the largest difference of clock rates, so the holder's term
// ends and its last order arrives before the successor acquires the lease.
package swlease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// clockRateBound is the inverse of the largest relative difference between the
	// clock rates of two hosts: 100 allows for one percent.
	clockRateBound = 100
	// renewalsPerTerm is how many renewals are tried in a term.
	renewalsPerTerm = 3
)

// Fencing is a fencing number. It identifies a term, and a later term of any
// holder has a larger one.
type Fencing uint64

// Tenure describes a lease that is held.
type Tenure struct {
	Fencing Fencing
	// Until is when the term ends, on the holder's clock.
	Until swclock.Millis
}

// Config configures a Lease.
type Config struct {
	// Key is the key of the lease's object.
	Key string
	// Term is how long the lease is held after a renewal.
	Term swclock.Millis
	// DeliveryTimeout bounds the time between the last check of the lease and the
	// arrival of an order that was sent under it. A successor waits for this time
	// in addition to Term.
	DeliveryTimeout swclock.Millis
}

// Lease is one process's handle on a lease. Held may be called at any time; Run,
// AcquireOrRenew and Release must not run concurrently.
type Lease struct {
	config Config
	store  swobject.Store
	clock  swclock.Clock

	mu     sync.Mutex
	tenure Tenure // invalid after its Until

	// The fields below belong to the goroutine that calls AcquireOrRenew.

	// seen is the object's version as last read or written, and seenAt is when this
	// process first saw that version.
	seen         swobject.Version
	seenAt       swclock.Millis
	versionKnown bool // false before the first read and after a failed write
	released     bool // no process holds the lease: it was released or never acquired
	// nonce identifies the last write that was tried, and sentAt is when it was sent.
	nonce  string
	sentAt swclock.Millis
}

// New returns a lease that is not held.
func New(c Config, store swobject.Store, clock swclock.Clock) *Lease {
	return &Lease{config: c, store: store, clock: clock}
}

// wireLease is the value of a lease's object.
type wireLease struct {
	// Nonce identifies one write. It is empty after the holder released the lease.
	Nonce string `json:"nonce"`
}

// Held returns the current tenure, and reports whether its term has not ended.
func (l *Lease) Held() (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenure, l.clock.Now() < l.tenure.Until
}

// Run acquires and renews the lease until ctx ends. Afterwards, Release releases it
// before its term ends.
func (l *Lease) Run(ctx context.Context) {
	ticker := time.NewTicker((l.config.Term / renewalsPerTerm).Duration())
	defer ticker.Stop()
	for {
		// A failed call does not change the tenure, which ends with its term.
		_ = l.AcquireOrRenew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// AcquireOrRenew renews the lease if it is held. Otherwise it acquires the lease if it is
// released or its version has not changed for TakeoverWait.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if _, held := l.Held(); held && l.versionKnown {
		return l.write(ctx)
	}
	if err := l.readObject(ctx); err != nil {
		return err
	}
	if _, held := l.Held(); held || !l.released && l.clock.Now()-l.seenAt < l.TakeoverWait() {
		return nil
	}
	return l.write(ctx)
}

// TakeoverWait returns how long a version must stay unchanged before another process
// may acquire the lease: by then its holder's term has ended.
func (l *Lease) TakeoverWait() swclock.Millis {
	span := l.config.Term + l.config.DeliveryTimeout
	return span + span/clockRateBound + 1
}

// readObject reads the lease's object. If the object has the nonce of a write whose
// response was lost, the write took effect and startTerm records its term.
func (l *Lease) readObject(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.config.Key)
	if errors.Is(err, swobject.ErrNotFound) {
		l.observe(0, true)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	var w wireLease
	if err := json.Unmarshal(o.Value, &w); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	l.observe(o.Version, w.Nonce == "")
	if w.Nonce != "" && w.Nonce == l.nonce {
		l.startTerm(o.Version)
	}
	return nil
}

// observe records the version of the object and whether the lease is released.
func (l *Lease) observe(v swobject.Version, released bool) {
	l.released = released
	if !l.versionKnown || l.seen != v {
		l.versionKnown, l.seen, l.seenAt = true, v, l.clock.Now()
	}
}

// startTerm records that this process holds the lease for a term that began before
// the write was sent.
func (l *Lease) startTerm(v swobject.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenure = Tenure{Fencing: Fencing(v), Until: l.sentAt + l.config.Term}
}

// write acquires or renews the lease if its object still has the version seen.
func (l *Lease) write(ctx context.Context) error {
	l.nonce, l.sentAt = uuid.NewString(), l.clock.Now()
	version, err := l.put(ctx, l.nonce)
	if err != nil {
		l.versionKnown = false // the next call reads before it writes
		return errors.Wrap(err, "write lease")
	}
	l.observe(version, false)
	l.startTerm(version)
	return nil
}

// put writes a nonce to the lease's object if it still has the version seen.
func (l *Lease) put(ctx context.Context, nonce string) (swobject.Version, error) {
	value, err := json.Marshal(wireLease{Nonce: nonce})
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	return l.store.Put(ctx, l.config.Key, value, l.seen)
}

// Release releases the lease if it is held, so that a successor need not wait. Call
// it only after Run has returned and when no order sent under the lease is still in
// transit.
func (l *Lease) Release(ctx context.Context) error {
	if _, held := l.Held(); !held {
		return nil
	}
	l.mu.Lock()
	l.tenure = Tenure{}
	l.mu.Unlock()
	_, err := l.put(ctx, "")
	return errors.Wrap(err, "release lease")
}
