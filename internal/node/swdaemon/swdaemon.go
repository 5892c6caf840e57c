// Package swdaemon assembles an entry host from its settings and runs it.
package swdaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/config/swtls"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/owner/sworder"
	"github.com/sassafraswing/sassafraswing/internal/peer/swexchange"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/store/swhttpstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Daemon is one entry host. It is built by New, bound by Listen and served by Run.
type Daemon struct {
	settings *swsettings.Settings
	options  options
	log      zerolog.Logger
	clock    swclock.Clock
	self     swlink.Peer

	keys             interfaceKeys
	store            swobject.Store
	exchange         *swexchange.Exchange
	network          *swlink.Network
	members          *swmember.Members
	relay            *swrelay.Relay
	router           *swnode.HostRouter
	claims           *swclaim.ObjectRegistry
	orderIssuer      *sworder.Issuer
	watcher          targetWatcher
	node             *swnode.Node
	registry         *prometheus.Registry
	eventBroadcaster *swadmin.EventBroadcaster
	admin            http.Handler
	// operator is the operators' listener, set by Listen.
	operator net.Listener
	// versions maps each other host to the document version that its last heartbeat reported.
	versions sync.Map
	// draining is set by an operator or by a shutdown.
	draining atomic.Bool
}

// interfaceKeys has the TLS keys of each interface.
type interfaceKeys struct {
	caller, peer, operator, platform *swtls.Keys
}

type options struct {
	store         swobject.Store
	firstDocument []byte
	links         []swlink.Option
	// abort ends the daemon without a graceful shutdown.
	abort context.Context
}

// Option configures a Daemon.
type Option func(*options)

// WithStore sets the object store to use instead of the platform in the settings.
func WithStore(s swobject.Store) Option { return func(o *options) { o.store = s } }

// WithAbort sets a context whose end stops the daemon without a graceful shutdown.
func WithAbort(ctx context.Context) Option { return func(o *options) { o.abort = ctx } }

// WithLinkOption adds an option for the links to other hosts.
func WithLinkOption(o swlink.Option) Option {
	return func(options *options) { options.links = append(options.links, o) }
}

// WithFirstDocument applies a document if the platform has none.
func WithFirstDocument(document []byte) Option {
	return func(o *options) { o.firstDocument = document }
}

// openStore builds the client of the platform's object API and the components that
// use only the store.
func (d *Daemon) openStore() {
	d.store = d.options.store
	if d.store == nil {
		d.store = swhttpstore.New(swhttpstore.Config{
			URL:             d.settings.Platform.URL,
			Timeout:         d.settings.Platform.Timeout,
			ReadsPerSecond:  readsPerSecond,
			WritesPerSecond: writesPerSecond,
			DialTLS:         d.keys.platform.Dial,
		}, d.clock)
	}
	d.claims = swclaim.New(swclaim.Config{Environment: d.settings.Platform.Environment}, d.store, d.clock)
	d.orderIssuer = d.newOrderIssuer()
}

const (
	// readsPerSecond and writesPerSecond limit one host's calls to the platform.
	readsPerSecond  = 50
	writesPerSecond = 25
)

// Run builds a daemon and serves until ctx ends.
func Run(ctx context.Context, settings *swsettings.Settings, log zerolog.Logger, opts ...Option) error {
	d, err := New(settings, log, opts...)
	if err != nil {
		return err
	}
	if err := d.Listen(); err != nil {
		return err
	}
	return d.Run(ctx)
}

// New assembles a daemon. New binds the peers' address, because the member entry that
// the daemon announces to other hosts contains it.
func New(settings *swsettings.Settings, log zerolog.Logger, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:         settings,
		log:              log,
		clock:            swclock.NewSystem(),
		registry:         prometheus.NewRegistry(),
		eventBroadcaster: swadmin.NewEventBroadcaster(),
		// The start time serves as the incarnation, because a later process of
		// the same host starts at a later time.
		self: swlink.Peer{Host: settings.Host, Incarnation: swid.Incarnation(time.Now().UnixMilli())},
	}
	d.options.abort = context.Background()
	for _, o := range opts {
		o(&d.options)
	}
	d.watcher.clock = d.clock
	if err := d.loadKeys(); err != nil {
		return nil, err
	}
	d.openStore()
	if err := d.buildPeers(); err != nil {
		return nil, err
	}
	d.buildNode()
	return d, nil
}

func (d *Daemon) loadKeys() error {
	onError := func(err error) { d.log.Error().Err(err).Msg("key files not reloaded") }
	for _, k := range []struct {
		keys  **swtls.Keys
		files swsettings.TLS
		name  string
	}{
		{&d.keys.caller, d.settings.Caller.TLS, "caller"},
		{&d.keys.peer, d.settings.Peer.TLS, "peer"},
		{&d.keys.operator, d.settings.Operator.TLS, "operator"},
		{&d.keys.platform, d.settings.Platform.TLS, "platform"},
	} {
		loaded, err := swtls.New(k.files, d.clock, onError)
		if err != nil {
			return errors.Wrapf(err, "load %s keys", k.name)
		}
		*k.keys = loaded
	}
	return nil
}

// Listen binds the callers' and the operators' addresses.
func (d *Daemon) Listen() error {
	listener, err := net.Listen("tcp", d.settings.Operator.Address)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	d.operator = d.keys.operator.Listener(listener)
	return d.node.Listen()
}

// Run serves until ctx ends, and then completes the requests that the host holds, until
// the shutdown timeout expires. When the context of WithAbort ends, Run stops at once, as
// in a crash.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(d.options.abort)
	defer stop()
	defer d.watcher.pollers.Wait()
	tasks := pool.New().WithErrors().WithContext(running).WithCancelOnError()
	tasks.Go(d.network.Run)
	tasks.Go(d.members.Run)
	tasks.Go(func(ctx context.Context) error {
		d.relay.Run(ctx)
		return nil
	})
	tasks.Go(func(ctx context.Context) error {
		d.claims.Run(ctx)
		return nil
	})
	tasks.Go(func(ctx context.Context) error {
		d.orderIssuer.Run(ctx)
		return nil
	})
	tasks.Go(d.serveOperators)
	tasks.Go(d.applyFirstDocument)
	tasks.Go(func(abort context.Context) error {
		defer stop()
		serving, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(abort, cancel)()
		defer context.AfterFunc(serving, d.startShutdown)()
		return d.node.Run(serving, abort)
	})
	return tasks.Wait()
}

// applyFirstDocument applies the document of WithFirstDocument unless the platform has one.
func (d *Daemon) applyFirstDocument(ctx context.Context) error {
	if d.options.firstDocument == nil {
		return nil
	}
	change := swstore.Change{ID: swstore.ChangeID(uuid.NewString()), Document: d.options.firstDocument}
	var conflict *swstore.ConflictError
	if _, err := d.relay.Apply(ctx, change); err != nil && !errors.As(err, &conflict) && ctx.Err() == nil {
		return errors.Wrap(err, "apply the first document")
	}
	return nil
}

// startShutdown starts a graceful shutdown: the host rejects new requests, and other
// hosts become the owners of its cells.
func (d *Daemon) startShutdown() {
	d.SetDraining(true)
	d.members.Leave()
}

// CallerAddress returns the callers' address that Listen bound.
func (d *Daemon) CallerAddress() string { return d.node.Address() }

// PeerAddress returns the peers' address that Listen bound.
func (d *Daemon) PeerAddress() string { return d.network.Address() }
