// Package swid defines the identifiers and units that the other packages share.
package swid

import (
	"fmt"
	"strconv"
)

// HostID identifies an entry host of the system.
type HostID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, which has one or more availability zones.
type RegionID string

// OrgID identifies an organisation.
type OrgID string

// OrgClass groups organisations for metrics, so that the number of label
// values does not grow with the number of organisations.
type OrgClass string

// ServiceID identifies a service that callers address: a model or a plain service.
type ServiceID string

// TargetID identifies a target: an engine or an instance of a plain service.
type TargetID string

// SoftwareVersion is the version of the software that a target runs. What two versions write does not fit
// together in one stream.
type SoftwareVersion string

// GenerationID identifies a hardware generation of targets.
type GenerationID string

// CellID identifies a cell: the targets of one service in one region, or one shard
// of them. Its form is service@region or service@region#shard.
type CellID string

// RequestID identifies a request in logs, in errors and in calls to targets.
type RequestID string

// Seq is the sequence number of a request within one process of its holder.
type Seq uint64

// Incarnation distinguishes the successive processes of a HostID. A later process has
// a larger incarnation.
type Incarnation uint64

// Attempt is the number of an attempt of a request, from 1.
type Attempt uint32

// Epoch is the term of a cell's owner. A host that takes over a cell uses an epoch
// higher than every one that it has received for the cell.
type Epoch uint64

// ConfigVersion is a version of the environment document.
type ConfigVersion uint64

// Tokens counts prompt or output tokens.
type Tokens int64

// RequestRate is a number of requests a second.
type RequestRate float64

// Tier is the rank of a request; 0 is the highest tier.
type Tier uint8

// MaxTiers is the maximum number of tiers of an environment.
const MaxTiers = 8

// PrefixHash identifies a prompt prefix of a known number of blocks.
type PrefixHash uint64

// String returns the hash as it is written to logs.
func (p PrefixHash) String() string { return strconv.FormatUint(uint64(p), 16) }

// PromptScope identifies the route and the model of a request. The effect of a part of a prompt on
// targets may differ between two of them.
type PromptScope uint32

// Fingerprint identifies the content of a request, so that a request that
// crashes targets is recognised when its caller sends it again.
type Fingerprint uint64

// String returns the fingerprint as it is written to logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// NewRequestID returns the id of a holder's request.
func NewRequestID(host HostID, incarnation Incarnation, seq Seq) RequestID {
	return RequestID(string(host) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-" + strconv.FormatUint(uint64(seq), 10))
}

// NewCellID returns the id of the unsharded cell of a service in a region.
func NewCellID(service ServiceID, region RegionID) CellID {
	return CellID(string(service) + "@" + string(region))
}
