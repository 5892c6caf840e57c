package swfleet

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcarry"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Reasons for which this host does not carry a request.
var (
	errNotListed   = errors.New("the target is not listed, or leaving")
	errUnreachable = errors.New("the target cannot be reached from the carrier")
)

// carriedAdapter returns the adapter that has requests sent to a target by another host.
func (h *Host) carriedAdapter(carrier swid.HostID, cell swid.CellID, target swid.TargetID) swtarget.Adapter {
	h.pathProber.noteCarrier(carrier)
	return &swcarry.Adapter{Opener: h.network, Carrier: carrier, Target: target, Cell: cell}
}

// freshTime is how long a sign from a target answers the question of another host whether this one reaches it. The other one has
// heard nothing for longer.
const freshTime = 200 * swclock.Millis(1)

// probeForPeer looks for another host whether this one reaches a target.
func (h *Host) probeForPeer(ctx context.Context, target swid.TargetID) error {
	if since, heard := h.paths.SinceHeard(target); heard && since <= freshTime {
		return nil
	}
	adapter, known := h.pathProber.adapter(target)
	if !known {
		return errNotListed
	}
	return adapter.probe(ctx)
}

// carryingAdapter returns the adapter that sends a request of another host to its target. It looks first whether the
// target can be reached, unless it was heard from a moment ago.
func (h *Host) carryingAdapter(ctx context.Context, r *swcarry.Request) (swtarget.Adapter, error) {
	target, listed := h.pool.Target(r.Target)
	adapter, known := target.Adapter.(*pathAdapter)
	if !listed || !known || !target.Accepting {
		return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errNotListed}
	}
	if statement, closed := h.closed.Statement(r.Target, h.clock.Now()); closed {
		return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Statement: statement, Err: errNotListed}
	}
	if !h.paths.Proven(r.Target) {
		if err := adapter.probe(ctx); err != nil {
			return nil, &swtarget.Error{Failure: swtarget.FailureNotStarted, Unsent: true, Err: errors.Wrap(errUnreachable, err.Error())}
		}
	}
	return adapter, nil
}

// recordCarriedStatement records what the answer to a request of another host says of the requests that its target
// takes from this one.
func (h *Host) recordCarriedStatement(r *swcarry.Request, s swlimit.Statement, sent swclock.Millis) {
	if s.Leaving || s.Pause > 0 {
		h.recordClosed(r.ID, r.Cell, r.Target, s)
	}
	h.observeStatement(r.Target, s, sent)
}

// updateCarrier records that a host is present, whether it leaves, and of which services it reaches no target.
func (h *Host) updateCarrier(host swid.HostID, cut []swid.ServiceID) {
	h.carriers.Update(host, swreach.Report{
		Zone: h.view.zoneOf(host), Carries: host == h.self.Host || h.network.AcceptsStreams(host), Cut: cut,
		Leaving: h.router.Leaving(host) || host == h.self.Host && h.leaving.Load(),
	}, h.clock.Now())
}
