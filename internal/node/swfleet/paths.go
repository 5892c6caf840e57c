package swfleet

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcarry"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// probeInterval is the time between two looks whether targets can be reached again, and probesAtOnce the number of
	// targets that are asked each time.
	probeInterval = 500 * swclock.Millis(1)
	probesAtOnce  = 2
	// probeTimeout is how long a target may take to answer a probe.
	probeTimeout = 400 * swclock.Millis(1)
)

// errPathLost is the context cause of an exchange that is ended because this host reaches no target of the service.
var errPathLost = errors.New("the host reaches no target of the service")

// errConnectionLost is the context cause of an exchange that is ended because only its connection is silent.
var errConnectionLost = errors.New("the connection to the target is silent while its run goes on")

// pathAdapter records what the exchanges with a target show of the path to it. It implements swtarget.Adapter.
type pathAdapter struct {
	swtarget.Adapter
	target swid.TargetID
	host   *Host
}

// Start implements swtarget.Adapter.
func (p *pathAdapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := func(cause error) bool {
		givenUp := r.GiveUp == nil || r.GiveUp()
		if givenUp {
			cancel(cause)
		}
		return givenUp
	}
	var abort func() bool
	if r.FirstOutputTimeout > 0 || r.GiveUp != nil { // the request may be sent to another target, or its stream be taken up
		abort = func() bool { return end(errPathLost) }
	}
	received := &progress{}
	look := func(looking context.Context, exchange *swreach.Exchange) error {
		if err := p.probe(looking); err != nil {
			return err
		}
		if r.LastEventID == "" && p.isConnectionLost(looking, exchange, r.ID, received) {
			end(errConnectionLost)
		}
		return nil
	}
	exchange := p.host.paths.Begin(p.target, r.ExpectedFirst, abort, look)
	answer, err := p.Adapter.Start(ctx, r)
	if err != nil {
		err = p.end(ctx, exchange, err)
		cancel(nil)
		return nil, err
	}
	exchange.Heard()
	return &pathAnswer{Answer: answer, adapter: p, exchange: exchange, received: received, ctx: ctx, cancel: cancel}, nil
}

// progress counts the events of a stream that were received.
type progress struct{ events atomic.Int64 }

// onTheWay is how long events that a target has reported may be on their way.
const onTheWay = 250 * swclock.Millis(1)

// isConnectionLost reports whether the connection of an exchange is silent for good: the target, which answers on another one, has made
// events of the stream that have not arrived.
func (p *pathAdapter) isConnectionLost(ctx context.Context, exchange *swreach.Exchange, id swid.RequestID, received *progress) bool {
	reporter, reports := p.Adapter.(swtarget.RunReporter)
	before := received.events.Load()
	if !reports || before == 0 || !exchange.ConnectionSuspect() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	made, reported, err := reporter.ReportedEvents(ctx, id)
	if err != nil || !reported || int64(made) <= before {
		return false
	}
	select {
	case <-time.After(onTheWay.Duration()):
	case <-ctx.Done():
	}
	lost := received.events.Load() == before
	p.host.log.Info().Str("requestId", string(id)).Str("target", string(p.target)).Int64("receivedEvents", before).Int("madeEvents", made).
		Int64("silentMillis", int64(exchange.Silence())).Bool("lost", lost).Msg("connection to a target looked at")
	return lost
}

// end records the end of an exchange, and returns its error: nil for a complete answer.
func (p *pathAdapter) end(ctx context.Context, exchange *swreach.Exchange, err error) error {
	var failure *swtarget.Error
	switch {
	case errors.Is(context.Cause(ctx), errPathLost):
		exchange.End(swreach.EndingBroken)
		return &swtarget.Error{Failure: swtarget.FailureStalled, Err: errPathLost}
	case errors.Is(context.Cause(ctx), errConnectionLost):
		exchange.End(swreach.EndingSound)
		return &swtarget.Error{Failure: swtarget.FailureStalled, Err: errConnectionLost}
	case err == nil || err == io.EOF || ctx.Err() != nil:
		exchange.End(swreach.EndingSound)
	case errors.As(err, &failure) && (failure.Statement.Heard || failure.OtherStart || errors.Is(err, swbuffer.ErrExceeded) ||
		failure.Failure == swtarget.FailureWrongRequest || failure.Failure == swtarget.FailureNotContinued):
		exchange.Heard()
		exchange.End(swreach.EndingSound)
	case errors.As(err, &failure) && failure.Failure == swtarget.FailureNotStarted:
		exchange.End(swreach.EndingUnconnected)
	default:
		exchange.End(swreach.EndingBroken)
	}
	return err
}

