// Package swtls builds TLS configurations from key files, and reloads the files
// when they change, so that keys can be replaced without a restart.
package swtls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = swclock.Second

// Keys holds the certificate, the key and the authority loaded from key files. It
// is safe for concurrent use.
type Keys struct {
	files swsettings.TLS
	clock swclock.Clock
	// onError is called if the files cannot be checked, or cannot be loaded after a change.
	// The earlier keys stay in use.
	onError func(error)

	mutex     sync.Mutex
	checkedAt swclock.Millis
	stamps    [3]fileStamp
	loaded    keyMaterial
}

// fileStamp holds the attributes by which a change of a file is detected.
type fileStamp struct {
	modified time.Time
	size     int64
}

// keyMaterial is the parsed content of the key files.
type keyMaterial struct {
	certificate tls.Certificate
	// authority holds the CA certificates that verify the other side. It is nil if there
	// is no authority file; clients then use the CA certificates of the system.
	authority *x509.CertPool
}

// New loads the keys. If TLS is off, it loads nothing and connections are not encrypted.
func New(files swsettings.TLS, clock swclock.Clock, onError func(error)) (*Keys, error) {
	k := &Keys{files: files, clock: clock, onError: onError, checkedAt: clock.Now()}
	if files.Off {
		return k, nil
	}
	var err error
	if k.stamps, err = k.stat(); err != nil {
		return nil, err
	}
	if k.loaded, err = k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// Off reports whether TLS is off.
func (k *Keys) Off() bool { return k.files.Off }

// Server returns a configuration that uses the current keys in each handshake,
// or nil if TLS is off. If there is an authority file, a client must present a
// certificate signed by that authority.
func (k *Keys) Server() *tls.Config {
	if k.Off() {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current().serverConfig(), nil
		},
	}
}

// Client returns a configuration with the current keys for one connection, or nil if TLS is off.
func (k *Keys) Client() *tls.Config {
	if k.Off() {
		return nil
	}
	m := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}
}

// Listener wraps a listener in TLS, or returns it unchanged if TLS is off.
func (k *Keys) Listener(l net.Listener) net.Listener {
	if k.Off() {
		return l
	}
	return tls.NewListener(l, k.Server())
}

// Dial connects with the current keys, or without TLS if it is off. The other
// side's certificate must be valid for the host of the address.
func (k *Keys) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if k.Off() {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	return (&tls.Dialer{Config: k.Client()}).DialContext(ctx, network, address)
}

// serverConfig returns the server's configuration for one handshake. Session
// tickets are disabled, so that each connection is verified against the current
// authority.
func (m keyMaterial) serverConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.certificate},
		SessionTicketsDisabled: true,
	}
	if m.authority != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.authority
	}
	return c
}

// current returns the keys. It first reloads changed files if a check is due.
func (k *Keys) current() keyMaterial {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock.Now()
	if now-k.checkedAt < checkInterval {
		return k.loaded
	}
	k.checkedAt = now
	if err := k.reload(); err != nil {
		k.onError(err)
	}
	return k.loaded
}

// reload loads the files if they changed. If it fails, for example because only
// some of the files have been replaced yet, the next check tries again.
func (k *Keys) reload() error {
	stamps, err := k.stat()
	if err != nil || stamps == k.stamps {
		return err
	}
	loaded, err := k.load()
	if err != nil {
		return err
	}
	k.stamps = stamps
	k.loaded = loaded
	return nil
}

func (k *Keys) stat() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range []string{k.files.CertificateFile, k.files.KeyFile, k.files.AuthorityFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "check key file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (k *Keys) load() (keyMaterial, error) {
	var m keyMaterial
	var err error
	if m.certificate, err = tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile); err != nil {
		return m, errors.Wrap(err, "load certificate and key")
	}
	if k.files.AuthorityFile == "" {
		return m, nil
	}
	data, err := os.ReadFile(k.files.AuthorityFile)
	if err != nil {
		return m, errors.Wrap(err, "read authority file")
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(data) {
		return m, errors.Errorf("no certificate in %s", k.files.AuthorityFile)
	}
	return m, nil
}
