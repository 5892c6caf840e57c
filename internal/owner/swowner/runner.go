package swowner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

const (
	// inputCapacity is the maximum number of queued inputs of one cell. An input that arrives
	// when the ring is full is dropped; a holder repeats a dropped grant request.
	inputCapacity = 8192
	// recoveryWindow is how long a new owner collects the holders' reports of work in flight before
	// it grants, so that it does not overload targets that already run work.
	recoveryWindow swclock.Millis = 100
	// idleReleaseDelay is how long a cell must have had no work before this host releases the cell
	// to another owner.
	idleReleaseDelay = 30 * swclock.Second
	// busy is the value of runner.idleSince while the cell has work.
	busy swclock.Millis = -1
)

// openGrant is a grant that has not ended.
type openGrant struct {
	holder  swid.HostID
	message swmsg.Grant
}

// runner drives one cell. Fields other than config, id, inputs and documents are accessed only by
// the goroutine that calls run.
type runner struct {
	config    *Config
	id        swid.CellID
	inputs    *swring.Ring[queuedInput]
	documents *swring.Ring[*swdoc.Document]

	core    Core
	epoch   swid.Epoch
	actions []swcell.Action
	// lastStatusAt is when the cell's state was last logged.
	lastStatusAt swclock.Millis
	// load sums up the inputs since lastStatusAt, and effort is that of the core at that time.
	load   inputLoad
	effort swcell.Effort
	// nextTickAt is when the core next receives a Tick.
	nextTickAt swclock.Millis
	// grants holds each grant from its action until its Done or Withdraw, so that a repeated grant
	// request is answered with the same grant.
	grants map[swcell.Key]openGrant
	// recoveredAt is when the recovery window ends. Grant requests that arrive earlier wait in
	// deferred.
	recoveredAt swclock.Millis
	deferred    []swcell.Event
	// verifications holds the verification in progress of each holder whose messages may have been
	// lost.
	verifications map[swid.HostID]*verification
	// idleSince is when the cell's last work ended, or busy.
	idleSince swclock.Millis
	// stopWatching stops watching the current targets.
	stopWatching context.CancelFunc
}

func newRunner(config *Config, id swid.CellID) *runner {
	r := &runner{
		config:        config,
		id:            id,
		inputs:        swring.New[queuedInput](inputCapacity),
		documents:     swring.New[*swdoc.Document](1),
		grants:        make(map[swcell.Key]openGrant),
		verifications: make(map[swid.HostID]*verification),
		stopWatching:  func() {},
	}
	r.core = config.NewCore(id, func(v swcell.Violation) {
		config.Observer.InvariantViolated(id, v.Invariant)
		config.Log.Error().Str("cell", string(id)).Str("invariant", v.Invariant).Uint64("seq", uint64(v.Key.Seq)).Msg("invariant violated")
	})
	return r
}

// enqueue queues an input without blocking, and drops it if the ring is full.
func (r *runner) enqueue(in input) {
	if !r.inputs.TryPut(queuedInput{in, r.config.Clock.Now()}) {
		r.config.Observer.InputDropped(r.id)
	}
}

// configure queues a document. It replaces an older one that the runner has not applied yet.
func (r *runner) configure(d *swdoc.Document) {
	for !r.documents.TryPut(d) {
		select {
		case <-r.documents.Items():
		default:
		}
	}
}

// run drives the cell until ctx ends, or until the cell is releasable and retire has removed it.
func (r *runner) run(ctx context.Context, retire func() bool) {
	r.apply(ctx, <-r.documents.Items()) // Owner.createRunner queued the document before any input
	r.takeOver()
	defer func() { r.stopWatching() }()
	timer := time.NewTimer(r.tickInterval().Duration())
	defer timer.Stop()
	r.nextTickAt = r.config.Clock.Now() + r.tickInterval()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-r.documents.Items():
			r.apply(ctx, d)
		case in := <-r.inputs.Items():
			began := r.config.Clock.Now()
			r.load.addInput(began - in.queuedAt)
			in.apply(r)
			r.load.addStep(r.config.Clock.Now() - began)
			if interval := r.tickInterval(); r.config.Clock.Now()+interval < r.nextTickAt {
				timer.Reset(interval.Duration())
				r.nextTickAt = r.config.Clock.Now() + interval
			}
		case <-timer.C:
			began := r.config.Clock.Now()
			r.tick()
			r.load.addStep(r.config.Clock.Now() - began)
			if r.releasable() && retire() {
				r.config.Log.Info().Str("cell", string(r.id)).Msg("cell released")
				return
			}
			timer.Reset(r.tickInterval().Duration())
			r.nextTickAt = r.config.Clock.Now() + r.tickInterval()
		}
	}
}

