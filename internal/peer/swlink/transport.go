package swlink

import (
	"context"
	"net"
)

// Transport opens the connections of links.
type Transport interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// WithTransport replaces TCP.
func WithTransport(t Transport) Option { return func(n *Network) { n.transport = t } }

// tcp is the transport over TCP.
type tcp struct{ keepAlive net.KeepAliveConfig }

// noKeepAlive turns off the keep-alive that package net enables by default.
const noKeepAlive = -1

// Listen implements Transport.
func (t tcp) Listen(address string) (net.Listener, error) {
	listen := net.ListenConfig{KeepAlive: noKeepAlive, KeepAliveConfig: t.keepAlive}
	return listen.Listen(context.Background(), "tcp", address)
}

// Dial implements Transport.
func (t tcp) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: noKeepAlive, KeepAliveConfig: t.keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}
