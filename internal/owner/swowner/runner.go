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
	// inputCapacity bounds the inputs that wait for one cell. A holder repeats an ask that found no room.
	inputCapacity = 8192
	// settleTime is how long a new owner collects the holders' reports before it
	// grants, so that it does not overfill targets that already run work.
	settleTime swclock.Millis = 100
	// surplusTime is how long a cell is kept that has no work and another owner.
	surplusTime = 30 * swclock.Second
	// busy is the idleSince of a cell that has work.
	busy swclock.Millis = -1
)

// granted is a grant that its holder has not ended.
type granted struct {
	holder  swid.HostID
	message swmsg.Grant
}

// runner drives one cell. All fields but inputs, changes and config belong to the goroutine of run.
type runner struct {
	config  *Config
	id      swid.CellID
	inputs  *swring.Ring[input]
	changes *swring.Ring[*swdoc.Document]

	cell    Core
	epoch   swid.Epoch
	actions []swcell.Action
	// statusAt is when the cell's state was last logged.
	statusAt swclock.Millis
	// tickAt is when the core is next given a Tick.
	tickAt swclock.Millis
	// grants has each grant from its action to its Done or Withdraw, so that a
	// repeated ask is answered with the same grant.
	grants map[swcell.Key]granted
	// settled is the instant from which the cell is fed; held keeps the asks until then.
	settled swclock.Millis
	held    []swcell.Event
	// doubts has the holders whose grants may have ended unnoticed.
	doubts map[swid.HostID]*doubt
	// idleSince is the instant since which the cell has had no work.
	idleSince swclock.Millis
	// stopWatch ends the watch of the present targets.
	stopWatch context.CancelFunc
}

func newRunner(config *Config, id swid.CellID) *runner {
	r := &runner{
		config:    config,
		id:        id,
		inputs:    swring.New[input](inputCapacity),
		changes:   swring.New[*swdoc.Document](1),
		grants:    make(map[swcell.Key]granted),
		doubts:    make(map[swid.HostID]*doubt),
		stopWatch: func() {},
	}
	r.cell = config.NewCore(id, func(v swcell.Violation) {
		config.Observer.Violated(id, v.Invariant)
		config.Log.Error().Str("cell", string(id)).Str("invariant", v.Invariant).Uint64("seq", uint64(v.Key.Seq)).Msg("invariant violated")
	})
	return r
}

// put hands over an input without blocking.
func (r *runner) put(in input) {
	if !r.inputs.TryPut(in) {
		r.config.Observer.InputDropped(r.id)
	}
}

// configure hands over a document; a newer one replaces one that was not taken yet.
func (r *runner) configure(d *swdoc.Document) {
	for !r.changes.TryPut(d) {
		select {
		case <-r.changes.Items():
		default:
		}
	}
}

// run drives the cell until ctx ends or retire agrees that it is not needed any more.
func (r *runner) run(ctx context.Context, retire func() bool) {
	r.apply(ctx, <-r.changes.Items()) // start put it there, before any ask
	r.takeOver()
	defer func() { r.stopWatch() }()
	timer := time.NewTimer(r.tickInterval().Duration())
	defer timer.Stop()
	r.tickAt = r.config.Clock.Now() + r.tickInterval()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-r.changes.Items():
			r.apply(ctx, d)
		case in := <-r.inputs.Items():
			in.apply(r)
			if interval := r.tickInterval(); r.config.Clock.Now()+interval < r.tickAt {
				timer.Reset(interval.Duration())
				r.tickAt = r.config.Clock.Now() + interval
			}
		case <-timer.C:
			r.tick()
			if r.surplus() && retire() {
				r.config.Log.Info().Str("cell", string(r.id)).Msg("cell released")
				return
			}
			timer.Reset(r.tickInterval().Duration())
			r.tickAt = r.config.Clock.Now() + r.tickInterval()
		}
	}
}

