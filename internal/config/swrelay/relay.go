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
	// eventCapacity is the capacity of the event queue. Messages of peers that
	// exceed it are dropped, and requested again after a timeout.
	eventCapacity = 1024
	// jobCapacity is the capacity of the queues of platform reads and of documents to parse.
	jobCapacity = 8
	// tickInterval is the time between two ticks.
	tickInterval = 200 * swclock.Millis(1)
)

// Config configures a Relay.
type Config struct {
	Host        swid.HostID
	Zone        swid.ZoneID
	Environment string
	// Timeout bounds one read of the platform.
	Timeout swclock.Millis
	Log     zerolog.Logger
}

// Relay implements Source on one host. It executes the actions that state decides on: it exchanges
// messages with peers, reads and watches the platform, and parses documents.
type Relay struct {
	config  Config
	store   *swstore.Store
	members swmember.Source
	sender  swlink.Sender
	clock   swclock.Clock

	events *swring.Ring[event]
	reads  *swring.Ring[[]swstore.PartHash] // the parts to read, or nil to read the head
	parses *swring.Ring[version]
	notify *notifier
	// current is replaced only by the goroutine of runState.
	current atomic.Pointer[CurrentDocument]
}

// New returns a Relay, which is inactive until Run is called.
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
	r.current.Store(&CurrentDocument{})
	return r
}

// Current implements Source.
func (r *Relay) Current() CurrentDocument { return *r.current.Load() }

// Subscribe implements Source.
func (r *Relay) Subscribe(f func(CurrentDocument)) { r.notify.subscribe(f) }

// event is an input of state.
type event interface {
	apply(s *state, now swclock.Millis)
}

type membersEvent struct{ members []swmember.Member }

type versionEvent struct {
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

type platformFailedEvent struct{}

type partsEvent struct{ parts [][]byte }

type appliedEvent struct{ version version }

type parsedEvent struct {
	version  version
	document *swdoc.Document // nil if it was rejected
}

func (e membersEvent) apply(s *state, _ swclock.Millis)        { s.setMembers(e.members) }
func (e versionEvent) apply(s *state, now swclock.Millis)      { s.receiveVersion(now, e.from, e.version) }
func (e requestEvent) apply(s *state, now swclock.Millis)      { s.answerRequest(now, e.from, e.request) }
func (e headEvent) apply(s *state, now swclock.Millis)         { s.receiveHead(now, e.from, e.head) }
func (platformFailedEvent) apply(s *state, now swclock.Millis) { s.platformFailed(now) }
func (e partsEvent) apply(s *state, now swclock.Millis)        { s.receiveParts(now, e.parts) }
func (e appliedEvent) apply(s *state, now swclock.Millis)      { s.receiveApplied(now, e.version) }
func (e parsedEvent) apply(s *state, now swclock.Millis) {
	s.finishParse(now, e.version, e.document)
}

// ReceiveVersion handles the version in force at a peer, as received in a heartbeat.
func (r *Relay) ReceiveVersion(from swid.HostID, v swid.ConfigVersion) {
	if v != r.Current().Version {
		r.events.TryPut(versionEvent{from: from, version: v})
	}
}

// Receive handles a ConfigRequest or a ConfigDocument and ignores all other messages.
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
			r.config.Log.Error().Err(err).Str("from", string(from)).Msg("rejected an invalid document head from a peer")
			return
		}
		r.events.TryPut(headEvent{from: source{host: from}, head: head})
		return
	}
	r.ReceiveVersion(from, m.Version)
	// A message without parts can be the answer to a request for parts that the peer does not have.
	r.events.TryPut(partsEvent{parts: m.Parts})
}

// Apply applies a change through the platform. The new document comes into force on
// this host and is announced to its peers even if the platform fails right afterwards.
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
	if err := r.events.Put(ctx, appliedEvent{version: v}); err != nil {
		r.config.Log.Warn().Err(err).Msg("could not queue the applied document on this host; it will be read from a peer or the platform")
	}
	return head.Version, nil
}

// Document reads the newest document and its version from the platform.
func (r *Relay) Document(ctx context.Context) (swid.ConfigVersion, []byte, error) {
	head, document, err := r.store.Load(ctx)
	return head.Version, document, err
}

// Run exchanges, reads and parses documents until ctx ends.
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

// runState passes events and ticks to a state and executes its actions. The state is
// used by this goroutine only.
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
		for _, a := range s.takeActions() {
			r.execute(ctx, w, a)
		}
	}
}

// execute executes one action without blocking, except to notify subscribers. A read
// or a request that does not fit into a queue is repeated after a timeout.
func (r *Relay) execute(ctx context.Context, w *watch, a action) {
	switch a := a.(type) {
	case sendMessage:
		r.sender.Send(a.to, a.message)
	case readHead:
		r.reads.TryPut(nil)
	case readParts:
		r.reads.TryPut(a.hashes)
	case parseDocument:
		r.parses.TryPut(a.version) // never full: one document is parsed at a time
	case setWatching:
		w.set(ctx, a.on)
	case publishCurrent:
		r.current.Store(&a.document)
		r.notify.publish(ctx, a.document)
		r.config.Log.Info().Uint64("version", uint64(a.document.Version)).Msg("environment document in force")
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

// read reads the parts with the given hashes from the platform, or the head if hashes is nil.
func (r *Relay) read(ctx context.Context, hashes []swstore.PartHash) {
	call, cancel := context.WithTimeout(ctx, r.config.Timeout.Duration())
	defer cancel()
	if hashes == nil {
		head, err := r.store.Head(call)
		if err != nil {
			r.logFailure(err, "failed to read the document head from the platform")
			_ = r.events.Put(ctx, platformFailedEvent{}) // fails only when ctx ends
			return
		}
		_ = r.events.Put(ctx, headEvent{from: platform, head: head}) // fails only when ctx ends
		return
	}
	var parts [][]byte
	for _, h := range hashes {
		data, err := r.store.Part(call, h)
		if err != nil {
			r.logFailure(err, "failed to read a document part from the platform")
			break
		}
		parts = append(parts, data)
	}
	_ = r.events.Put(ctx, partsEvent{parts: parts}) // fails only when ctx ends
}

// logFailure logs an error, unless it was caused by cancelling a context.
func (r *Relay) logFailure(err error, message string) {
	if !errors.Is(err, context.Canceled) {
		r.config.Log.Warn().Err(err).Msg(message)
	}
}

// runParses assembles and parses documents. It has its own goroutine because a large
// document takes long.
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
		r.config.Log.Error().Err(err).Uint64("version", uint64(v.head.Version)).Msg("environment document rejected; the previous one stays in force")
		return nil
	}
	return document
}
