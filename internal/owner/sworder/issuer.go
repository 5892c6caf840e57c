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
	// maxLeaseFailures is the number of consecutive failed calls of AcquireOrRenew after which an order fails.
	maxLeaseFailures = 3
	// platformRetryAfter is the time after which an operator should retry an order if the platform
	// failed.
	platformRetryAfter = 10 * swclock.Second
	// releaseTimeout bounds the call that releases the lease.
	releaseTimeout = 5 * swclock.Second
	// renewalsPerTerm is the number of renewals that are tried in each term of the lease.
	renewalsPerTerm = 3
)

// Causes of a LeaseError.
var (
	// ErrLeaseElsewhere means that another host, or another order of this host, holds the lease.
	ErrLeaseElsewhere = errors.New("another order is being given in this region")
	// ErrPlatformUnavailable means that the platform, which stores the lease, does not answer.
	ErrPlatformUnavailable = errors.New("the platform does not answer, and orders need its lease")
)

// LeaseError means that the lease was not acquired. Nothing was sent.
type LeaseError struct {
	// Cause is ErrLeaseElsewhere or ErrPlatformUnavailable.
	Cause error
	// RetryAfter is the time after which to retry the order.
	RetryAfter swclock.Millis
}

// Error implements error.
func (e *LeaseError) Error() string {
	return e.Cause.Error() + "; give the order again in " + e.RetryAfter.Duration().String()
}

// Unwrap returns the cause.
func (e *LeaseError) Unwrap() error { return e.Cause }

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	Lease swlease.Config
	// AnswerTimeout bounds the time until an engine has carried out an order, as in Config.
	AnswerTimeout swclock.Millis
	// LoadInterval is the minimum time between two load orders in a region. It is at most half the
	// lease's term.
	LoadInterval swclock.Millis
	// PollInterval is the interval at which a lease that another process holds is read again.
	PollInterval swclock.Millis
}

// Issuer sends one order at a time: it acquires the lease, sends the order and releases the lease. It
// is safe for concurrent use.
type Issuer struct {
	config IssuerConfig
	lease  *swlease.Lease
	sender *Sender
	clock  swclock.Clock
	// semaphore holds an element while an order is in progress. Only the goroutine that acquired it,
	// or Run after it received the cleanup, uses the lease.
	semaphore chan struct{}
	// cleanups passes the cleanup after an order, and with it the semaphore, to Run.
	cleanups chan cleanup
}

// cleanup describes how to release the lease after an order.
type cleanup struct {
	// holdFor is how long the lease is held after a load order, so that no other host sends one
	// within LoadInterval.
	holdFor swclock.Millis
	// release reports whether the lease may be released, because no order that was sent under it is
	// still in transit.
	release bool
}

// NewIssuer returns an Issuer. Without a call of Run, it does not release the lease after its first order,
// and fails every later order.
func NewIssuer(c IssuerConfig, store swobject.Store, clock swclock.Clock) *Issuer {
	lease := swlease.New(c.Lease, store, clock)
	loads := float64(swclock.Second) / float64(c.LoadInterval)
	return &Issuer{
		config:    c,
		lease:     lease,
		sender:    New(Config{DeliveryTimeout: c.Lease.DeliveryTimeout, AnswerTimeout: c.AnswerTimeout, LoadsPerSecond: loads}, lease),
		clock:     clock,
		semaphore: make(chan struct{}, 1),
		cleanups:  make(chan cleanup, 1),
	}
}

// Run releases the lease after each order, until ctx ends.
func (i *Issuer) Run(ctx context.Context) {
	for {
		select {
		case c := <-i.cleanups:
			i.cleanUp(ctx, c)
			<-i.semaphore
		case <-ctx.Done():
			return
		}
	}
}

