package swfleet

import (
	"context"
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swrefusal"
)

// strikeReportTime is how long strikes are kept for the report to another owner.
const strikeReportTime = 10 * swclock.Second

// strikeLog holds the strikes that this host counted in cells that each host schedules for
// itself. The owner of the shared cells, which adds up those of all hosts, gets them with the
// registrations. It is safe for concurrent use.
type strikeLog struct {
	mu sync.Mutex
	// strikes has at most swcodec.MaxStrikes entries, the oldest first.
	strikes []loggedStrike
}

type loggedStrike struct {
	content  swid.Fingerprint
	crash    swsuspect.Crash
	reported bool
}

// add adds a strike, and drops the oldest one if there are too many.
func (l *strikeLog) add(content swid.Fingerprint, c swsuspect.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.strikes) == swcodec.MaxStrikes {
		l.strikes = slices.Delete(l.strikes, 0, 1)
	}
	l.strikes = append(l.strikes, loggedStrike{content: content, crash: c})
}

// report passes the strikes that were not reported yet to send, or all recent ones if complete is
// set. They count as reported if send returns true.
func (l *strikeLog) report(complete bool, now swclock.Millis, send func([]swmsg.Strike) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strikes = slices.DeleteFunc(l.strikes, func(s loggedStrike) bool { return now-s.crash.Ended > strikeReportTime })
	var messages []swmsg.Strike
	for _, s := range l.strikes {
		if complete || !s.reported {
			messages = append(messages, swmsg.Strike{
				Content: s.content, Target: s.crash.Target, StartedAge: now - s.crash.Started, EndedAge: now - s.crash.Ended,
			})
		}
	}
	if !send(messages) {
		return false
	}
	for i := range l.strikes {
		l.strikes[i].reported = true
	}
	return true
}

// strikesChanged logs a change of the strikes of content. A strike that other hosts may not have
// counted is reported to the owner of the shared cells at once.
func (h *Host) strikesChanged(cell swid.CellID, c swvalue.StrikeChange) {
	e := h.log.Info().Str("content", c.Content.String()).Str("cell", string(cell)).Str("target", string(c.Crash.Target))
	if c.Cleared > 0 {
		e.Int("strikes", c.Cleared).Msg("strikes cleared")
		return
	}
	e.Int("strikes", c.Strikes).Msg("strike counted")
	if h.view.scheduledByEachHost(cell) {
		h.strikeLog.add(c.Content, c.Crash)
		h.requestRegistration()
	}
}

// partChanged logs that the verdict on a part of prompts changed because of a run on a target.
func (h *Host) partChanged(cell swid.CellID, target swid.TargetID, c swsuspect.PartChange) {
	h.log.Info().Str("part", c.Part.String()).Str("cell", string(cell)).Str("target", string(target)).
		Str("before", c.Before.String()).Str("verdict", c.Verdict.String()).Int("crashes", c.Crashes).
		Msg("verdict on a part changed")
}

// receiveStrikes counts the strikes of a registration. Those of this host's own registration are counted already.
func (h *Host) receiveStrikes(from swlink.Peer, strikes []swmsg.Strike) {
	if from.Host == h.self.Host {
		return
	}
	now := h.clock.Now()
	for _, s := range strikes {
		counted := h.strikes.Strike(s.Content, swsuspect.Crash{
			Target: s.Target, Started: now - s.StartedAge, Ended: now - s.EndedAge,
		}, now)
		h.log.Info().Str("content", s.Content.String()).Str("target", string(s.Target)).Str("peer", string(from.Host)).
			Int64("ageMillis", int64(s.EndedAge)).Int("strikes", counted).Msg("strike reported")
	}
}

// isOwner reports whether hosts have their requests scheduled by this one.
func (h *Host) isOwner() bool {
	_, hosts := h.ledger.Share(h.clock.Now())
	return hosts > 0
}

// storeReachable reports whether the last call of the store was answered. Until the first call
// after the registration it is taken for reachable.
func (h *Host) storeReachable() bool {
	health := h.health.Load()
	return health == nil || !health.Unreachable()
}

// isOwnerless reports whether this host has no link to the owner of its shared cells.
func (h *Host) isOwnerless() bool {
	if h.router == nil {
		return false // not assembled yet
	}
	owner := h.router.currentOwner()
	return owner != h.self.Host && !h.exchange.Connected(owner)
}

// loadRefusals reads which contents and parts earlier processes refused. If there are contents, the
// owner of the shared cells schedules plain services from the start.
func (h *Host) loadRefusals(ctx context.Context) {
	h.refusalKeeper = swrefusal.New(swrefusal.Config{
		Objects: h.platform.Objects(), Register: h.strikes, Parts: h.parts, Clock: h.clock, Owner: h.isOwner, Ownerless: h.isOwnerless,
		Reachable: h.storeReachable, Log: h.log,
	})
	h.refusalKeeper.Step(ctx)
	if h.strikes.Active(h.clock.Now()) {
		h.view.setScheduling(swmsg.SchedulingShared)
	}
}
