// Package swlease holds a lease in the platform's object store. The version of
// the lease's object is the fencing number of what is done under the lease.
//
// No clock is compared with another. The holder counts its term from before it
// sent a renewal; a successor counts the term, the bound on the difference of
// clock rates and the delivery time of orders from after it first read the same version.
// So the holder's term ends first.
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
	// rateBound is 1 over the greatest difference of the rates of two hosts' clocks.
	rateBound = 100
	// renewals is how many renewals are tried in a term.
	renewals = 3
)

// Fencing numbers the terms of all holders of a lease; a later one is larger.
type Fencing uint64

// Grant is a lease that is held.
type Grant struct {
	Fencing Fencing
	// Until is when the term ends, on the holder's clock.
	Until swclock.Millis
}

// Config configures a Lease.
type Config struct {
	// Key is that of the lease's object.
	Key string
	// Term is how long a renewal holds.
	Term swclock.Millis
	// Delivery bounds the time between the last check of the lease and the
	// arrival of what was sent under it. A successor waits for it in addition.
	Delivery swclock.Millis
}

// Lease is one process's part in a lease. It is safe for concurrent use.
type Lease struct {
	config Config
	store  swobject.Store
	clock  swclock.Clock

	mu    sync.Mutex
	grant Grant // void once its Until has passed

	// The fields below belong to the goroutine that calls Step.

	// seen is the version last read or written, and seenAt is when it was first seen.
	seen   swobject.Version
	seenAt swclock.Millis
	read   bool // seen is set
	free   bool // the object's holder gave the lease back
	// nonce marks the write that was tried last, sentAt is when it was sent.
	nonce  string
	sentAt swclock.Millis
}

// New returns a lease that is not held.
func New(c Config, store swobject.Store, clock swclock.Clock) *Lease {
	return &Lease{config: c, store: store, clock: clock}
}

// wireLease is the value of a lease's object.
type wireLease struct {
	// Nonce marks one write; it is empty when the holder gave the lease back.
	Nonce string `json:"nonce"`
}

// Held returns the grant if its term has not ended.
func (l *Lease) Held() (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant, l.clock.Now() < l.grant.Until
}

// Run takes and renews the lease until ctx ends. Release gives it back then.
func (l *Lease) Run(ctx context.Context) {
	ticker := time.NewTicker((l.config.Term / renewals).Duration())
	defer ticker.Stop()
	for {
		// A failed step leaves the grant as it is; it ends with its term.
		_ = l.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Step renews the lease if it is held, and otherwise takes it if that is allowed.
func (l *Lease) Step(ctx context.Context) error {
	if _, held := l.Held(); held && l.read {
		return l.write(ctx)
	}
	if err := l.look(ctx); err != nil {
		return err
	}
	if _, held := l.Held(); held || !l.free && l.clock.Now()-l.seenAt < l.TakeOver() {
		return nil
	}
	return l.write(ctx)
}

// TakeOver is how long a version must stay unchanged until its holder's term has ended.
func (l *Lease) TakeOver() swclock.Millis {
	span := l.config.Term + l.config.Delivery
	return span + span/rateBound + 1
}

// look reads the object, and settles a write whose answer was lost.
func (l *Lease) look(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.config.Key)
	if errors.Is(err, swobject.ErrNotFound) {
		l.see(0, true)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	var w wireLease
	if err := json.Unmarshal(o.Value, &w); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	l.see(o.Version, w.Nonce == "")
	if w.Nonce != "" && w.Nonce == l.nonce {
		l.hold(o.Version)
	}
	return nil
}

func (l *Lease) see(v swobject.Version, free bool) {
	l.free = free
	if !l.read || l.seen != v {
		l.read, l.seen, l.seenAt = true, v, l.clock.Now()
	}
}

// hold starts a term that counts from before the write was sent.
func (l *Lease) hold(v swobject.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant = Grant{Fencing: Fencing(v), Until: l.sentAt + l.config.Term}
}

func (l *Lease) write(ctx context.Context) error {
	l.nonce, l.sentAt = uuid.NewString(), l.clock.Now()
	version, err := l.put(ctx, l.nonce)
	if err != nil {
		l.read = false // the next step reads before it writes
		return errors.Wrap(err, "write lease")
	}
	l.see(version, false)
	l.hold(version)
	return nil
}

func (l *Lease) put(ctx context.Context, nonce string) (swobject.Version, error) {
	value, err := json.Marshal(wireLease{Nonce: nonce})
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	return l.store.Put(ctx, l.config.Key, value, l.seen)
}

// Release gives the lease back, so that a successor need not wait. It is called
// once Run has returned and nothing sent under the lease is on its way.
func (l *Lease) Release(ctx context.Context) error {
	if _, held := l.Held(); !held {
		return nil
	}
	l.mu.Lock()
	l.grant = Grant{}
	l.mu.Unlock()
	_, err := l.put(ctx, "")
	return errors.Wrap(err, "release lease")
}