func (i *Issuer) cleanUp(ctx context.Context, c cleanup) {
	if !c.release || !wait(ctx, c.holdFor) {
		return // the lease expires at the end of its term
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	_ = i.lease.Release(ctx) // a lease that was not released expires at the end of its term
}

// wait sleeps for the given time, and reports false if ctx ended first.
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

// maxLeaseWait returns the maximum wait for the lease. The lease of a process that died has expired
// by then.
func (i *Issuer) maxLeaseWait() swclock.Millis {
	return i.lease.TakeoverWait() + 2*i.config.PollInterval
}

// Issue sends an order under the lease and waits until the engine has carried it out. It returns a
// *LeaseError or an error of Sender.Send.
func (i *Issuer) Issue(ctx context.Context, t Target, o Order) error {
	if err := i.acquireSemaphore(ctx); err != nil {
		return err
	}
	if err := i.acquireLease(ctx); err != nil {
		i.cleanups <- cleanup{}
		return err
	}
	err := i.send(ctx, t, o)
	c := cleanup{release: outcomeKnown(err)}
	if err == nil && o.Kind != KindSetRole {
		c.holdFor = i.config.LoadInterval
	}
	i.cleanups <- c
	return err
}

// outcomeKnown reports whether the result of Send shows that the order was carried out or never will
// be, so that nothing of it is still in transit.
func outcomeKnown(err error) bool {
	for _, e := range []error{ErrNoLease, ErrNoToken, ErrNotSent, ErrFenced, ErrForbidden} {
		if errors.Is(err, e) {
			return true
		}
	}
	return err == nil
}

// acquireSemaphore waits until no other order of this process is in progress.
func (i *Issuer) acquireSemaphore(ctx context.Context) error {
	timer := time.NewTimer(i.maxLeaseWait().Duration())
	defer timer.Stop()
	select {
	case i.semaphore <- struct{}{}:
		return nil
	case <-timer.C:
		return &LeaseError{Cause: ErrLeaseElsewhere, RetryAfter: i.config.LoadInterval}
	case <-ctx.Done():
		return errors.WithMessage(ErrNotSent, ctx.Err().Error())
	}
}

// acquireLease acquires the lease. If another process holds it, acquireLease waits for the end of that
// process's term.
func (i *Issuer) acquireLease(ctx context.Context) error {
	var waitUntil swclock.Millis
	failures := 0
	for {
		lastTry := waitUntil != 0 && i.clock.Now() >= waitUntil
		err := i.lease.AcquireOrRenew(ctx)
		if _, held := i.lease.Held(); held {
			return nil
		}
		if err == nil || errors.Is(err, swobject.ErrConflict) {
			failures = 0
		} else {
			failures++
		}
		if waitUntil == 0 && err == nil { // the wait counts from the first successful call
			waitUntil = i.clock.Now() + i.maxLeaseWait()
		}
		switch {
		case failures >= maxLeaseFailures:
			return &LeaseError{Cause: ErrPlatformUnavailable, RetryAfter: platformRetryAfter}
		case lastTry:
			return &LeaseError{Cause: ErrLeaseElsewhere, RetryAfter: i.maxLeaseWait()}
		case !wait(ctx, i.config.PollInterval):
			return errors.WithMessage(ErrNotSent, ctx.Err().Error())
		}
	}
}

// send sends an order while another goroutine renews the lease.
func (i *Issuer) send(ctx context.Context, t Target, o Order) error {
	renewing, stop := context.WithCancel(ctx)
	var renewal conc.WaitGroup
	defer renewal.Wait()
	defer stop()
	renewal.Go(func() { i.renew(renewing) })
	return i.sender.Send(ctx, t, o)
}

// renew renews the lease until ctx ends. It does not cancel a renewal that has started, so that the
// version of the lease's object is known when the lease is released.
func (i *Issuer) renew(ctx context.Context) {
	for wait(ctx, i.config.Lease.Term/renewalsPerTerm) {
		_ = i.lease.AcquireOrRenew(context.WithoutCancel(ctx)) // a lease that was not renewed expires at the end of its term
	}
}
