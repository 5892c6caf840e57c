// Package swsettings defines a daemon's own settings: its location, its addresses
// and its limits. Operators change other configuration while the daemon runs:
// package swdoc defines it or, for a host with Fleet settings, package swcatalog.
package swsettings

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Settings holds the settings of one daemon.
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
	// ShutdownTimeout bounds a graceful shutdown; connections still open then are closed.
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
	// HeaderTimeout and BodyTimeout bound reading from a slow caller; WriteTimeout bounds one write to a slow caller.
	HeaderTimeout swclock.Millis
	BodyTimeout   swclock.Millis
	WriteTimeout  swclock.Millis
}

// Peer configures the links between entry hosts.
type Peer struct {
	Address string // IP:port, also the address in the platform's host list
	TLS     TLS
	// Heartbeat is the shortest time between two round-trip probes of a link. A link is probed
	// only while it has sent messages that no probe has confirmed.
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
	// Environment is the name under which the document and the claims are stored.
	Environment string
	Timeout     swclock.Millis
}

// Fleet configures a host that follows the platform's store. The values are the
// guarantees that the platform's operators give to their users.
type Fleet struct {
	// Adapter is the name of the adapter that translates between the platform's
	// protocols and this program.
	Adapter string
	// ReadinessAddress is the IP:port at which the platform queries whether the host accepts callers.
	ReadinessAddress string
	// ApplyWithin bounds the time for which a host uses an outdated configuration.
	ApplyWithin swclock.Millis
	// RevokeWithin bounds the time for which a removed API key is accepted, also
	// by a host that cannot reach the store; 0 sets no bound.
	RevokeWithin swclock.Millis
	// TargetHeartbeat is the interval at which a target renews its entry. The
	// platform drops an entry that is not renewed for three intervals.
	TargetHeartbeat swclock.Millis
	// ReregisterWithin is the time within which a target registers a lapsed entry again
	// after an outage of the store.
	ReregisterWithin swclock.Millis
	// QuotaWindow is the window over which an organisation's usage is bounded.
	QuotaWindow swclock.Millis
	// QuotaOverage and QuotaSlack are the operators' tolerance for an organisation's
	// usage above its quota in a window: a fraction of the quota, and an absolute amount.
	QuotaOverage float64
	QuotaSlack   float64
	// RetryWindow, RetryRatio and RetryReserve bound retries: within RetryWindow, all hosts
	// together send at most RetryRatio times a service's requests plus RetryReserve.
	RetryWindow  swclock.Millis
	RetryRatio   float64
	RetryReserve float64
	// ProcessorShare is the part of a core that this process may use, and Cores the number of
	// times that a core is as fast as a usual one. LinkMegabits is the bandwidth of the host's
	// link in Mbit/s. A host whose ProcessorShare or LinkMegabits is 0 does not tell its size.
	ProcessorShare float64
	Cores          float64
	LinkMegabits   float64
	// MemoryMegabytes is the memory that this process may use, in MB; 0 if it is not known.
	MemoryMegabytes float64
	// Rollout is zero if roll-outs are not in force.
	Rollout Rollout
	// FileDescriptors is the number of descriptors that this process may have open; 0 if only the limit of the process bounds it.
	FileDescriptors int
}

// Rollout bounds what a software version may get before it is known to be sound.
type Rollout struct {
	// MaxShare and Slack bound its requests: a fraction of the service's requests, and an absolute number.
	MaxShare float64
	Slack    int
	// RollbackWithin is the time after its 50th bad answer from which a version must get nothing.
	RollbackWithin swclock.Millis
}

// Enabled reports whether roll-outs are in force.
func (r Rollout) Enabled() bool { return r.RollbackWithin > 0 }

// Orders configures the orders that hosts send to engines, such as loading a model.
type Orders struct {
	// TokenFile holds the bearer token for targets that check their caller; it may be empty.
	TokenFile string
	// LoadInterval is the minimum time between two load orders in a region.
	LoadInterval swclock.Millis
	// AnswerTimeout bounds the time until an engine has carried out an order.
	AnswerTimeout swclock.Millis
}

// TLS names the key files. They are read again when they change.
type TLS struct {
	// Off disables TLS. It must be set explicitly, and cannot be combined with the files.
	Off             bool
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the CA certificates that must have signed the other side's certificate.
	AuthorityFile string
}

// Log configures the log.
type Log struct {
	Level string // debug, info, warn or error
}
