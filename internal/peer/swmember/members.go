package swmember

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Times and limits of Members.
const (
	// DefaultPollInterval is the time between two reads of the platform's list.
	DefaultPollInterval = 10 * swclock.Second
	// initialRetryDelay is the wait after the first failed read; each further failure
	// doubles the wait, up to the poll interval.
	initialRetryDelay = 500 * swclock.Millis(1)
	// pollTimeout bounds one read of the platform's list.
	pollTimeout = 2 * swclock.Second
	queueLength = 1024
)

// Config configures a Members.
type Config struct {
	// Self is this host; its incarnation is that of this process.
	Self Member
	// ConfigVersion returns the version in force, which heartbeats carry. It may be nil.
	ConfigVersion func() swid.ConfigVersion
	// OnPeerVersion is called with the version of each received heartbeat. It may be nil, and must not block.
	OnPeerVersion func(from swid.HostID, version swid.ConfigVersion)
	// PollInterval is the time between two reads of the platform's list; 0 means DefaultPollInterval.
	PollInterval swclock.Millis
	Log          zerolog.Logger
}

// Members maintains the list of members. It implements Source.
type Members struct {
	config Config
	store  swobject.Store
	sender swlink.Sender
	clock  swclock.Clock
	// core and subscribers are accessed only by the goroutine that runs handleInputs.
	core        *Core
	subscribers []func([]Member)
	inputs      *swring.Ring[input]
	current     atomic.Pointer[[]Member]
	dropped     atomic.Uint64
}

// input is an event for the core, or a new subscriber.
type input struct {
	event     Event
	subscribe func([]Member)
}

// New returns a Members whose list contains this host only. Run adds the others and keeps the list up to date.
func New(cfg Config, store swobject.Store, sender swlink.Sender, clock swclock.Clock) *Members {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.ConfigVersion == nil {
		cfg.ConfigVersion = func() swid.ConfigVersion { return 0 }
	}
	m := &Members{
		config: cfg, store: store, sender: sender, clock: clock,
		core: NewCore(cfg.Self, cfg.ConfigVersion), inputs: swring.New[input](queueLength),
	}
	members := m.core.Members()
	m.current.Store(&members)
	return m
}

// Members implements Source.
func (m *Members) Members() []Member { return *m.current.Load() }

// Subscribe implements Source. The first call of f happens after Run has started.
func (m *Members) Subscribe(f func([]Member)) {
	// The context never ends, so Put returns no error.
	_ = m.inputs.Put(context.Background(), input{subscribe: f})
}

// Resolve returns a member's peer address, for swlink.
func (m *Members) Resolve(host swid.HostID) (address string, ok bool) {
	for _, member := range m.Members() {
		if member.Host == host {
			return member.Address, member.Address != ""
		}
	}
	return "", false
}

// Receive processes a heartbeat and ignores other kinds of message.
func (m *Members) Receive(from swlink.Peer, message swmsg.Message) {
	heartbeat, ok := message.(swmsg.Heartbeat)
	if !ok {
		return
	}
	if m.config.OnPeerVersion != nil {
		m.config.OnPeerVersion(from.Host, heartbeat.ConfigVersion)
	}
	m.enqueue(HeartbeatReceived{From: from, Heartbeat: heartbeat})
}

// LinkDown reports the loss of a link, which counts as a failure of its host.
func (m *Members) LinkDown(peer swlink.Peer) { m.enqueue(LinkFailed{Host: peer.Host}) }

// Leave announces to the other hosts that this one takes no new work.
func (m *Members) Leave() { m.enqueue(LeaveRequested{}) }

// enqueue queues an event for the core. It drops the event if the queue is full, because
// later heartbeats or later failures repeat what it reports.
func (m *Members) enqueue(e Event) {
	if !m.inputs.TryPut(input{event: e}) {
		m.dropped.Add(1)
	}
}

// Run updates the list from the platform's list and from heartbeats until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	tasks.Go(func() { m.handleInputs(ctx) })
	tasks.Go(func() { m.pollHosts(ctx) })
	tasks.Wait()
	return nil
}

// handleInputs passes inputs and ticks to the core until ctx ends.
func (m *Members) handleInputs(ctx context.Context) {
	ticker := time.NewTicker(TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case in := <-m.inputs.Items():
			m.handleInput(in)
		case <-ticker.C:
			m.step(Ticked{})
		case <-ctx.Done():
			return
		}
	}
}

// handleInput adds a subscriber or passes an event to the core.
func (m *Members) handleInput(in input) {
	if in.subscribe != nil {
		m.subscribers = append(m.subscribers, in.subscribe)
		in.subscribe(m.Members())
		return
	}
	m.step(in.event)
}

// step runs the core for one event, sends its heartbeats and publishes a changed list.
func (m *Members) step(e Event) {
	out := m.core.Step(m.clock.Now(), e)
	for _, h := range out.Heartbeats {
		if !m.sender.Send(h.To, h.Heartbeat) {
			m.enqueue(LinkFailed{Host: h.To})
		}
	}
	if !out.Changed {
		return
	}
	members := m.core.Members()
	m.current.Store(&members)
	for _, f := range m.subscribers {
		f(members)
	}
}

// pollHosts reads the platform's list of hosts at a bounded rate until ctx ends. While
// the platform is down, the last list stays in use.
func (m *Members) pollHosts(ctx context.Context) {
	retry := initialRetryDelay
	for {
		wait := m.config.PollInterval
		hosts, err := m.readHosts(ctx)
		if err != nil {
			m.config.Log.Warn().Err(err).Msg("cannot read the platform's list of hosts")
			wait, retry = min(wait, retry), min(2*retry, m.config.PollInterval)
		} else {
			retry = initialRetryDelay
			m.enqueue(HostsListed{Hosts: hosts})
		}
		jittered := wait/2 + swclock.Millis(rand.Int64N(int64(wait)))
		select {
		case <-time.After(jittered.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

// readHosts reads the platform's list of hosts once.
func (m *Members) readHosts(ctx context.Context) ([]swobject.Host, error) {
	readCtx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	hosts, err := m.store.Hosts(readCtx)
	return hosts, errors.Wrap(err, "read list of hosts")
}
