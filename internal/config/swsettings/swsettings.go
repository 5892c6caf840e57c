// Package swsettings defines a daemon's own settings: its place, its addresses
// and its limits. What operators change while it runs is in package swdoc.
package swsettings

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Settings are those of one daemon.
type Settings struct {
	Host   swid.HostID
	Zone   swid.ZoneID
	Region swid.RegionID

	Caller   Caller
	Peer     Peer
	Operator Operator
	Platform Platform
	Orders   Orders
	Log      Log
	// Fleet is set for a host whose configuration and targets are kept in the
	// platform's store, and nil otherwise.
	Fleet *Fleet
	// ShutdownTimeout bounds a graceful shutdown; what still runs then is cut.
	ShutdownTimeout swclock.Millis
}

// Caller configures the interface for callers.
type Caller struct {
	Address string // IP:port
	TLS     TLS
	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxConnections and MaxHeld bound open connections and held requests.
	MaxConnections int
	MaxHeld        int
	// HeaderTimeout and BodyTimeout bound a slow sender; WriteTimeout bounds one write to a slow reader.
	HeaderTimeout swclock.Millis
	BodyTimeout   swclock.Millis
	WriteTimeout  swclock.Millis
}

// Peer configures the links between entry hosts.
type Peer struct {
	Address string // IP:port, also the address in the platform's host list
	TLS     TLS
	// Heartbeat is the interval between two heartbeats on a link.
	Heartbeat swclock.Millis
}

// Operator configures the interface for operators, metrics and health.
type Operator struct {
	Address string // IP:port
	TLS     TLS
}

// Platform configures the platform's object API.
type Platform struct {
	URL string
	// TLS is off if and only if the URL's scheme is http.
	TLS TLS
	// Environment is the name under which the document and the claims are kept.
	Environment string
	Timeout     swclock.Millis
}

// Fleet configures a host that follows the platform's store. The figures are
// the platform operators' promises to their users.
type Fleet struct {
	// Adapter names what translates between the platform's protocols and the product.
	Adapter string
	// ReadinessAddress is the IP:port at which the platform asks whether the host takes callers.
	ReadinessAddress string
	// ApplyWithin bounds the time for which a host acts on an older configuration.
	ApplyWithin swclock.Millis
	// RevokeWithin bounds the time for which a removed API key is accepted, also
	// by a host that does not reach the store; 0 sets no bound.
	RevokeWithin swclock.Millis
	// TargetHeartbeat is the time in which a target renews its entry. The platform
	// drops one that is silent for three of them.
	TargetHeartbeat swclock.Millis
	// ReturnWithin is how soon after the store's return a lapsed entry is back.
	ReturnWithin swclock.Millis
	// QuotaWindow is the window over which an organisation's use is bounded.
	QuotaWindow swclock.Millis
	// QuotaOverage and QuotaSlack are the operators' tolerance for the use of an
	// organisation over a window: a share of the quota, and an amount.
	QuotaOverage float64
	QuotaSlack   float64
	// Retries of a service within RetryWindow are bounded by RetryRatio of its
	// requests and RetryReserve, over all hosts.
	RetryWindow  swclock.Millis
	RetryRatio   float64
	RetryReserve float64
}

// Orders configures orders to engines.
type Orders struct {
	// TokenFile holds the bearer token for targets that check their caller; it may be empty.
	TokenFile string
	// LoadInterval is the least time between two orders to load in a region.
	LoadInterval swclock.Millis
	// AnswerTimeout bounds the time until an engine has carried out an order.
	AnswerTimeout swclock.Millis
}

// TLS names key files. Files are read again when they change.
type TLS struct {
	// Off disables TLS; it must be set explicitly, and excludes the files.
	Off             bool
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that the other side's must be signed by.
	AuthorityFile string
}

// Log configures the log.
type Log struct {
	Level string // debug, info, warn or error
}
