package swlink

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Default limits and times of a Network.
const (
	DefaultHeartbeat        = 400 * swclock.Millis(1)
	DefaultHeartbeatTimeout = 600 * swclock.Millis(1)
	DefaultReplyDelay       = 100 * swclock.Millis(1)
	DefaultDialTimeout      = 500 * swclock.Millis(1)
	DefaultIdleTimeout      = 5 * swclock.Minute
	DefaultQueueLength      = 1024
	DefaultMaxPeers         = 4096
)

// Limits that are not configured.
const (
	// minRetryDelay and maxRetryDelay bound the wait after a failed dial.
	minRetryDelay = 50 * swclock.Millis(1)
	maxRetryDelay = swclock.Second
	// watchInterval is the time between two checks of all links.
	watchInterval = 50 * swclock.Millis(1)
	// batchBytes is the size from which a batch is written without waiting for more.
	batchBytes = 32 << 10
)

// ErrNoTLS means that neither WithTLS nor WithoutTLS was given.
var ErrNoTLS = errors.New("peer links need a TLS configuration, or TLS turned off explicitly")

// Config holds a network's identity, limits and times. A zero limit or time
// stands for its default.
type Config struct {
	Self Peer
	// Address is the IP:port that other hosts dial.
	Address string
	// QueueLength bounds the messages that wait for one peer.
	QueueLength int
	// MaxPeers bounds the hosts that the network keeps state for.
	MaxPeers int
	// Heartbeat is the shortest time between two round-trip probes of a link.
	// A link is probed only while there is data that no probe has confirmed.
	Heartbeat swclock.Millis
	// HeartbeatTimeout is how long a probe may stay unanswered before the link is replaced.
	HeartbeatTimeout swclock.Millis
	// ReplyDelay is how long the answer to a probe may wait for a batch to travel in.
	// It is shorter than HeartbeatTimeout.
	ReplyDelay swclock.Millis
	// DialTimeout bounds connecting and the exchange of Hello.
	DialTimeout swclock.Millis
	// IdleTimeout closes a link that carried no message for that long.
	IdleTimeout swclock.Millis
	// KeepAlive has the operating system probe links without data, so that one
	// which went silent ends although nothing is sent. The zero value leaves it off.
	KeepAlive net.KeepAliveConfig
	// BatchDelay is how long the first message of a batch waits for others; 0 sends at once.
	BatchDelay swclock.Millis
}

// withDefaults fills in the defaults.
func (c Config) withDefaults() Config {
	c.QueueLength = orDefault(c.QueueLength, DefaultQueueLength)
	c.MaxPeers = orDefault(c.MaxPeers, DefaultMaxPeers)
	c.Heartbeat = orDefault(c.Heartbeat, DefaultHeartbeat)
	c.HeartbeatTimeout = orDefault(c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	c.ReplyDelay = orDefault(c.ReplyDelay, DefaultReplyDelay)
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	return c
}

// noKeepAlive turns the operating system's probes off, as net does it.
const noKeepAlive = -1

func orDefault[T int | swclock.Millis](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// Resolver returns the peer address of a host.
type Resolver func(host swid.HostID) (address string, ok bool)

// Option changes how a network is set up.
type Option func(*Network)

// WithTLS makes every link mutual TLS: both sides present a certificate and
// verify the other's. The configuration is not changed.
func WithTLS(config *tls.Config) Option {
	server := config.Clone()
	server.ClientAuth = tls.RequireAndVerifyClientCert
	if server.ClientCAs == nil {
		server.ClientCAs = server.RootCAs
	}
	client := config.Clone()
	return WithTLSFrom(server, func() *tls.Config { return client })
}

// WithTLSFrom makes every link mutual TLS with keys that may be replaced. The
// server's configuration must require a client's certificate; client is called
// for each connection that this host dials, and its result is not changed.
func WithTLSFrom(server *tls.Config, client func() *tls.Config) Option {
	return func(n *Network) { n.security = security{chosen: true, server: server, client: client} }
}

// WithoutTLS turns TLS off.
func WithoutTLS() Option {
	return func(n *Network) { n.security = security{chosen: true} }
}

// WithLogger logs links that come and go.
func WithLogger(logger zerolog.Logger) Option {
	return func(n *Network) { n.logger = logger }
}

// WithConn wraps every raw connection, for example to count or to disturb it.
func WithConn(wrap func(net.Conn) net.Conn) Option {
	return func(n *Network) { n.wrap = wrap }
}

// security holds the TLS configurations of the two ends; both are nil when TLS is off.
type security struct {
	chosen bool
	server *tls.Config
	// client returns the configuration for one connection.
	client func() *tls.Config
}

// dialled wraps a connection that this host dialled.
func (s security) dialled(c net.Conn) net.Conn {
	if s.client == nil {
		return c
	}
	config := s.client()
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(c.RemoteAddr().String())
	}
	return tls.Client(c, config)
}

// accepted wraps a connection that another host dialled.
func (s security) accepted(c net.Conn) net.Conn {
	if s.server == nil {
		return c
	}
	return tls.Server(c, s.server)
}
