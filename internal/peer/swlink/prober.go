package swlink

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// prober schedules the round-trip probes of a link and detects that the peer has
// stopped answering them.
//
// Data is confirmed once a probe that was sent with it or after it is answered.
// A link without unconfirmed data sends no probes.
type prober struct {
	interval swclock.Millis
	timeout  swclock.Millis
	// number is that of the last probe; the first probe is 1, and 0 means that none was sent.
	number uint64
	sentAt swclock.Millis
	// outstanding is set while the last probe is unanswered.
	outstanding bool
	// unconfirmed is set if data was sent after the last probe.
	unconfirmed bool
	// requested is set if a probe has to be sent even without unconfirmed data.
	requested bool
	// replyTo is the number of the peer's latest probe to answer, or 0. The oldest
	// unanswered probe of the peer arrived at replySince.
	replyTo    uint64
	replySince swclock.Millis
}

// probeWithData records that data is being sent and returns the number of the probe to send with it, or 0.
func (p *prober) probeWithData(now swclock.Millis) uint64 {
	if p.outstanding || p.number > 0 && now-p.sentAt < p.interval {
		p.unconfirmed = true
		return 0
	}
	return p.startProbe(now)
}

// startProbe records that a probe is being sent and returns its number.
func (p *prober) startProbe(now swclock.Millis) uint64 {
	p.number++
	p.sentAt = now
	p.outstanding = true
	p.unconfirmed = false
	p.requested = false
	return p.number
}

// probeDue reports whether a probe must be sent without data to confirm what was sent before.
func (p *prober) probeDue(now swclock.Millis) bool {
	return !p.outstanding && (p.requested || p.unconfirmed && now-p.sentAt >= p.interval)
}

// replyReceived records the reply to a probe. A reply to any probe but the last one is ignored.
func (p *prober) replyReceived(number uint64) {
	if number == p.number {
		p.outstanding = false
	}
}

// probeReceived records a probe of the peer that must be answered.
func (p *prober) probeReceived(number uint64, now swclock.Millis) {
	if p.replyTo == 0 {
		p.replySince = now
	}
	p.replyTo = number
}

// takeReply returns the number of the probe to answer in the frame that is being sent, or 0, and clears it.
func (p *prober) takeReply() uint64 {
	number := p.replyTo
	p.replyTo = 0
	return number
}

// replyDue reports whether a reply has waited for delay, so that it must be sent without data.
func (p *prober) replyDue(now, delay swclock.Millis) bool {
	return p.replyTo != 0 && now-p.replySince >= delay
}

// maxUnanswered is the number of timeouts after which a peer that sends data, but answers no
// probe, counts as not answering: it may not receive what this host sends.
const maxUnanswered = 5

// timedOut reports whether the last probe is unanswered and nothing was received from the
// peer for longer than the timeout. A peer that is busy answers late, but sends something.
func (p *prober) timedOut(now, heardAt swclock.Millis) bool {
	return p.outstanding && (now-max(p.sentAt, heardAt) > p.timeout || now-p.sentAt > maxUnanswered*p.timeout)
}

// restartTimeout restarts the wait for a reply after this process itself was suspended.
func (p *prober) restartTimeout(now swclock.Millis) { p.sentAt = now }
