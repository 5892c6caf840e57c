package swowner

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// defaultDoubtTime is how long a holder has, after its link was lost, to report the
// work that it still runs. What it does not report has ended: its Done was lost.
const defaultDoubtTime = 5 * swclock.Second

// doubt is the check of one holder's grants after its link was lost.
type doubt struct {
	until swclock.Millis
	// unconfirmed has the grants that the holder has not reported since.
	unconfirmed map[swcell.Key]swid.Attempt
}

// doubtHolder asks a holder to report its open work again.
func (r *runner) doubtHolder(holder swid.HostID) {
	d := &doubt{until: r.config.Clock.Now() + r.config.DoubtTime, unconfirmed: make(map[swcell.Key]swid.Attempt)}
	for key, g := range r.grants {
		if key.Holder == holder {
			d.unconfirmed[key] = g.message.Attempt
		}
	}
	if len(d.unconfirmed) == 0 {
		return
	}
	r.doubts[holder] = d
	r.config.Sender.Send(holder, swmsg.Recover{Cell: r.id, Epoch: r.epoch})
}

// recoverFrom asks a holder with a new link for its open work: the question
// that was asked at the takeover, or after a lost link, may not have reached it.
func (r *runner) recoverFrom(holder swid.HostID) {
	if r.config.Local(r.id) {
		return
	}
	if owner, _ := r.config.Router.Owner(r.id); owner == r.config.Host {
		r.config.Sender.Send(holder, swmsg.Recover{Cell: r.id, Epoch: r.epoch})
	}
}

// confirm notes that a holder reported a grant.
func (r *runner) confirm(key swcell.Key) {
	if d, doubted := r.doubts[key.Holder]; doubted {
		delete(d.unconfirmed, key)
	}
}

// settleDoubts ends the grants that were not reported in time.
func (r *runner) settleDoubts(now swclock.Millis) {
	for holder, d := range r.doubts {
		if now < d.until {
			continue
		}
		delete(r.doubts, holder)
		for key, attempt := range d.unconfirmed {
			r.withdraw(key, attempt)
		}
	}
}