// probe looks whether the target can be reached, and records what it finds. If ctx ends first, it has found nothing.
func (p *pathAdapter) probe(ctx context.Context) error {
	prober, canProbe := p.Adapter.(swtarget.Prober)
	if !canProbe {
		p.host.paths.Heard(p.target) // the next request shows it
		return nil
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	sent := p.host.clock.Now()
	statement, err := prober.Probe(probeCtx)
	if err != nil {
		if ctx.Err() == nil {
			p.host.paths.Failed(p.target, sent)
		}
		return err
	}
	p.host.paths.Heard(p.target)
	p.host.observeStatement(p.target, statement, sent)
	return nil
}

// pathAnswer is an answer whose parts show that the path works. It implements swtarget.Answer.
type pathAnswer struct {
	swtarget.Answer
	adapter  *pathAdapter
	exchange *swreach.Exchange
	received *progress
	ctx      context.Context
	cancel   context.CancelCauseFunc
	once     sync.Once
}

// Next implements swtarget.Answer.
func (a *pathAnswer) Next() (swtarget.Chunk, error) {
	chunk, err := a.Answer.Next()
	if err == nil {
		a.received.events.Add(int64(chunk.Events))
		a.exchange.Heard()
		return chunk, nil
	}
	a.once.Do(func() { err = a.adapter.end(a.ctx, a.exchange, err) })
	return chunk, err
}

// Close implements swtarget.Answer.
func (a *pathAnswer) Close() error {
	a.once.Do(func() { a.exchange.End(swreach.EndingSound) })
	err := a.Answer.Close()
	a.cancel(nil)
	return err
}

// pathProber looks for targets that this host can reach again, while it reaches none of a service.
type pathProber struct {
	host *Host
	wake chan struct{}

	mu sync.Mutex
	// reached has the targets that answered probes since takeReached was last called.
	reached []swid.TargetID
	// changes has the changes that run has not handled yet, one for each service.
	changes map[swid.ServiceID]bool
	// reviewing is set while a call of Review is scheduled.
	reviewing bool
	// asking is set while all targets are to be asked what they say of the requests that they take, and askedAt is when
	// they were last; 0 for never.
	asking  bool
	askedAt swclock.Millis
	// asked is set once the first round in which they were asked has ended.
	asked bool
	// looking is set while look runs, and carrier is the host that was last to carry a request.
	looking bool
	carrier swid.HostID
}

func newPathProber(h *Host) *pathProber {
	return &pathProber{host: h, wake: make(chan struct{}, 1), changes: make(map[swid.ServiceID]bool)}
}

// changed records that this host reaches no target of a service, or again reaches one. It does not block.
func (p *pathProber) changed(service swid.ServiceID, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes[service] = cut
	p.suspected()
}

// doubted has the paths reviewed once it is certain that an exchange is overdue. It does not block.
func (p *pathProber) doubted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reviewing {
		return
	}
	p.reviewing = true
	time.AfterFunc((swreach.ConfirmAfter + 1).Duration(), func() {
		p.mu.Lock()
		p.reviewing = false
		p.mu.Unlock()
		p.host.paths.Review()
	})
}

// suspected has targets probed, as this host may reach none of a service. It does not block.
func (p *pathProber) suspected() {
	select {
	case p.wake <- struct{}{}:
	default: // already woken
	}
}

// askInterval is the least time between two rounds in which all targets are asked, and asksAtOnce the number of those
// that are asked at a time.
const (
	askInterval = 5 * swclock.Second
	asksAtOnce  = 32
)

