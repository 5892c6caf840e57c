// Package swadmin serves a daemon's HTTP API for operators: status, the
// environment document, draining, orders to engines, events, health and metrics.
package swadmin

import (
	"context"

	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Node is the daemon whose state the API reports and changes.
type Node interface {
	// Status returns the host's current state.
	Status() Status
	// Ready returns nil if the host accepts new requests, or the reason why it does not.
	Ready() error
	// SetDraining makes the host stop or resume accepting new requests.
	SetDraining(draining bool)
}

// DocumentEditor reads and changes the environment document; swrelay.Relay implements it.
type DocumentEditor interface {
	// Current returns the document in force on this host.
	Current() swrelay.CurrentDocument
	// Document returns the newest document in the platform and its version, which is 0 if there is none.
	Document(ctx context.Context) (swid.ConfigVersion, []byte, error)
	// Apply applies a change and returns the resulting version. It returns the errors of swstore.Store.Apply.
	Apply(ctx context.Context, c swstore.Change) (swid.ConfigVersion, error)
}

// Status is the state of one host, with its view of the targets and the other hosts.
type Status struct {
	Host     swid.HostID
	Zone     swid.ZoneID
	Region   swid.RegionID
	Version  swid.ConfigVersion
	Draining bool
	Targets  []TargetStatus
	Cells    []CellStatus
	Members  []MemberStatus
}

// TargetStatus is this host's view of a target.
type TargetStatus struct {
	ID      swid.TargetID
	Service swid.ServiceID
	Zone    swid.ZoneID
	// State is active or draining.
	State string
	// Running is the number of this host's requests on the target.
	Running int
}

// CellStatus is the state of a cell that this host owns. A cell is the targets
// of one service in one region, scheduled together.
type CellStatus struct {
	ID    swid.CellID
	Epoch swid.Epoch
	Tiers []TierStatus
}

// TierStatus holds the numbers of waiting and running requests of one tier in a cell.
type TierStatus struct {
	Tier    string
	Waiting int
	Running int
}

// MemberStatus is this host's view of an entry host, which may be itself.
type MemberStatus struct {
	Host swid.HostID
	Zone swid.ZoneID
	// State is alive, suspect, leaving or dead.
	State string
	// Version is the version of the document in force on that host, as last received; 0 if unknown.
	Version swid.ConfigVersion
}
