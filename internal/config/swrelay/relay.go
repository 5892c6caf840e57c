package swrelay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// eventCapacity bounds the waiting events; what peers send beyond it is
	// dropped, and asked for again by the timeouts.
	eventCapacity = 1024
	// jobCapacity bounds the waiting reads of the platform and documents to parse.
	jobCapacity = 8
	// tickInterval is the time between two ticks.
	tickInterval = 200 * swclock.Millis(1)
)

// Config is a relay's configuration.
type Config struct {
	Host        swid.HostID
	Zone        swid.ZoneID
	Environment string
	// Timeout bounds one read of the platform.
	Timeout swclock.Millis
	Log     zerolog.Logger
}

// Relay implements Source. Run carries out its duties.
type Relay struct {
	config  Config
	store   *swstore.Store
	members swmember.Source
	sender  swlink.Sender
	clock   swclock.Clock

	events *swring.Ring[event]
	reads  *swring.Ring[[]swstore.PartHash]
	parses *swring.Ring[version]
	notify *notifier
	// current is replaced by the goroutine of the state only.
	current atomic.Pointer[InForce]
}

// New returns a relay; it does nothing before Run.
func New(config Config, objects swobject.Store, members swmember.Source, sender swlink.Sender, clock swclock.Clock) *Relay {
	r := &Relay{
		config:  config,
		store:   swstore.New(objects, config.Environment),
		members: members,
		sender:  sender,
		clock:   clock,
		events:  swring.New[event](eventCapacity),
		reads:   swring.New[[]swstore.PartHash](jobCapacity),
		parses:  swring.New[version](jobCapacity),
		notify:  newNotifier(),
	}
	r.current.Store(&InForce{})
	return r
}

// Current implements Source.
func (r *Relay) Current() InForce { return *r.current.Load() }

// Subscribe implements Source.
func (r *Relay) Subscribe(f func(InForce)) { r.notify.subscribe(f) }

// event is an input of the state.
type event interface {
	apply(s *state, now swclock.Millis)
}

type membersEvent struct{ members []swmember.Member }

type heardEvent struct {
	from    swid.HostID
	version swid.ConfigVersion
}

type requestEvent struct {
	from    swid.HostID
	request swmsg.ConfigRequest
}

type headEvent struct {
	from source
	head swstore.Head
}

type failedEvent struct{}

type partsEvent struct{ parts [][]byte }

type wholeEvent struct{ version version }

type parsedEvent struct {
	version  version
	document *swdoc.Document // nil if it was refused
}

func (e membersEvent) apply(s *state, _ swclock.Millis)   { s.setMembers(e.members) }
func (e heardEvent) apply(s *state, now swclock.Millis)   { s.heardVersion(now, e.from, e.version) }
func (e requestEvent) apply(s *state, now swclock.Millis) { s.answer(now, e.from, e.request) }
func (e headEvent) apply(s *state, now swclock.Millis)    { s.takeHead(now, e.from, e.head) }
func (failedEvent) apply(s *state, now swclock.Millis)    { s.platformFailed(now) }
func (e partsEvent) apply(s *state, now swclock.Millis)   { s.takeParts(now, e.parts) }
func (e wholeEvent) apply(s *state, now swclock.Millis)   { s.takeWhole(now, e.version) }
func (e parsedEvent) apply(s *state, now swclock.Millis) {
	s.parsed(now, e.version, e.document)
}

// HeardVersion takes the version that a peer's heartbeat carried.
func (r *Relay) HeardVersion(from swid.HostID, v swid.ConfigVersion) {
	if v != r.Current().Version {
		r.events.TryPut(heardEvent{from: from, version: v})
	}
}

// Receive takes a ConfigRequest or a ConfigDocument; other messages are not for the relay.
func (r *Relay) Receive(from swlink.Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.ConfigRequest:
		r.events.TryPut(requestEvent{from: from.Host, request: m})
	case swmsg.ConfigDocument:
		r.receiveDocument(from.Host, m)
	}
}

func (r *Relay) receiveDocument(from swid.HostID, m swmsg.ConfigDocument) {
	if len(m.Document) > 0 {
		head, err := swstore.DecodeHead(m.Version, m.Document)
		if err != nil {
			r.config.Log.Error().Err(err).Str("from", string(from)).Msg("head from a peer refused")
			return
		}
		r.events.TryPut(headEvent{from: source{host: from}, head: head})
		return
	}
	r.HeardVersion(from, m.Version)
	// A message without parts answers a question for parts that the peer does not have.
	r.events.TryPut(partsEvent{parts: m.Parts})
}

