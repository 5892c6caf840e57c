package swowner

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// defaultVerificationTimeout is how long a holder has to report the grants that it uses after
// messages between this host and the holder may have been lost. If the holder does not report a
// grant, either the attempt ended and its Done message was lost, or the Grant message did not reach
// the holder.
const defaultVerificationTimeout = 5 * swclock.Second

// verification tracks which grants of one holder are still in use after messages between this host
// and the holder may have been lost.
type verification struct {
	expiresAt swclock.Millis
	// unconfirmed holds the attempts whose grants the holder has not reported since the
	// verification began.
	unconfirmed map[swcell.Key]swid.Attempt
}

// verifyGrants requests a holder's open work, that is, its waiting and its dispatched requests. It
// also starts the timeout after which the grants that the holder has not reported are cancelled. It
// does nothing if the holder has no grant.
func (r *runner) verifyGrants(holder swid.HostID) {
	v := &verification{expiresAt: r.config.Clock.Now() + r.config.VerificationTimeout, unconfirmed: make(map[swcell.Key]swid.Attempt)}
	for key, g := range r.grants {
		if key.Holder == holder {
			v.unconfirmed[key] = g.message.Attempt
		}
	}
	if len(v.unconfirmed) == 0 {
		return
	}
	r.verifications[holder] = v
	r.config.Sender.Send(holder, swmsg.Recover{Cell: r.id, Epoch: r.epoch})
}

// requestOpenWork requests the open work of a holder with a new link, because the Recover message
// that was sent at the takeover or after a lost link may not have reached that holder. It does
// nothing for a local cell, or if another host should own the cell.
func (r *runner) requestOpenWork(holder swid.HostID) {
	if r.config.Local(r.id) {
		return
	}
	if owner, _ := r.config.Router.Owner(r.id); owner == r.config.Host {
		r.config.Sender.Send(holder, swmsg.Recover{Cell: r.id, Epoch: r.epoch})
	}
}

// confirmGrant records that the holder of a request reported the request's grant or repeated the
// grant request.
func (r *runner) confirmGrant(key swcell.Key) {
	if v, pending := r.verifications[key.Holder]; pending {
		delete(v.unconfirmed, key)
	}
}

// cancelUnconfirmed cancels the grants that their holder did not report in time.
func (r *runner) cancelUnconfirmed(now swclock.Millis) {
	for holder, v := range r.verifications {
		if now < v.expiresAt {
			continue
		}
		delete(r.verifications, holder)
		for key, attempt := range v.unconfirmed {
			r.cancelAttempt(key, attempt)
		}
	}
}
