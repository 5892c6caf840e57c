package swlink

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Defaults of the limits and times in Config.
const (
	DefaultProbeInterval = 400 * swclock.Millis(1)
	DefaultProbeTimeout  = 600 * swclock.Millis(1)
	DefaultReplyDelay    = 100 * swclock.Millis(1)
	DefaultDialTimeout   = 500 * swclock.Millis(1)
	// DefaultHandshakeTimeout leaves time for the handshakes of all other hosts.
	DefaultHandshakeTimeout = 3 * swclock.Second
	DefaultIdleTimeout      = 5 * swclock.Minute
	// DefaultStreamTimeout leaves time for data to be sent again after a silence of two seconds.
	DefaultStreamTimeout = 3 * swclock.Second
	DefaultQueueLength   = 1024
	DefaultMaxPeers      = 4096
)

// Limits and times that Config does not set.
const (
	// minRetryDelay and maxRetryDelay bound the wait after a failed dial.
	minRetryDelay = 50 * swclock.Millis(1)
	maxRetryDelay = swclock.Second
	// watchInterval is the time between two checks of all links.
	watchInterval = 50 * swclock.Millis(1)
	// loggedDelay is the delay of this process's own timer from which it is logged: it explains late
	// answers of this host, and answers of others that it reads late.
	loggedDelay = 150 * swclock.Millis(1)
	// streamBacklog is the number of further streams of a link that may wait to be accepted.
	streamBacklog = 16
	// batchBytes is the size in bytes from which a batch is written without adding further messages.
	batchBytes = 32 << 10
)

// ErrNoTLS means that neither WithTLS, WithTLSFrom nor WithoutTLS was given.
var ErrNoTLS = errors.New("peer links need a TLS configuration, or TLS turned off explicitly")

// Config holds a network's identity, limits and times. A limit or time that is
// zero takes its default, if it has one.
type Config struct {
	Self Peer
	// Address is the IP:port on which the network listens for other hosts.
	Address string
	// QueueLength bounds the messages that are queued for one peer.
	QueueLength int
	// MaxPeers bounds the hosts that the network keeps state for.
	MaxPeers int
	// ProbeInterval is the shortest time between two round-trip probes of a link.
	// A link is probed only while it has sent messages that no probe has confirmed.
	ProbeInterval swclock.Millis
	// ProbeTimeout is how long a probe may stay unanswered before the link is replaced.
	ProbeTimeout swclock.Millis
	// ReplyDelay is how long the reply to a probe may wait to be sent with a batch of messages.
	// It must be shorter than ProbeTimeout.
	ReplyDelay swclock.Millis
	// DialTimeout bounds connecting, and the exchange of Hello with a host whose last link fell
	// silent.
	DialTimeout swclock.Millis
	// HandshakeTimeout bounds the exchange of Hello with any other host, on both sides.
	HandshakeTimeout swclock.Millis
	// IdleTimeout is how long a link may carry no message before the host that dialled it closes it.
	IdleTimeout swclock.Millis
	// StreamTimeout is how long the further streams of a link that was lost go on without a sign of life of the peer.
	StreamTimeout swclock.Millis
	// KeepAlive configures TCP keep-alive, which ends a broken link even if
	// nothing is sent on it. The zero value leaves keep-alive off.
	KeepAlive net.KeepAliveConfig
	// ServeStream, if not nil, serves a further stream that a peer opened on the link, in a goroutine of its
	// own. It closes the stream. Peers learn that this host accepts streams when the link comes up.
	ServeStream func(peer Peer, stream net.Conn)
	// BatchDelay is how long the first message of a batch waits for others; 0 sends at once.
	BatchDelay swclock.Millis
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	c.QueueLength = orDefault(c.QueueLength, DefaultQueueLength)
	c.MaxPeers = orDefault(c.MaxPeers, DefaultMaxPeers)
	c.ProbeInterval = orDefault(c.ProbeInterval, DefaultProbeInterval)
	c.ProbeTimeout = orDefault(c.ProbeTimeout, DefaultProbeTimeout)
	c.ReplyDelay = orDefault(c.ReplyDelay, DefaultReplyDelay)
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.HandshakeTimeout = orDefault(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.StreamTimeout = orDefault(c.StreamTimeout, DefaultStreamTimeout)
	return c
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T int | swclock.Millis](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Resolver returns the peer address of a host.
type Resolver func(host swid.HostID) (address string, ok bool)

// Option configures a Network at its creation.
type Option func(*Network)

// WithTLS makes every link mutual TLS: both sides present a certificate and
// verify the other's. The configuration is not modified.
func WithTLS(config *tls.Config) Option {
	server := config.Clone()
	server.ClientAuth = tls.RequireAndVerifyClientCert
	if server.ClientCAs == nil {
		server.ClientCAs = server.RootCAs
	}
	client := config.Clone()
	return WithTLSFrom(server, func() *tls.Config { return client })
}

// WithTLSFrom makes every link mutual TLS with keys that may be replaced while
// the network runs. The server configuration must require a client certificate.
// The client function is called for each connection that this host dials; the
// configuration that it returns is not modified.
func WithTLSFrom(server *tls.Config, client func() *tls.Config) Option {
	return func(n *Network) { n.security = security{configured: true, server: server, client: client} }
}

// WithoutTLS turns TLS off.
func WithoutTLS() Option {
	return func(n *Network) { n.security = security{configured: true} }
}

// WithLogger sets the logger for links that come up or are lost, and for failed connections.
func WithLogger(logger zerolog.Logger) Option {
	return func(n *Network) { n.logger = logger }
}

// WithConnWrapper wraps every raw connection, for example to count its bytes or to inject faults.
func WithConnWrapper(wrap func(net.Conn) net.Conn) Option {
	return func(n *Network) { n.wrap = wrap }
}

// security holds the TLS configurations of the server and client side; both are nil when TLS is off.
type security struct {
	// configured is set once WithTLS, WithTLSFrom or WithoutTLS was applied.
	configured bool
	server     *tls.Config
	// client returns the configuration for one connection.
	client func() *tls.Config
}

// wrapClient adds TLS, unless it is off, to a connection that this host dialled.
func (s security) wrapClient(c net.Conn) net.Conn {
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

// wrapServer adds TLS, unless it is off, to a connection that another host dialled.
func (s security) wrapServer(c net.Conn) net.Conn {
	if s.server == nil {
		return c
	}
	return tls.Server(c, s.server)
}
