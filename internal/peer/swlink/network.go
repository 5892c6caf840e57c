package swlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Network holds one link to each entry host that this host exchanges messages
// with. It dials links on demand, replaces unresponsive ones and closes idle
// ones. It implements Sender and prometheus.Collector.
type Network struct {
	config   Config
	clock    swclock.Clock
	resolver Resolver
	handler  Handler
	security security
	logger   zerolog.Logger
	wrap     func(net.Conn) net.Conn
	// transport opens connections and listens for those of other hosts.
	transport Transport
	listener  net.Listener
	// dials queues the hosts to dial.
	dials *swring.Ring[*remote]
	stats counters
	// helloCount numbers the Hellos that this process sends.
	helloCount atomic.Uint64
	// tasks are the goroutines that Run waits for.
	tasks conc.WaitGroup

	mu sync.Mutex
	// remotes holds up to MaxPeers hosts; entries are never removed.
	remotes map[swid.HostID]*remote
}

// New returns a network. It listens once Listen is called, and accepts and dials once Run is called.
func New(cfg Config, clock swclock.Clock, resolver Resolver, handler Handler, options ...Option) *Network {
	cfg = cfg.withDefaults()
	n := &Network{
		config: cfg, clock: clock, resolver: resolver, handler: handler, logger: zerolog.Nop(),
		wrap: func(c net.Conn) net.Conn { return c }, transport: tcp{cfg.KeepAlive},
		dials:   swring.New[*remote](cfg.MaxPeers),
		remotes: make(map[swid.HostID]*remote),
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Listen binds the network's address.
func (n *Network) Listen() error {
	if !n.security.configured {
		return ErrNoTLS
	}
	listener, err := n.transport.Listen(n.config.Address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.listener = listener
	return nil
}

// Address returns the address that Listen bound.
func (n *Network) Address() string { return n.listener.Addr().String() }

// Run serves links until ctx ends and every goroutine has stopped. Listen must
// have succeeded before Run is called.
func (n *Network) Run(ctx context.Context) error {
	if n.listener == nil {
		return errors.New("peer network is not listening")
	}
	stop := context.AfterFunc(ctx, func() { n.listener.Close() })
	defer stop()
	n.tasks.Go(func() { n.accept(ctx) })
	n.tasks.Go(func() { n.runDials(ctx) })
	n.tasks.Go(func() { n.watch(ctx) })
	n.tasks.Wait()
	return nil
}

// Send implements Sender. It refuses a message if the queue of its host is full,
// if the retry delay after a failed dial has not passed, if a new host would
// exceed MaxPeers, or if the message is for this host.
func (n *Network) Send(to swid.HostID, m swmsg.Message) bool {
	r := n.remote(to)
	if r == nil || !r.send(m) {
		n.stats.refused.Add(1)
		return false
	}
	return true
}

// Dial starts to connect to a host, unless there is a link, a connection is being
// set up, or the retry delay after a failed dial has not passed.
func (n *Network) Dial(to swid.HostID) {
	if r := n.remote(to); r != nil {
		r.ensureDial()
	}
}

// Errors of OpenStream.
var (
	// ErrNoLink means that there is no link to the host.
	ErrNoLink = errors.New("there is no link to the host")
	// ErrNoStreams means that the host accepts no streams, because it runs an earlier build.
	ErrNoStreams = errors.New("the host accepts no further streams")
)

// OpenStream opens a further stream on the link to a host. If there is no link, it dials and waits for one until
// ctx ends. If the link is lost because the host fell silent, the stream goes on unless the host stays silent for StreamTimeout; the
// stream then implements LinkObserver.
func (n *Network) OpenStream(ctx context.Context, to swid.HostID) (net.Conn, error) {
	r := n.remote(to)
	if r == nil {
		return nil, ErrNoLink
	}
	l, err := r.awaitLink(ctx)
	if err != nil {
		return nil, err
	}
	if !l.carries {
		return nil, ErrNoStreams
	}
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	n.stats.streamsOut.Add(1)
	return &furtherStream{Conn: stream, lost: l.lost}, nil
}

// LinkObserver is a stream that can outlast its link.
type LinkObserver interface {
	// LinkLost returns a channel that is closed when the link is lost and the stream goes on.
	LinkLost() <-chan struct{}
}

// furtherStream is a stream that this host opened beside the one of the messages. It implements LinkObserver.
type furtherStream struct {
	net.Conn
	lost <-chan struct{}
}

// LinkLost implements LinkObserver.
func (s *furtherStream) LinkLost() <-chan struct{} { return s.lost }

// AcceptsStreams reports whether there is a link to a host that accepts further streams.
func (n *Network) AcceptsStreams(host swid.HostID) bool {
	n.mu.Lock()
	r := n.remotes[host]
	n.mu.Unlock()
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link != nil && r.link.carries
}

// Connected implements Sender.
func (n *Network) Connected(to swid.HostID) bool {
	n.mu.Lock()
	r := n.remotes[to]
	n.mu.Unlock()
	return r != nil && r.connected()
}

// Liveness returns what was observed of a host.
func (n *Network) Liveness(host swid.HostID) Liveness {
	n.mu.Lock()
	r := n.remotes[host]
	n.mu.Unlock()
	if r == nil {
		return Liveness{}
	}
	return r.liveness()
}

// Probe asks a host with a link for a sign of life, unless a probe is unanswered.
func (n *Network) Probe(host swid.HostID) {
	n.mu.Lock()
	r := n.remotes[host]
	n.mu.Unlock()
	if r != nil {
		r.probe()
	}
}

// remote returns the state of a host and creates it if needed. It returns nil for
// this host itself, and for a new host once MaxPeers is reached.
func (n *Network) remote(host swid.HostID) *remote {
	if host == n.config.Self.Host {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.remotes[host]; ok {
		return r
	}
	if len(n.remotes) >= n.config.MaxPeers {
		return nil
	}
	r := newRemote(n, host)
	n.remotes[host] = r
	return r
}

// accept serves incoming connections until ctx ends, which closes the listener.
func (n *Network) accept(ctx context.Context) {
	for {
		c, err := n.listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.logger.Warn().Err(err).Msg("failed to accept peer connection")
			time.Sleep(watchInterval.Duration())
			continue
		}
		n.tasks.Go(func() { n.serve(ctx, c) })
	}
}

// runDials starts the queued dials until ctx ends.
func (n *Network) runDials(ctx context.Context) {
	for {
		select {
		case r := <-n.dials.Items():
			n.tasks.Go(func() { n.connect(ctx, r) })
		case <-ctx.Done():
			return
		}
	}
}

// watch checks all links periodically for timeouts and for probes and replies that are due.
// If more than half of ProbeTimeout has passed since the last check, this process is assumed
// to have been suspended, and the links restart their timeouts.
func (n *Network) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval.Duration())
	defer ticker.Stop()
	last := n.clock.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := n.clock.Now()
		if delay := now - last - watchInterval; delay > loggedDelay {
			n.logger.Info().Int64("delayMillis", int64(delay)).Msg("process was delayed")
		}
		suspended := now-last > n.config.ProbeTimeout/2
		last = now
		for _, l := range n.links() {
			l.watch(now, suspended)
		}
	}
}

// links returns the links that are up.
func (n *Network) links() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := make([]*link, 0, len(n.remotes))
	for _, r := range n.remotes {
		r.mu.Lock()
		if r.link != nil {
			links = append(links, r.link)
		}
		r.mu.Unlock()
	}
	return links
}