// askAll has all targets asked what they say of the requests that they take, unless they were a moment ago: this host
// has become the owner, and its predecessor's knowledge is lost if all hosts were restarted. It does not block.
func (p *pathProber) askAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.host.clock.Now()
	if p.askedAt > 0 && now-p.askedAt < askInterval {
		return
	}
	p.asking, p.askedAt = true, max(now, 1)
	p.suspected()
}

// configured has the targets asked if that was wanted before there were any. It does not block.
func (p *pathProber) configured() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asking {
		p.suspected()
	}
}

// hasAsked reports whether a round in which all targets were asked has ended.
func (p *pathProber) hasAsked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// ask asks all targets, if that is wanted.
func (p *pathProber) ask(ctx context.Context) {
	p.mu.Lock()
	asking := p.asking
	p.mu.Unlock()
	adapters := p.adapters()
	if !asking || len(adapters) == 0 {
		return // configured has this called again once there are targets
	}
	asks := pool.New().WithMaxGoroutines(asksAtOnce)
	for _, a := range adapters {
		asks.Go(func() { _ = a.probe(ctx) }) // a failure is recorded
	}
	asks.Wait()
	p.mu.Lock()
	p.asking, p.asked = false, true
	p.mu.Unlock()
	p.host.log.Info().Int("targets", len(adapters)).Int("brittle", len(p.host.brittle.Targets())).Msg("targets asked for limits")
}

// adapters returns the adapters of all targets that are known and are not leaving.
func (p *pathProber) adapters() []*pathAdapter {
	var adapters []*pathAdapter
	for id := range p.host.view.activeTargets() {
		if a, known := p.adapter(id); known {
			adapters = append(adapters, a)
		}
	}
	return adapters
}

func (p *pathProber) adapter(id swid.TargetID) (*pathAdapter, bool) {
	target, listed := p.host.pool.Target(id)
	a, known := target.Adapter.(*pathAdapter)
	return a, listed && known
}

// run handles changes, and probes targets while this host may reach none of a service, until ctx ends.
func (p *pathProber) run(ctx context.Context) {
	var looks conc.WaitGroup
	defer looks.Wait()
	for {
		if p.startLooking() {
			looks.Go(func() { p.look(ctx) })
		}
		var due <-chan time.Time
		if len(p.host.paths.ToProbe()) > 0 || len(p.host.paths.ToLookFor()) > 0 {
			due = time.After(probeInterval.Duration())
		}
		select {
		case <-p.wake:
			p.handleChanges()
			p.ask(ctx)
		case <-due:
		case <-ctx.Done():
			return
		}
		p.probe(ctx)
	}
}

// handleChanges logs the changes, reports them to the owner and has the waiting requests scheduled by the host that
// schedules them now.
func (p *pathProber) handleChanges() {
	p.mu.Lock()
	changes := p.changes
	p.changes = make(map[swid.ServiceID]bool)
	p.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	for service, cut := range changes {
		p.host.log.Info().Str("service", string(service)).Bool("cut", cut).Msg("reach of targets changed")
	}
	p.host.requestRegistration()
	p.host.holder.Reroute()
}

// probe asks the targets whose paths have not been looked at for the longest time.
func (p *pathProber) probe(ctx context.Context) {
	var probes conc.WaitGroup
	started := 0
	for _, id := range p.host.paths.ToProbe() {
		adapter, known := p.adapter(id)
		if !known {
			continue
		}
		probes.Go(func() {
			if err := adapter.probe(ctx); err == nil { // a failure is recorded
				p.addReached(id)
			}
		})
		if started++; started == probesAtOnce {
			break
		}
	}
	probes.Wait()
	if started > 0 && len(p.host.paths.CutServices()) == 0 {
		p.host.requestRegistration()
	}
}