// takeOver starts the owner's term and asks every holder in reach for its open work.
func (r *runner) takeOver() {
	r.epoch = r.config.Router.Takeover(r.id)
	r.settled = r.config.Clock.Now()
	if r.config.Local(r.id) {
		return
	}
	others := 0
	for _, m := range r.config.Members.Members() {
		if m.State == swmsg.MemberDead {
			continue
		}
		if m.Host != r.config.Host {
			others++
		}
		r.config.Sender.Send(m.Host, swmsg.Recover{Cell: r.id, Epoch: r.epoch})
	}
	if others > 0 {
		r.settled += settleTime
	}
	r.config.Log.Info().Str("cell", string(r.id)).Uint64("epoch", uint64(r.epoch)).Int("holders", others+1).Msg("cell taken over")
}

// apply configures the cell and watches its present targets.
func (r *runner) apply(ctx context.Context, d *swdoc.Document) {
	targets := targetsOf(d, r.id)
	r.stopWatch()
	var watched context.Context
	watched, r.stopWatch = context.WithCancel(ctx)
	r.config.Watcher.Watch(watched, r.id, targets, func(e swcell.Event) { r.put(eventInput{e}) })
	r.step(configureEvent(d, targets))
}

// forget drops the grants of a process that is gone.
func (r *runner) forget(gone swcell.HolderGone) {
	for key := range r.grants {
		if key.Holder == gone.Holder && key.Incarnation <= gone.Incarnation {
			delete(r.grants, key)
		}
	}
}

// ask answers a repeated ask with the grant it already has, and queues a new one.
func (r *runner) ask(from swlink.Peer, m swmsg.Ask) {
	key := keyOf(from, m.Seq)
	if g, known := r.grants[key]; known && g.message.Attempt == m.Attempt {
		r.confirm(key)
		r.sendGrant(g)
		return
	}
	r.idleSince = busy
	e := askEvent(key, m, r.config.Clock.Now())
	if r.settled > r.config.Clock.Now() {
		r.held = append(withoutAsk(r.held, key, m.Attempt), e)
	} else {
		r.step(e)
	}
	if r.config.Acknowledge && !r.decided(key) {
		r.config.Sender.Send(from.Host, swmsg.Queued{Cell: r.id, Seq: m.Seq, Attempt: m.Attempt})
	}
}

// decided reports whether the last step decided on a request.
func (r *runner) decided(key swcell.Key) bool {
	return slices.ContainsFunc(r.actions, func(a swcell.Action) bool {
		switch a := a.(type) {
		case swcell.Grant:
			return a.Key == key
		case swcell.GiveUp:
			return a.Key == key
		default:
			return false
		}
	})
}

// inFlight takes over work that was dispatched under another owner.
func (r *runner) inFlight(from swlink.Peer, m swmsg.InFlight) {
	key := keyOf(from, m.Ask.Seq)
	r.confirm(key)
	r.idleSince = busy
	r.grants[key] = granted{holder: from.Host, message: swmsg.Grant{
		Cell: r.id, Seq: m.Ask.Seq, Attempt: m.Ask.Attempt, Target: m.Target, Epoch: r.epoch,
	}}
	r.step(swcell.InFlight{
		Ask:      askEvent(key, m.Ask, r.config.Clock.Now()),
		Target:   m.Target,
		Elapsed:  m.Elapsed,
		Produced: m.Produced,
	})
}

// ended drops a grant.
func (r *runner) ended(key swcell.Key, attempt swid.Attempt) {
	if g, known := r.grants[key]; known && g.message.Attempt == attempt {
		delete(r.grants, key)
	}
}

func (r *runner) withdraw(key swcell.Key, attempt swid.Attempt) {
	r.ended(key, attempt)
	r.held = withoutAsk(r.held, key, attempt)
	r.step(swcell.Withdraw{Key: key, Attempt: attempt})
}

