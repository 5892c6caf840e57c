package swdaemon

import (
	"runtime/debug"
	"strconv"

	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swexchange"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/target/swcall"
	"github.com/sassafraswing/sassafraswing/internal/target/swopenai"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// buildPeers builds the network of links to other hosts, the member list and the
// configuration relay, and binds the peers' address.
func (d *Daemon) buildPeers() error {
	d.exchange = swexchange.New(d.self)
	security := swlink.WithoutTLS()
	if !d.keys.peer.Off() {
		security = swlink.WithTLSFrom(d.keys.peer.Server(), d.keys.peer.Client)
	}
	links := append([]swlink.Option{security, swlink.WithLogger(d.log)}, d.options.links...)
	d.network = swlink.New(swlink.Config{
		Self:          d.self,
		Address:       d.settings.Peer.Address,
		ProbeInterval: d.settings.Peer.Heartbeat,
	}, d.clock, d.resolve, d.exchange, links...)
	if err := d.network.Listen(); err != nil {
		return err
	}
	d.members = swmember.New(swmember.Config{
		Self: swmember.Member{
			Host:        d.settings.Host,
			Incarnation: d.self.Incarnation,
			Zone:        d.settings.Zone,
			Region:      d.settings.Region,
			Address:     d.network.Address(),
			State:       swmsg.MemberAlive,
		},
		ConfigVersion: func() swid.ConfigVersion { return d.relay.Current().Version },
		OnPeerVersion: d.recordVersion,
		Log:           d.log,
	}, d.store, d.exchange, d.clock)
	d.relay = swrelay.New(swrelay.Config{
		Host:        d.settings.Host,
		Zone:        d.settings.Zone,
		Environment: d.settings.Platform.Environment,
		Timeout:     d.settings.Platform.Timeout,
		Log:         d.log,
	}, d.store, d.members, d.exchange, d.clock)
	return nil
}

// resolve returns a host's peer address.
func (d *Daemon) resolve(host swid.HostID) (string, bool) { return d.members.Resolve(host) }

// buildNode builds the node, which serves requests, and the operators' interface, and
// connects all components.
func (d *Daemon) buildNode() {
	d.router = swnode.NewRouter(d.settings.Host, d.settings.Region, d.network, d.clock, d.log)
	d.node = swnode.New(d.settings, swnode.Dependencies{
		Self:      d.self,
		Clock:     d.clock,
		Log:       d.log,
		Sender:    d.exchange,
		Router:    d.router,
		Members:   d.members,
		Config:    d.relay,
		Claims:    d.claims,
		Watcher:   &d.watcher,
		Adapters:  d.newAdapter,
		Registry:  d.registry,
		CallerTLS: d.keys.caller.Server(),
	})
	d.exchange.OnLinkUp(d.node.Owner().LinkUp)
	d.exchange.Connect(d.network, d.linkDown, d.node.Holder(), d.node.Owner(), d.members, d.relay)
	d.registry.MustRegister(d.network, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.members.Subscribe(d.membersChanged)
	d.relay.Subscribe(d.configChanged)
	admin := swadmin.NewHandler(d, d.relay, d.eventBroadcaster, d.registry, d.log)
	admin.ServeOrders(d)
	d.admin = admin
}

// newAdapter returns the adapter for a target of the given kind of service.
func (d *Daemon) newAdapter(t swdoc.Target, kind swdoc.ServiceKind) swtarget.Adapter {
	if kind == swdoc.KindPlain {
		return swcall.New(t.URL, d.clock)
	}
	return swopenai.New(t.URL, d.clock)
}

// linkDown handles a failed dial, for which the peer has no incarnation, and the loss of
// an established link. In both cases the members count a failure of the host, and the
// holder repeats the grant requests (requests for permission to dispatch) whose replies
// may have been lost. The router skips the host only after a failed dial: the loss of an
// established link, for example because a probe was not answered in time, is weak evidence
// that the host is down. After such a loss, the owner recovers from lost messages too.
func (d *Daemon) linkDown(peer swlink.Peer) {
	if peer.Incarnation == 0 {
		d.router.MarkUnreachable(peer.Host)
	} else {
		d.node.Owner().LinkDown(peer)
	}
	d.members.LinkDown(peer)
	d.node.Holder().LinkDown(peer.Host)
}

// membersChanged updates the router and reports dead host processes to this host's owner
// component, which removes their waiting requests from its cells. The holder component then
// sends its pending grant requests to the new owners of their cells.
func (d *Daemon) membersChanged(members []swmember.Member) {
	d.router.SetMembers(members)
	for _, m := range members {
		if m.State == swmsg.MemberDead && m.Incarnation != 0 {
			d.node.Owner().HolderDied(swlink.Peer{Host: m.Host, Incarnation: m.Incarnation})
		}
	}
	d.node.Holder().Reroute()
}

// recordVersion records the document version from a host's heartbeat and passes it to the relay.
func (d *Daemon) recordVersion(from swid.HostID, v swid.ConfigVersion) {
	d.versions.Store(from, v)
	d.relay.ReceiveVersion(from, v)
}

// largeDocumentOrgs is the number of organisations from which parsing a document
// leaves so much garbage that the memory is returned to the operating system at once.
const largeDocumentOrgs = 1000

// configChanged publishes an event when a new version of the document is in force.
func (d *Daemon) configChanged(f swrelay.CurrentDocument) {
	if f.Document != nil && len(f.Document.Organisations) >= largeDocumentOrgs {
		debug.FreeOSMemory()
	}
	d.publish(swadmin.EventVersion, strconv.FormatUint(uint64(f.Version), 10), "in force")
}
