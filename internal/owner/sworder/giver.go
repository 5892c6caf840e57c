package sworder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swlease"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// platformTries bounds the steps of the lease that fail in a row before an order is given up.
	platformTries = 3
	// platformRetry is when an operator should ask again after the platform failed.
	platformRetry = 10 * swclock.Second
	// releaseTimeout bounds the call that gives the lease back.
	releaseTimeout = 5 * swclock.Second
	// renewals is how many renewals are tried in a term.
	renewals = 3
)

// Causes of a LeaseError.
var (
	// ErrLeaseElsewhere means that another host, or another order of this one, has the lease.
	ErrLeaseElsewhere = errors.New("another order is being given in this region")
	// ErrPlatform means that the platform does not answer, without which there is no lease.
	ErrPlatform = errors.New("the platform does not answer, and orders need its lease")
)

// LeaseError means that the lease was not taken; nothing was sent.
type LeaseError struct {
	// Cause is ErrLeaseElsewhere or ErrPlatform.
	Cause error
	// RetryAfter is when to give the order again.
	RetryAfter swclock.Millis
}

// Error implements error.
func (e *LeaseError) Error() string {
	return e.Cause.Error() + "; give the order again in " + e.RetryAfter.Duration().String()
}

// Unwrap returns the cause.
func (e *LeaseError) Unwrap() error { return e.Cause }

// GiverConfig configures a Giver.
type GiverConfig struct {
	Lease swlease.Config
	// Answer is that of the sender: see Config.
	Answer swclock.Millis
	// LoadInterval is the least time between two orders to load in a region. It
	// is at most half the lease's term.
	LoadInterval swclock.Millis
	// Poll is the interval at which a lease that another process has is looked at.
	Poll swclock.Millis
}

// Giver gives one order at a time: it takes the lease, sends the order and
// gives the lease back. It is safe for concurrent use.
type Giver struct {
	config GiverConfig
	lease  *swlease.Lease
	sender *Sender
	clock  swclock.Clock
	// turn has an element while an order is given; its owner alone uses the lease.
	turn chan struct{}
	// given takes what remains to do after an order, together with the turn.
	given chan remainder
}

// remainder is what remains to do after an order.
type remainder struct {
	// keep is how long the lease is kept, so that no other host loads sooner.
	keep swclock.Millis
	// release tells that nothing sent under the lease is on its way.
	release bool
}

// NewGiver returns a giver of orders, which gives none before Run.
func NewGiver(c GiverConfig, store swobject.Store, clock swclock.Clock) *Giver {
	lease := swlease.New(c.Lease, store, clock)
	loads := float64(swclock.Second) / float64(c.LoadInterval)
	return &Giver{
		config: c,
		lease:  lease,
		sender: New(Config{Delivery: c.Lease.Delivery, Answer: c.Answer, LoadsPerSecond: loads}, lease),
		clock:  clock,
		turn:   make(chan struct{}, 1),
		given:  make(chan remainder, 1),
	}
}

// Run gives the lease back after each order, until ctx ends.
func (g *Giver) Run(ctx context.Context) {
	for {
		select {
		case r := <-g.given:
			g.finish(ctx, r)
			<-g.turn
		case <-ctx.Done():
			return
		}
	}
}

func (g *Giver) finish(ctx context.Context, r remainder) {
	if !r.release || !wait(ctx, r.keep) {
		return // the lease ends with its term
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	_ = g.lease.Release(ctx) // a lease that was not given back ends with its term
}

// wait waits for a span and reports whether ctx is still alive.
func wait(ctx context.Context, span swclock.Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// patience is the longest wait for the lease: a holder that died has lost it by then.
func (g *Giver) patience() swclock.Millis {
	return g.lease.TakeOver() + 2*g.config.Poll
}

// Give gives an order under the lease and waits until it was carried out. Its
// errors are a *LeaseError and those of Send.
func (g *Giver) Give(ctx context.Context, t Target, o Order) error {
	if err := g.takeTurn(ctx); err != nil {
		return err
	}
	if err := g.takeLease(ctx); err != nil {
		g.given <- remainder{}
		return err
	}
	err := g.send(ctx, t, o)
	r := remainder{release: settled(err)}
	if err == nil && o.Kind != KindSetRole {
		r.keep = g.config.LoadInterval
	}
	g.given <- r
	return err
}

// settled reports whether nothing of an order is on its way any more.
func settled(err error) bool {
	for _, e := range []error{ErrNoLease, ErrNoToken, ErrNotSent, ErrFenced, ErrForbidden} {
		if errors.Is(err, e) {
			return true
		}
	}
	return err == nil
}

func (g *Giver) takeTurn(ctx context.Context) error {
	timer := time.NewTimer(g.patience().Duration())
	defer timer.Stop()
	select {
	case g.turn <- struct{}{}:
		return nil
	case <-timer.C:
		return &LeaseError{Cause: ErrLeaseElsewhere, RetryAfter: g.config.LoadInterval}
	case <-ctx.Done():
		return errors.WithMessage(ErrNotSent, ctx.Err().Error())
	}
}

// takeLease takes the lease, and waits for the end of another process's term.
func (g *Giver) takeLease(ctx context.Context) error {
	var until swclock.Millis
	failed := 0
	for {
		last := until != 0 && g.clock.Now() >= until
		err := g.lease.Step(ctx)
		if _, held := g.lease.Held(); held {
			return nil
		}
		if err == nil || errors.Is(err, swobject.ErrConflict) {
			failed = 0
		} else {
			failed++
		}
		if until == 0 && err == nil { // the time of waiting counts from the first look
			until = g.clock.Now() + g.patience()
		}
		switch {
		case failed >= platformTries:
			return &LeaseError{Cause: ErrPlatform, RetryAfter: platformRetry}
		case last:
			return &LeaseError{Cause: ErrLeaseElsewhere, RetryAfter: g.patience()}
		case !wait(ctx, g.config.Poll):
			return errors.WithMessage(ErrNotSent, ctx.Err().Error())
		}
	}
}

// send sends an order while another goroutine renews the lease.
func (g *Giver) send(ctx context.Context, t Target, o Order) error {
	renewing, stop := context.WithCancel(ctx)
	var renewal conc.WaitGroup
	defer renewal.Wait()
	defer stop()
	renewal.Go(func() { g.renew(renewing) })
	return g.sender.Send(ctx, t, o)
}

// renew renews the lease until ctx ends. A renewal that was begun is not cut
// off, so that its version is known when the lease is given back.
func (g *Giver) renew(ctx context.Context) {
	for wait(ctx, g.config.Lease.Term/renewals) {
		_ = g.lease.Step(context.WithoutCancel(ctx)) // a lease that was not renewed ends with its term
	}
}
