// Package swid defines the identifiers and units that every other package shares.
package swid

import "strconv"

// HostID names one entry host of the system.
type HostID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, which holds one or more availability zones.
type RegionID string

// OrgID names an organisation.
type OrgID string

// OrgClass groups organisations for metrics, so that the number of label
// values does not grow with the number of organisations.
type OrgClass string

// ServiceID names a service: a model or a plain service that callers address.
type ServiceID string

// TargetID names one target, an engine or a plain service instance.
type TargetID string

// GenerationID names a hardware generation of targets.
type GenerationID string

// CellID names one cell: the targets of one service in one region, or one
// shard of them. Its form is service@region, or service@region#shard.
type CellID string

// RequestID identifies a request in logs, in errors and towards targets.
type RequestID string

// Seq numbers the requests of one holder process.
type Seq uint64

// Incarnation distinguishes the processes that run one after another under the same
// HostID. A later process has a larger incarnation.
type Incarnation uint64

// Attempt numbers the dispatches of one request, from 1.
type Attempt uint32

// Epoch is the term of a cell's owner. A grant of an epoch lower than the
// highest seen for the cell is void.
type Epoch uint64

// ConfigVersion is the version of the environment document in force.
type ConfigVersion uint64

// Tokens counts prompt or output tokens.
type Tokens int64

// Tier is the rank of a request; 0 is the highest tier.
type Tier uint8

// MaxTiers bounds the number of tiers of an environment.
const MaxTiers = 8

// PrefixHash identifies a prompt prefix of a known number of blocks.
type PrefixHash uint64

// Fingerprint identifies the content of a request, so that a request that
// crashes targets is recognised when its caller sends it again.
type Fingerprint uint64

// NewRequestID returns the id of a holder's request.
func NewRequestID(host HostID, incarnation Incarnation, seq Seq) RequestID {
	return RequestID(string(host) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-" + strconv.FormatUint(uint64(seq), 10))
}

// NewCellID returns the id of the unsharded cell of a service in a region.
func NewCellID(service ServiceID, region RegionID) CellID {
	return CellID(string(service) + "@" + string(region))
}
