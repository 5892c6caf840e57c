// Package swadmin serves the operators' HTTP interface of a daemon: status,
// the environment document, draining, events, health and metrics.
package swadmin

import (
	"context"

	"github.com/sassafraswing/sassafraswing/internal/config/swrelay"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Node is what the interface needs of the daemon.
type Node interface {
	// Status returns the host's present state.
	Status() Status
	// Ready returns nil if the host takes new requests, or why it does not.
	Ready() error
	// SetDraining makes the host stop or resume taking new requests.
	SetDraining(draining bool)
}

// Configurer reads and changes the environment document; swrelay.Relay implements it.
type Configurer interface {
	// Current returns the document in force on this host.
	Current() swrelay.InForce
	// Document returns the newest document in the platform; its version is 0 if there is none.
	Document(ctx context.Context) (swid.ConfigVersion, []byte, error)
	// Apply makes a change; its errors are those of swstore.Store.Apply.
	Apply(ctx context.Context, c swstore.Change) (swid.ConfigVersion, error)
}

// Status is the state of one host, as it sees itself and the others.
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

// TargetStatus is a target as this host sees it.
type TargetStatus struct {
	ID      swid.TargetID
	Service swid.ServiceID
	Zone    swid.ZoneID
	// State is active, draining or down.
	State string
	// Running counts this host's requests on the target.
	Running int
}

// CellStatus is a cell that this host owns.
type CellStatus struct {
	ID    swid.CellID
	Epoch swid.Epoch
	Tiers []TierStatus
}

// TierStatus counts a cell's requests of one tier.
type TierStatus struct {
	Tier    string
	Waiting int
	Running int
}

// MemberStatus is another entry host, or this one.
type MemberStatus struct {
	Host swid.HostID
	Zone swid.ZoneID
	// State is alive, suspect, leaving or dead.
	State string
	// Version is the document's version in force there, as last heard; 0 if unknown.
	Version swid.ConfigVersion
}