const (
	// lookedForAtOnce is the number of targets that are looked for at a time. Each has to have its turn while its former one counts.
	lookedForAtOnce = 32
	// askedForAtOnce is the number of those that other hosts are asked about, and peersAsked the number of hosts that are asked about
	// each. askTimeout bounds the time for their answers: one may have to be connected to, and to probe.
	askedForAtOnce = 4
	peersAsked     = 2
	askTimeout     = probeTimeout + 200*swclock.Millis(1)
)

// startLooking reports whether look is to be called.
func (p *pathProber) startLooking() bool {
	if len(p.host.paths.ToLookFor()) == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := !p.looking
	p.looking = true
	return start
}

// lookIfWanted has the targets looked for that this host does not hear from. It does not block.
func (p *pathProber) lookIfWanted() {
	if len(p.host.paths.ToLookFor()) > 0 {
		p.suspected()
	}
}

// look finds out about targets that this host does not hear from. Exchanges with one are ended only if the path to it is lost, or it fails all
// looks for some seconds.
func (p *pathProber) look(ctx context.Context) {
	var looks conc.WaitGroup
	targets := p.host.paths.ToLookFor()
	for i, w := range targets[:min(len(targets), lookedForAtOnce)] {
		looks.Go(func() { p.lookFor(ctx, w, i < askedForAtOnce) })
	}
	looks.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looking = false
}

// lookFor looks for a target. If this host reaches no target of its service and asks is set, it first asks others whether they do, as the path is
// lost only then.
func (p *pathProber) lookFor(ctx context.Context, w swreach.Wanted, asks bool) {
	by, asked := swid.HostID(""), 0
	if service, listed := p.host.view.serviceOf(w.Target); asks && listed && p.host.paths.Cut(service) {
		by, asked = p.askPeers(ctx, w.Target)
	}
	if by != "" {
		p.host.paths.HeardElsewhere(w.Target)
	}
	err := w.Look(ctx)
	p.host.log.Info().Str("target", string(w.Target)).Int("asked", asked).Str("reachedBy", string(by)).AnErr("error", err).
		Bool("lost", by != "" && err != nil).Msg("path to a target looked at")
}

// askPeers asks other hosts whether they reach a target. It returns one that does, if there is one, and how many were asked.
func (p *pathProber) askPeers(ctx context.Context, target swid.TargetID) (reachedBy swid.HostID, asked int) {
	peers := p.peersToAsk()
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	reached := make(chan swid.HostID, len(peers))
	var asks conc.WaitGroup
	for _, peer := range peers {
		asks.Go(func() {
			carrier := swcarry.Adapter{Opener: p.host.network, Carrier: peer, Target: target}
			if err := carrier.Probe(ctx); err == nil { // an error says nothing of the target
				reached <- peer
				cancel()
			}
		})
	}
	asks.Wait()
	select {
	case reachedBy = <-reached:
	default:
	}
	return reachedBy, len(peers)
}

// noteCarrier records the host that is to carry a request.
func (p *pathProber) noteCarrier(carrier swid.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carrier = carrier
}

// peersToAsk returns hosts that may reach targets: the one that last carried a request for this host, then others to which there is
// a link, then any.
func (p *pathProber) peersToAsk() []swid.HostID {
	members := p.host.view.Members()
	p.mu.Lock()
	carrier := p.carrier
	p.mu.Unlock()
	peers := make([]swid.HostID, 0, len(members))
	for _, i := range rand.Perm(len(members)) {
		if host := members[i].Host; host != p.host.self.Host {
			peers = append(peers, host)
		}
	}
	rank := func(host swid.HostID) int {
		switch {
		case host == carrier:
			return 0
		case p.host.network.AcceptsStreams(host):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(peers, func(a, b swid.HostID) int { return cmp.Compare(rank(a), rank(b)) })
	return peers[:min(len(peers), peersAsked)]
}

// addReached records that a target answered a probe.
func (p *pathProber) addReached(id swid.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.reached) < swcodec.MaxReached {
		p.reached = append(p.reached, id)
	}
}

// takeReached returns the targets that answered probes since the last call.
func (p *pathProber) takeReached() []swid.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	reached := p.reached
	p.reached = nil
	return reached
}
