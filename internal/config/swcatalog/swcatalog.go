// Package swcatalog defines what operators configure through the platform's
// store: routes, services, organisations and limits, and the targets and hosts
// that register themselves there.
package swcatalog

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
)

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	// Version increases with each change; a host never goes back to a lower one.
	Version       swid.ConfigVersion
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// RouteKind says whether a route's requests may run more than once, and whether
// their answers are streams.
type RouteKind uint8

// Kinds of route.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota + 1
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	KindStream
)

// Route maps the requests for one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name to which callers send the requests, in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may be continued at another target.
	Resumable bool
	// Public requests are not authenticated: an API key is neither required nor checked.
	Public bool
	// Timeout is the longest time that a request may take; 0 sets no bound.
	Timeout swclock.Millis
	// Objective is the time within which the operator wants the answer, or a stream's first event, to arrive.
	Objective swclock.Millis
	// AbandonAfter is the time without output after which callers abandon a stream; 0 if they never do.
	AbandonAfter swclock.Millis
	// MaxEventGap is the longest pause between two events with which a stream is still on time.
	MaxEventGap swclock.Millis
	Tier        swid.Tier
	// Attempts bounds the number of targets that one request may be sent to; at least 1.
	Attempts int
	// Shares has at least one service.
	Shares []Share
}

// Share gives the proportion of a route's requests that a service receives.
type Share struct {
	Service swid.ServiceID
	// Weight is not negative; a service of weight 0 gets requests only if all others have 0, too.
	Weight float64
}

// Service is a set of targets that run the same requests.
type Service struct {
	ID         swid.ServiceID
	HealthPath string
	// MaxConnections bounds the connections to one target, all hosts together; 0 sets no bound.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine processes at once.
	Slots    int
	KVTokens swid.Tokens
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens swid.Tokens
	// MaxCacheWaiters bounds the clients that may wait for an engine's cache events at the same time.
	MaxCacheWaiters int
}

// Organisation is the party to which requests are accounted. Its callers authenticate
// with Keys.
type Organisation struct {
	ID   swid.OrgID
	Keys []string
	// Tier takes precedence over the route's if HasTier is set.
	Tier    swid.Tier
	HasTier bool
	Quota   Quota
}

// Quota bounds an organisation's use over all hosts and services.
type Quota struct {
	// Rate is in units a second; 0 sets no bound.
	Rate  float64
	Burst float64
	// CountsTokens is set if the unit is tokens rather than requests.
	CountsTokens bool
	// DefaultTokens is charged for a request without token counts if the unit is tokens.
	DefaultTokens swid.Tokens
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout swclock.Millis
	IdleTimeout   swclock.Millis
}

// Target is one engine, or one instance of a plain service, as it registered itself.
type Target struct {
	ID      swid.TargetID
	Service swid.ServiceID
	Zone    swid.ZoneID
	// Address is IP:port. Another target may reuse it once this one has stopped.
	Address string
	Slots   int
	// Draining targets take no new requests.
	Draining bool
	// Born identifies one start of the target, and changes if the target restarts under
	// the same ID. The owner then discards the cache contents, the rates and the count of
	// unanswered attempts that it recorded for the target. Born is 0 if unknown.
	Born int64
	// Version is that of the target's software, which has nothing to do with the weights of its models.
	Version swid.SoftwareVersion
	// WarmupRemaining is the time for which the target is still slow after its start.
	WarmupRemaining swclock.Millis
}

// Host is an entry host as it registered itself.
type Host struct {
	ID      swid.HostID
	Zone    swid.ZoneID
	Region  swid.RegionID
	Address string // of peer links, IP:port
	// Incarnation counts the starts of the host's process.
	Incarnation swid.Incarnation
	Size        swelect.Size
}

// Rollout is an operator's order to move a service to another software version, with what the store keeps of it.
type Rollout struct {
	Order swrollout.Order
	// Record is zero if the entry has none, or that of another order.
	Record swrollout.Record
}
