package swdaemon

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

const (
	// statusTimeout bounds the wait for the state of the owned cells.
	statusTimeout = swclock.Second
	// operatorHeaderTimeout limits the time to read the header of an operator's request.
	operatorHeaderTimeout = 10 * swclock.Second
)

var errDraining = errors.New("the host is draining")

var errNoDocument = errors.New("no environment document is in force")

// serveOperators serves the operators' interface until ctx ends.
func (d *Daemon) serveOperators(ctx context.Context) error {
	server := &http.Server{Handler: d.admin, ReadHeaderTimeout: operatorHeaderTimeout.Duration()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // operators can retry at another host
	defer stop()
	if err := server.Serve(d.operator); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}

// Ready implements swadmin.Node.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return errDraining
	}
	// This checks the node instead of the relay, because the relay notifies the node of
	// a document some time after receiving it.
	if !d.node.Configured() {
		return errNoDocument
	}
	return nil
}

// SetDraining implements swadmin.Node. A draining host accepts no new requests and
// completes those that it holds.
func (d *Daemon) SetDraining(draining bool) {
	if d.draining.Swap(draining) == draining {
		return
	}
	if draining {
		d.node.Holder().StopAccepting()
	} else {
		d.node.Holder().Accept()
	}
	d.publish(swadmin.EventDraining, string(d.settings.Host), map[bool]string{true: "draining", false: "taking requests"}[draining])
}

func (d *Daemon) publish(kind swadmin.EventKind, subject, text string) {
	d.eventBroadcaster.Publish(swadmin.Event{At: d.clock.Now(), Kind: kind, Subject: subject, Text: text})
}

// Status implements swadmin.Node.
func (d *Daemon) Status() swadmin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout.Duration())
	defer cancel()
	current := d.relay.Current()
	s := swadmin.Status{
		Host:     d.settings.Host,
		Zone:     d.settings.Zone,
		Region:   d.settings.Region,
		Version:  current.Version,
		Draining: d.draining.Load(),
		Members:  d.memberStatus(),
	}
	if current.Document == nil {
		return s
	}
	s.Targets = d.targetStatus(current.Document)
	for _, c := range d.node.Owner().Status(ctx) {
		s.Cells = append(s.Cells, cellStatus(c, current.Document.Tiers))
	}
	return s
}

func (d *Daemon) targetStatus(document *swdoc.Document) []swadmin.TargetStatus {
	running := d.node.Holder().Running()
	statuses := make([]swadmin.TargetStatus, 0, len(document.Targets))
	for _, t := range document.Targets {
		s := swadmin.TargetStatus{ID: t.ID, Service: t.Service, Zone: t.Zone, State: "active", Running: running[t.ID]}
		if t.Draining {
			s.State = "draining"
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func cellStatus(c swowner.CellStatus, tiers []swdoc.Tier) swadmin.CellStatus {
	s := swadmin.CellStatus{ID: c.Cell, Epoch: c.Epoch}
	for i, count := range c.Snapshot.Tiers {
		if i < len(tiers) {
			s.Tiers = append(s.Tiers, swadmin.TierStatus{Tier: tiers[i].Name, Waiting: count.Waiting, Running: count.Running})
		}
	}
	return s
}

// memberStateNames has the names of member states that operators see.
var memberStateNames = map[swmsg.MemberState]string{
	swmsg.MemberAlive:   "alive",
	swmsg.MemberSuspect: "suspect",
	swmsg.MemberLeaving: "leaving",
	swmsg.MemberDead:    "dead",
}

// versionOf returns the document version in force on a host, or 0 if this host has
// received no heartbeat from it.
func (d *Daemon) versionOf(host swid.HostID) swid.ConfigVersion {
	if host == d.settings.Host {
		return d.relay.Current().Version
	}
	if v, found := d.versions.Load(host); found {
		return v.(swid.ConfigVersion) // recordVersion stores no other type
	}
	return 0
}

func (d *Daemon) memberStatus() []swadmin.MemberStatus {
	members := d.members.Members()
	statuses := make([]swadmin.MemberStatus, 0, len(members))
	for _, m := range members {
		statuses = append(statuses, swadmin.MemberStatus{
			Host: m.Host, Zone: m.Zone, State: memberStateNames[m.State], Version: d.versionOf(m.Host),
		})
	}
	return statuses
}