// takeOver assigns a new epoch to the cell. Unless the cell is local, it requests the open work (the
// waiting and the dispatched requests) of every member with a link, and starts the recovery window
// if there are other such members. A member without a link does not use this host as the owner
// yet; requestOpenWork asks it once it connects.
func (r *runner) takeOver() {
	r.epoch = r.config.Router.NextEpoch(r.id)
	r.recoveredAt = r.config.Clock.Now()
	if r.config.Local(r.id) {
		return
	}
	others := 0
	for _, m := range r.config.Members.Members() {
		if m.State == swmsg.MemberDead || !r.config.Sender.Connected(m.Host) {
			continue
		}
		if m.Host != r.config.Host {
			others++
		}
		r.config.Sender.Send(m.Host, swmsg.Recover{Cell: r.id, Epoch: r.epoch})
	}
	if others > 0 {
		r.recoveredAt += recoveryWindow
	}
	r.config.Log.Info().Str("cell", string(r.id)).Uint64("epoch", uint64(r.epoch)).Int("holders", others+1).Msg("cell taken over")
}

// apply applies a document: it configures the core and watches the targets that the document lists
// for the cell.
func (r *runner) apply(ctx context.Context, d *swdoc.Document) {
	targets := cellTargets(d, r.id)
	r.stopWatching()
	var watched context.Context
	watched, r.stopWatching = context.WithCancel(ctx)
	r.config.Watcher.Watch(watched, r.id, targets, func(e swcell.Event) { r.enqueue(eventInput{e}) })
	r.step(convertDocument(d, targets))
}

// dropGrants drops the grants of a holder's process that died, and those of the holder's earlier
// processes.
func (r *runner) dropGrants(died swcell.HolderDied) {
	for key := range r.grants {
		if key.Holder == died.Holder && key.Incarnation <= died.Incarnation {
			delete(r.grants, key)
		}
	}
}

// handleGrantRequest answers a repeated grant request with the existing grant, if there is one. It
// passes any other grant request to the core, or defers that request during the recovery window.
func (r *runner) handleGrantRequest(from swlink.Peer, m swmsg.GrantRequest) {
	key := requestKey(from, m.Seq)
	if g, found := r.grants[key]; found && g.message.Attempt == m.Attempt {
		r.confirmGrant(key)
		r.sendGrant(g)
		return
	}
	r.idleSince = busy
	e := convertGrantRequest(key, m, r.config.Clock.Now())
	if r.recoveredAt > r.config.Clock.Now() {
		r.deferred = append(removeGrantRequest(r.deferred, key, m.Attempt), e)
	} else {
		r.step(e)
	}
	if r.config.Acknowledge && !r.decided(key) {
		r.config.Sender.Send(from.Host, swmsg.Queued{Cell: r.id, Seq: m.Seq, Attempt: m.Attempt})
	}
}

// decided reports whether the last step granted or rejected a request.
func (r *runner) decided(key swcell.Key) bool {
	return slices.ContainsFunc(r.actions, func(a swcell.Action) bool {
		switch a := a.(type) {
		case swcell.Grant:
			return a.Key == key
		case swcell.Reject:
			return a.Key == key
		default:
			return false
		}
	})
}

// handleInFlight records a dispatched request that its holder reports, usually after a takeover or
// a lost link.
func (r *runner) handleInFlight(from swlink.Peer, m swmsg.InFlight) {
	key := requestKey(from, m.GrantRequest.Seq)
	r.confirmGrant(key)
	r.idleSince = busy
	r.grants[key] = openGrant{holder: from.Host, message: swmsg.Grant{
		Cell: r.id, Seq: m.GrantRequest.Seq, Attempt: m.GrantRequest.Attempt, Target: m.Target, Epoch: r.epoch, Carrier: m.Carrier,
	}}
	r.step(swcell.InFlight{
		GrantRequest: convertGrantRequest(key, m.GrantRequest, r.config.Clock.Now()),
		Target:       m.Target,
		Elapsed:      m.Elapsed,
		Produced:     m.Produced,
		Carrier:      m.Carrier,
	})
}

// removeGrant removes a request's grant, unless that grant is for another attempt.
func (r *runner) removeGrant(key swcell.Key, attempt swid.Attempt) {
	if g, found := r.grants[key]; found && g.message.Attempt == attempt {
		delete(r.grants, key)
	}
}

// cancelAttempt cancels the grant request or the grant of an attempt.
func (r *runner) cancelAttempt(key swcell.Key, attempt swid.Attempt) {
	r.removeGrant(key, attempt)
	r.deferred = removeGrantRequest(r.deferred, key, attempt)
	r.step(swcell.Withdraw{Key: key, Attempt: attempt})
}

