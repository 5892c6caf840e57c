package swlink

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// prober decides when a link is probed and when it counts as silent.
//
// Data is confirmed once a probe that was sent with it or after it is answered.
// A link without unconfirmed data sends no probes.
type prober struct {
	heartbeat swclock.Millis
	timeout   swclock.Millis
	// number is the last probe's; it grows by one.
	number uint64
	sentAt swclock.Millis
	// outstanding tells that the last probe is not answered yet.
	outstanding bool
	// unconfirmed tells that data was sent after the last probe.
	unconfirmed bool
	// replyTo is the peer's probe to answer; 0 is none.
	replyTo    uint64
	replySince swclock.Millis
}

// sending notes that data is being sent and returns the probe to send with it, or 0.
func (p *prober) sending(now swclock.Millis) uint64 {
	if p.outstanding || p.number > 0 && now-p.sentAt < p.heartbeat {
		p.unconfirmed = true
		return 0
	}
	return p.probe(now)
}

// probe starts a probe.
func (p *prober) probe(now swclock.Millis) uint64 {
	p.number++
	p.sentAt = now
	p.outstanding = true
	p.unconfirmed = false
	return p.number
}

// due reports whether a probe must be sent although there is no data to send.
func (p *prober) due(now swclock.Millis) bool {
	return p.unconfirmed && !p.outstanding && now-p.sentAt >= p.heartbeat
}

// answered notes the answer to a probe.
func (p *prober) answered(number uint64) {
	if number == p.number {
		p.outstanding = false
	}
}

// asked notes a probe of the peer.
func (p *prober) asked(number uint64, now swclock.Millis) {
	if p.replyTo == 0 {
		p.replySince = now
	}
	p.replyTo = number
}

// takeReply returns the probe to answer in the batch that is being sent.
func (p *prober) takeReply() uint64 {
	number := p.replyTo
	p.replyTo = 0
	return number
}

// replyDue reports whether an answer waited long enough for a batch.
func (p *prober) replyDue(now, delay swclock.Millis) bool {
	return p.replyTo != 0 && now-p.replySince >= delay
}

// silent reports whether a probe stayed unanswered for too long.
func (p *prober) silent(now swclock.Millis) bool {
	return p.outstanding && now-p.sentAt > p.timeout
}

// excuse restarts the wait for an answer, after this process itself was stopped.
func (p *prober) excuse(now swclock.Millis) { p.sentAt = now }
