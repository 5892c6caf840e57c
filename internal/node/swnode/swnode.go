// Package swnode assembles the components of one entry host that serve requests: the
// callers' interface, the holder, which keeps requests until their outcome and dispatches
// them, and the owner, which schedules the targets of cells.
package swnode

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/sassafraswing/sassafraswing/internal/caller/swcaller"
	"github.com/sassafraswing/sassafraswing/internal/caller/swcallerconn"
	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/operator/swmetrics"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swpool"
)

// Router determines which host owns a cell.
type Router interface {
	swholder.Router
	swowner.Router
}

// Dependencies holds the dependencies of a Node.
type Dependencies struct {
	Self     swlink.Peer
	Clock    swclock.Clock
	Log      zerolog.Logger
	Sender   swlink.Sender
	Router   Router
	Members  swmember.Source
	Config   swrelay.Source
	Claims   swclaim.Registry
	Watcher  swowner.Watcher
	Adapters swpool.Factory
	Registry prometheus.Registerer
	// CallerTLS is nil if the callers' interface has TLS off.
	CallerTLS *tls.Config
}

// Node serves requests on one entry host.
type Node struct {
	settings *swsettings.Settings
	deps     Dependencies
	metrics  *swmetrics.Metrics
	pool     *swpool.Pool
	holder   *swholder.Holder
	owner    *swowner.Owner
	caller   *swcaller.Server
	intake   *swcallerconn.Intake
	listener net.Listener
}

// New returns a Node. Its Holder and Owner must be connected to the exchange before Run.
func New(settings *swsettings.Settings, deps Dependencies) *Node {
	n := &Node{settings: settings, deps: deps}
	n.metrics = swmetrics.New(deps.Registry)
	n.pool = swpool.New(deps.Adapters)
	n.holder = swholder.New(swholder.Config{
		Host:        deps.Self.Host,
		Incarnation: deps.Self.Incarnation,
		Clock:       deps.Clock,
		Sender:      deps.Sender,
		Router:      deps.Router,
		Targets:     n.pool,
		Claims:      deps.Claims,
		Observer:    n.metrics,
		Log:         deps.Log,
		MaxHeld:     settings.Caller.MaxHeld,
	})
	n.owner = swowner.New(swowner.Config{
		Host:     deps.Self.Host,
		Clock:    deps.Clock,
		Sender:   deps.Sender,
		Router:   deps.Router,
		Members:  deps.Members,
		Watcher:  deps.Watcher,
		Observer: n.metrics,
		Log:      deps.Log,
		NewCore: func(_ swid.CellID, hook func(swcell.Violation)) swowner.Core {
			return swcell.New(swcell.Config{}, swcell.WithViolationHook(hook))
		},
	})
	connections := swroom.LimitOf(settings.Caller.MaxConnections, swcallerconn.Descriptors(0), 0)
	n.intake = swcallerconn.NewIntake(connections, swroom.CapacityOf(0, int64(settings.Caller.MaxBodyBytes)), deps.Clock)
	n.intake.Register(deps.Registry)
	n.caller = swcaller.New(settings.Caller, settings.Region, n.holder, deps.Clock, deps.Log)
	return n
}

// Holder returns the component that holds requests.
func (n *Node) Holder() *swholder.Holder { return n.holder }

// Owner returns the component that owns cells.
func (n *Node) Owner() *swowner.Owner { return n.owner }

// Listen binds the callers' address.
func (n *Node) Listen() error {
	listener, err := net.Listen("tcp", n.settings.Caller.Address)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	listener = swcallerconn.Observe(listener, swcallerconn.Observation{Intake: n.intake, Log: n.deps.Log})
	if n.deps.CallerTLS != nil {
		listener = tls.NewListener(listener, n.deps.CallerTLS)
	}
	n.listener = listener
	n.deps.Log.Info().Int("maxConnections", n.intake.Connections.Limit()).Int64("maxBodyBytesHeld", n.intake.Bodies.Capacity()).
		Msg("listening for callers")
	return nil
}

// Address returns the callers' address that Listen bound.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Run serves until ctx ends, and then finishes the held requests until the shutdown
// timeout expires or abort ends. Listen must have succeeded before.
func (n *Node) Run(ctx, abort context.Context) error {
	runCtx, stop := context.WithCancel(abort)
	defer stop()
	tasks := pool.New().WithErrors()
	tasks.Go(func() error {
		n.owner.Run(runCtx)
		return nil
	})
	n.subscribe()
	server := n.caller.HTTP()
	tasks.Go(func() error {
		if err := server.Serve(n.listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	<-ctx.Done()
	if err := n.shutdown(abort, server); err != nil {
		n.deps.Log.Warn().Err(err).Msg("shutdown cut requests that were still held")
	}
	stop()
	return tasks.Wait()
}

// Configured reports whether the node has applied a document.
func (n *Node) Configured() bool { return n.caller.Configured() }

// subscribe applies each new document to the node's components.
func (n *Node) subscribe() {
	n.deps.Config.Subscribe(func(current swrelay.CurrentDocument) {
		if current.Document == nil {
			return
		}
		n.metrics.Configure(current.Document)
		n.pool.Configure(current.Document)
		n.owner.Configure(current.Document)
		n.caller.Configure(current.Document)
		n.deps.Log.Info().Uint64("version", uint64(current.Version)).Msg("configuration in force")
	})
}

// answerMargin is how long before the end of the shutdown timeout the holder ends the remaining
// requests, so that their callers get an answer.
const answerMargin = 250 * swclock.Millis(1)

// shutdown rejects new requests, finishes the held ones and closes the callers' connections. It ends
// the requests that still run answerMargin before the end of the shutdown timeout.
func (n *Node) shutdown(abort context.Context, server *http.Server) error {
	ctx, cancel := context.WithTimeout(abort, n.settings.ShutdownTimeout.Duration())
	defer cancel()
	ending := time.AfterFunc((n.settings.ShutdownTimeout - answerMargin).Duration(), n.endAll)
	defer ending.Stop()
	if err := n.holder.Drain(ctx); err != nil {
		_ = server.Close() // the timeout has expired or abort ended: cuts off the remaining requests
		return errors.Wrap(err, "finish held requests")
	}
	return server.Shutdown(ctx)
}

// endAll ends the requests that are still held because the shutdown timeout is about to expire.
func (n *Node) endAll() {
	n.deps.Log.Warn().Int("held", n.holder.Held()).Msg("ending the requests that are still held")
	n.holder.EndAll()
}