// removeGrantRequest removes the grant request of an attempt from events, in place.
func removeGrantRequest(events []swcell.Event, key swcell.Key, attempt swid.Attempt) []swcell.Event {
	kept := events[:0]
	for _, e := range events {
		if a, ok := e.(swcell.GrantRequest); ok && a.Key == key && a.Attempt == attempt {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

func (r *runner) tick() {
	now := r.config.Clock.Now()
	if len(r.deferred) > 0 && r.recoveredAt <= now {
		deferred := r.deferred
		r.deferred = nil
		for _, e := range deferred {
			r.step(e)
		}
	}
	r.cancelUnconfirmed(now)
	r.step(swcell.Tick{})
	r.logStatus(now)
	switch idle := len(r.deferred) == 0 && r.core.Idle(); {
	case !idle:
		r.idleSince = busy
	case r.idleSince == busy:
		r.idleSince = now
	}
}

// tickInterval returns the time until the next tick. While grant requests are deferred, it returns
// the interval of a cell with work: the core has not received those requests, and may return the
// longer interval of an idle cell.
func (r *runner) tickInterval() swclock.Millis {
	if len(r.deferred) > 0 {
		return swcell.TickInterval
	}
	return r.core.TickInterval()
}

// statusInterval is the minimum time between two status log lines of a cell.
const statusInterval = 2 * swclock.Second

// logStatus logs the state of a shared cell that has work, so that its decisions can be traced.
func (r *runner) logStatus(now swclock.Millis) {
	if now < r.lastStatusAt+statusInterval || r.core.Idle() || r.config.Local(r.id) {
		return
	}
	r.lastStatusAt = now
	load := r.load
	r.load = inputLoad{}
	s := r.core.Snapshot()
	effort := s.Effort.Since(r.effort)
	r.effort = s.Effort
	waiting, running := zerolog.Arr(), zerolog.Arr()
	for _, t := range s.Tiers {
		waiting.Int(t.Waiting)
		running.Int(t.Running)
	}
	targets := zerolog.Dict()
	for _, t := range s.Targets {
		targets.Str(string(t.ID), fmt.Sprintf("%d/%d prefill %.4f decode %.2f", t.Running, t.Slots, t.PrefillTime, t.DecodeTime))
	}
	e := r.config.Log.Info().Str("cell", string(r.id)).Uint64("epoch", uint64(r.epoch))
	if s.AboveShare.Count > 0 {
		e = e.Int("organisationsAboveShare", s.AboveShare.Count).Str("lowestOrganisation", string(s.AboveShare.Lowest)).
			Uint8("lowestTier", uint8(s.AboveShare.Tier)).Float64("lowestFactor", s.AboveShare.Factor)
	}
	e.Int("inputs", load.count).Int64("longestInputMillis", int64(load.longestWait)).
		Int64("busyMillis", int64(load.busy)).Int64("longestStepMillis", int64(load.longestStep)).
		Uint64("ranks", effort.Ranks).Uint64("comparisons", effort.Comparisons).Uint64("visits", effort.Visits).
		Array("waiting", waiting).Array("running", running).Dict("targets", targets).Msg("cell status")
}

// releasable reports whether the cell has had no work for idleReleaseDelay and another host should
// own it.
func (r *runner) releasable() bool {
	if r.idleSince == busy || r.config.Clock.Now()-r.idleSince < idleReleaseDelay {
		return false
	}
	owner, _ := r.config.Router.Owner(r.id)
	return owner != r.config.Host
}

// step passes an event to the core and sends the resulting decisions to the holders.
func (r *runner) step(e swcell.Event) {
	r.actions = r.core.Step(r.config.Clock.Now(), e, r.actions[:0])
	for _, a := range r.actions {
		r.config.Observer.ActionTaken(r.id, a)
		r.send(a)
	}
}

func (r *runner) send(a swcell.Action) {
	switch a := a.(type) {
	case swcell.Grant:
		g := openGrant{holder: a.Key.Holder, message: swmsg.Grant{
			Cell: r.id, Seq: a.Key.Seq, Attempt: a.Attempt, Target: a.Target, Epoch: r.epoch,
			FirstToken: a.FirstToken, Total: a.Total, Origin: a.Origin, Carrier: a.Carrier,
		}}
		r.grants[a.Key] = g
		r.sendGrant(g)
	case swcell.Reject:
		r.config.Sender.Send(a.Key.Holder, swmsg.Reject{
			Cell: r.id, Seq: a.Key.Seq, Attempt: a.Attempt, Reason: a.Reason, RetryAfter: a.RetryAfter, Epoch: r.epoch,
		})
	case swcell.Preempt:
		r.config.Sender.Send(a.Key.Holder, swmsg.Preempt{
			Cell: r.id, Seq: a.Key.Seq, Attempt: a.Attempt, Target: a.Target, RetryAfter: a.RetryAfter, Epoch: r.epoch,
		})
	}
}

// sendGrant sends a grant. If the message cannot be queued for sending, the grant is sent when the
// holder repeats its grant request, and cancelled if the holder does not repeat the request in time.
func (r *runner) sendGrant(g openGrant) {
	if !r.config.Sender.Send(g.holder, g.message) {
		r.verifyGrants(g.holder)
	}
}

func (r *runner) status(ctx context.Context) (CellStatus, bool) {
	reply := make(chan CellStatus, 1)
	if err := r.inputs.Put(ctx, queuedInput{statusInput{reply}, r.config.Clock.Now()}); err != nil {
		return CellStatus{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-ctx.Done():
		return CellStatus{}, false
	}
}
