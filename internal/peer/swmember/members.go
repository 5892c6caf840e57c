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

// Times and limits of the shell.
const (
	// DefaultPollInterval is the time between two reads of the platform's list.
	DefaultPollInterval = 10 * swclock.Second
	// firstRetry is the wait after the first failed read; it doubles up to the poll interval.
	firstRetry = 500 * swclock.Millis(1)
	// pollTimeout bounds one read.
	pollTimeout = 2 * swclock.Second
	queueLength = 1024
)

// Config configures a host's view of the members.
type Config struct {
	// Self is this host; its incarnation is that of this process.
	Self Member
	// ConfigVersion gives the version in force, which travels in heartbeats. It may be nil.
	ConfigVersion func() swid.ConfigVersion
	// HeardVersion is told of each version that a heartbeat carried. It may be nil, and does not block.
	HeardVersion func(from swid.HostID, version swid.ConfigVersion)
	// PollInterval is the time between two reads of the platform's list; 0 stands for the default.
	PollInterval swclock.Millis
	Log          zerolog.Logger
}

// Members keeps the list of members. It implements Source.
type Members struct {
	config Config
	store  swobject.Store
	sender swlink.Sender
	clock  swclock.Clock
	// core and subscribers belong to the goroutine that handles inputs.
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

// New returns the members as this host alone; Run makes it follow the others.
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

// Subscribe implements Source. The function is first called once Run is under way.
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

// Receive takes a heartbeat; other kinds of message are ignored.
func (m *Members) Receive(from swlink.Peer, message swmsg.Message) {
	beat, ok := message.(swmsg.Heartbeat)
	if !ok {
		return
	}
	if m.config.HeardVersion != nil {
		m.config.HeardVersion(from.Host, beat.ConfigVersion)
	}
	m.put(Heard{From: from, Heartbeat: beat})
}

// LinkDown takes the loss of a link as a sign that its host may be down.
func (m *Members) LinkDown(peer swlink.Peer) { m.put(Missed{Host: peer.Host}) }

// Leave tells the other hosts that this one takes no new work.
func (m *Members) Leave() { m.put(Left{}) }

// put queues an event. When the queue is full the event is dropped: each is
// repeated by later heartbeats or later failures.
func (m *Members) put(e Event) {
	if !m.inputs.TryPut(input{event: e}) {
		m.dropped.Add(1)
	}
}

// Run follows the platform's list and the other hosts until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	tasks.Go(func() { m.handle(ctx) })
	tasks.Go(func() { m.poll(ctx) })
	tasks.Wait()
	return nil
}

// handle feeds the core.
func (m *Members) handle(ctx context.Context) {
	ticker := time.NewTicker(TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case in := <-m.inputs.Items():
			m.take(in)
		case <-ticker.C:
			m.step(Ticked{})
		case <-ctx.Done():
			return
		}
	}
}

// take handles one input.
func (m *Members) take(in input) {
	if in.subscribe != nil {
		m.subscribers = append(m.subscribers, in.subscribe)
		in.subscribe(m.Members())
		return
	}
	m.step(in.event)
}

// step runs the core once and carries out what it asks for.
func (m *Members) step(e Event) {
	out := m.core.Step(m.clock.Now(), e)
	for _, b := range out.Beats {
		if !m.sender.Send(b.To, b.Heartbeat) {
			m.put(Missed{Host: b.To})
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

// poll reads the platform's list at a bounded rate. While the platform is down
// the last list stays.
func (m *Members) poll(ctx context.Context) {
	retry := firstRetry
	for {
		wait := m.config.PollInterval
		hosts, err := m.list(ctx)
		if err != nil {
			m.config.Log.Warn().Err(err).Msg("list of hosts not read")
			wait, retry = min(wait, retry), min(2*retry, m.config.PollInterval)
		} else {
			retry = firstRetry
			m.put(Listed{Hosts: hosts})
		}
		jittered := wait/2 + swclock.Millis(rand.Int64N(int64(wait)))
		select {
		case <-time.After(jittered.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

// list reads the list once.
func (m *Members) list(ctx context.Context) ([]swobject.Host, error) {
	reading, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	hosts, err := m.store.Hosts(reading)
	return hosts, errors.Wrap(err, "read list of hosts")
}
