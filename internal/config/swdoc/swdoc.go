// Package swdoc defines the environment document: the tiers, organisations,
// services and targets that operators apply.
package swdoc

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Document describes one environment. A Document returned by Parse is valid and must not be modified.
type Document struct {
	// Name is for display only, for example as the owner in the list of models. It does
	// not identify the environment, since the same document serves trial and production.
	Name          string
	Regions       []Region
	Tiers         []Tier // highest first, at most swid.MaxTiers
	Organisations []Organisation
	Generations   []Generation
	Services      []Service
	Targets       []Target
}

// Region is a region and its availability zones.
type Region struct {
	ID    swid.RegionID
	Zones []swid.ZoneID
}

// Tier is a priority class of requests. Its rank is its index in Document.Tiers.
type Tier struct {
	Name string
	// Deadline applies to requests that do not specify one.
	Deadline swclock.Millis
}

// Organisation is a paying organisation and its API keys.
type Organisation struct {
	ID    swid.OrgID
	Class swid.OrgClass
	// Weight is the organisation's share relative to others; positive.
	Weight float64
	// KeyHashes holds the SHA-256 of each API key, in lower-case hexadecimal.
	KeyHashes []string
	// HighestTier is the highest tier that the organisation may request.
	HighestTier swid.Tier
}

// Generation holds the initial speed estimates for a hardware generation.
type Generation struct {
	ID          swid.GenerationID
	PrefillRate float64 // tokens a second
	DecodeRate  float64 // tokens a second of one stream
}

// ServiceKind distinguishes models from plain services.
type ServiceKind uint8

// Kinds of service.
const (
	KindModel ServiceKind = iota + 1
	KindPlain
)

// Service is what callers address: a model name, or a set of routes.
type Service struct {
	ID   swid.ServiceID
	Kind ServiceKind
	// OutputTokens is assumed for a request without a limit of its own (models).
	OutputTokens swid.Tokens
	// ServiceTime is the initial estimate of a call's duration (plain services).
	ServiceTime swclock.Millis
	// Routes is empty for models.
	Routes []Route
}

// Route is one endpoint of a plain service.
type Route struct {
	Method string
	// Path is an httprouter pattern, below /services/<service>.
	Path       string
	Idempotent bool
}

// FencingMode says whether a target refuses an order whose fencing number is outdated.
type FencingMode uint8

// Modes of fencing.
const (
	FencingHonoured FencingMode = iota + 1
	FencingIgnored
)

// Target is one engine or one instance of a plain service.
type Target struct {
	ID         swid.TargetID
	Service    swid.ServiceID
	Zone       swid.ZoneID
	Generation swid.GenerationID // empty for plain services
	URL        string
	Slots      int
	KVTokens   swid.Tokens // 0: no bound
	Draining   bool
	// Born identifies one start of the target, and changes if the target restarts under
	// the same ID. The owner then discards the cache contents, the rates and the count of
	// unanswered attempts that it recorded for the target. Born is 0 if unknown; Parse does
	// not set it.
	Born int64
	// Version is that of the target's software; empty if unknown. Parse does not set it.
	Version swid.SoftwareVersion
	// Warmup is the time for which the target is still slow after its start; Parse does not set it.
	Warmup swclock.Millis
	// ChecksCaller is set if the target itself authenticates the sender of an order.
	ChecksCaller bool
	Fencing      FencingMode
}

// RegionOf returns the region of an availability zone.
func (d *Document) RegionOf(zone swid.ZoneID) (swid.RegionID, bool) {
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.ID, true
			}
		}
	}
	return "", false
}