func withoutAsk(events []swcell.Event, key swcell.Key, attempt swid.Attempt) []swcell.Event {
	kept := events[:0]
	for _, e := range events {
		if a, ok := e.(swcell.Ask); ok && a.Key == key && a.Attempt == attempt {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

func (r *runner) tick() {
	now := r.config.Clock.Now()
	if len(r.held) > 0 && r.settled <= now {
		held := r.held
		r.held = nil
		for _, e := range held {
			r.step(e)
		}
	}
	r.settleDoubts(now)
	r.step(swcell.Tick{})
	r.logStatus(now)
	switch idle := len(r.held) == 0 && r.cell.Idle(); {
	case !idle:
		r.idleSince = busy
	case r.idleSince == busy:
		r.idleSince = now
	}
}

// tickInterval is short while a new owner collects reports.
func (r *runner) tickInterval() swclock.Millis {
	if len(r.held) > 0 {
		return swcell.TickInterval
	}
	return r.cell.TickInterval()
}

// statusInterval is the time between two log lines of a shared cell that has work.
const statusInterval = 2 * swclock.Second

// logStatus logs the cell's state, by which its decisions can be followed.
func (r *runner) logStatus(now swclock.Millis) {
	if now < r.statusAt+statusInterval || r.cell.Idle() || r.config.Local(r.id) {
		return
	}
	r.statusAt = now
	s := r.cell.Snapshot()
	waiting, running := zerolog.Arr(), zerolog.Arr()
	for _, t := range s.Tiers {
		waiting.Int(t.Waiting)
		running.Int(t.Running)
	}
	targets := zerolog.Dict()
	for _, t := range s.Targets {
		targets.Str(string(t.ID), fmt.Sprintf("%d/%d prefill %.4f decode %.2f", t.Running, t.Slots, t.PrefillTime, t.DecodeTime))
	}
	r.config.Log.Info().Str("cell", string(r.id)).Uint64("epoch", uint64(r.epoch)).
		Array("waiting", waiting).Array("running", running).Dict("targets", targets).Msg("cell status")
}

// surplus reports whether the cell has had no work for a while and belongs to another host.
func (r *runner) surplus() bool {
	if r.idleSince == busy || r.config.Clock.Now()-r.idleSince < surplusTime {
		return false
	}
	owner, _ := r.config.Router.Owner(r.id)
	return owner != r.config.Host
}

// step feeds the core and sends its decisions.
func (r *runner) step(e swcell.Event) {
	r.actions = r.cell.Step(r.config.Clock.Now(), e, r.actions[:0])
	for _, a := range r.actions {
		r.config.Observer.Decided(r.id, a)
		r.send(a)
	}
}

func (r *runner) send(a swcell.Action) {
	switch a := a.(type) {
	case swcell.Grant:
		g := granted{holder: a.Key.Holder, message: swmsg.Grant{
			Cell: r.id, Seq: a.Key.Seq, Attempt: a.Attempt, Target: a.Target, Epoch: r.epoch,
			FirstToken: a.FirstToken, Total: a.Total,
		}}
		r.grants[a.Key] = g
		r.sendGrant(g)
	case swcell.GiveUp:
		r.config.Sender.Send(a.Key.Holder, swmsg.GiveUp{
			Cell: r.id, Seq: a.Key.Seq, Attempt: a.Attempt, Reason: a.Reason, RetryAfter: a.RetryAfter, Epoch: r.epoch,
		})
	case swcell.Preempt:
		r.config.Sender.Send(a.Key.Holder, swmsg.Preempt{
			Cell: r.id, Seq: a.Key.Seq, Attempt: a.Attempt, Target: a.Target, RetryAfter: a.RetryAfter, Epoch: r.epoch,
		})
	}
}

// sendGrant sends a grant. One that cannot be queued is sent when the holder
// repeats its ask, or ends if the holder does not.
func (r *runner) sendGrant(g granted) {
	if !r.config.Sender.Send(g.holder, g.message) {
		r.doubtHolder(g.holder)
	}
}

func (r *runner) status(ctx context.Context) (CellStatus, bool) {
	reply := make(chan CellStatus, 1)
	if err := r.inputs.Put(ctx, statusInput{reply}); err != nil {
		return CellStatus{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-ctx.Done():
		return CellStatus{}, false
	}
}