// Apply applies a change through the platform. The new document is in force on
// this host and told to its peers even if the platform fails straight afterwards.
func (r *Relay) Apply(ctx context.Context, c swstore.Change) (swid.ConfigVersion, error) {
	head, err := r.store.Apply(ctx, c)
	if err != nil {
		return 0, err
	}
	if len(head.Parts) == 0 { // newer changes followed
		return head.Version, nil
	}
	v := version{head: head, parts: make(map[swstore.PartHash][]byte)}
	for _, p := range swstore.Split(c.Document) {
		v.parts[swstore.HashPart(p)] = p
	}
	if err := r.events.Put(ctx, wholeEvent{version: v}); err != nil {
		r.config.Log.Warn().Err(err).Msg("applied document not taken from the call; it comes from the platform")
	}
	return head.Version, nil
}

// Document returns the bytes and the version of the newest document in the platform.
func (r *Relay) Document(ctx context.Context) (swid.ConfigVersion, []byte, error) {
	head, document, err := r.store.Load(ctx)
	return head.Version, document, err
}

// Run carries out the relay's duties until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.members.Subscribe(func(members []swmember.Member) {
		_ = r.events.Put(ctx, membersEvent{members: members}) // fails only when ctx ends
	})
	var group conc.WaitGroup
	group.Go(func() { r.runReads(ctx) })
	group.Go(func() { r.runParses(ctx) })
	group.Go(func() { r.notify.run(ctx) })
	r.runState(ctx, &group)
	group.Wait()
}

// runState is the goroutine of the state.
func (r *Relay) runState(ctx context.Context, group *conc.WaitGroup) {
	s := newState(r.config.Host, r.config.Zone)
	w := &watch{relay: r, group: group}
	defer w.stop()
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case e := <-r.events.Items():
			e.apply(s, r.clock.Now())
		case <-ticker.C:
			s.tick(r.clock.Now())
		case <-ctx.Done():
			return
		}
		for _, a := range s.take() {
			r.carryOut(ctx, w, a)
		}
	}
}

// carryOut carries out one action without waiting. What finds no room is asked for again after a timeout.
func (r *Relay) carryOut(ctx context.Context, w *watch, a action) {
	switch a := a.(type) {
	case sendMessage:
		r.sender.Send(a.to, a.message)
	case readHead:
		r.reads.TryPut(nil)
	case readParts:
		r.reads.TryPut(a.hashes)
	case parseDocument:
		r.parses.TryPut(a.version) // has room: one document is parsed at a time
	case setRelay:
		w.set(ctx, a.on)
	case announceInForce:
		r.current.Store(&a.inForce)
		r.notify.put(ctx, a.inForce)
		r.config.Log.Info().Uint64("version", uint64(a.inForce.Version)).Msg("environment document in force")
	}
}

// runReads reads heads and parts from the platform.
func (r *Relay) runReads(ctx context.Context) {
	for {
		select {
		case hashes := <-r.reads.Items():
			r.read(ctx, hashes)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) read(ctx context.Context, hashes []swstore.PartHash) {
	call, cancel := context.WithTimeout(ctx, r.config.Timeout.Duration())
	defer cancel()
	if hashes == nil {
		head, err := r.store.Head(call)
		if err != nil {
			r.logFailure(err, "head not read")
			_ = r.events.Put(ctx, failedEvent{}) // fails only when ctx ends
			return
		}
		_ = r.events.Put(ctx, headEvent{from: platform, head: head}) // fails only when ctx ends
		return
	}
	var parts [][]byte
	for _, h := range hashes {
		data, err := r.store.Part(call, h)
		if err != nil {
			r.logFailure(err, "part not read")
			break
		}
		parts = append(parts, data)
	}
	_ = r.events.Put(ctx, partsEvent{parts: parts}) // fails only when ctx ends
}

func (r *Relay) logFailure(err error, message string) {
	if !errors.Is(err, context.Canceled) {
		r.config.Log.Warn().Err(err).Msg(message)
	}
}

// runParses joins and parses documents, which may take long.
func (r *Relay) runParses(ctx context.Context) {
	for {
		select {
		case v := <-r.parses.Items():
			document := r.parse(v)
			_ = r.events.Put(ctx, parsedEvent{version: v, document: document}) // fails only when ctx ends
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) parse(v version) *swdoc.Document {
	data, err := swstore.Assemble(v.head, func(h swstore.PartHash) ([]byte, bool) {
		part, ok := v.parts[h]
		return part, ok
	})
	var document *swdoc.Document
	if err == nil {
		document, err = swdoc.Parse(r.config.Environment, data)
	}
	if err != nil {
		r.config.Log.Error().Err(err).Uint64("version", uint64(v.head.Version)).Msg("environment document refused; the earlier one stays in force")
		return nil
	}
	return document
}
