// Package swtls builds TLS configurations from key files, and reads the files
// again when they change, so that keys are replaced without a restart.
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

// checkInterval is the least time between two looks at the files.
const checkInterval = swclock.Second

// Keys holds the keys that files name. It is safe for concurrent use.
type Keys struct {
	files swsettings.TLS
	clock swclock.Clock
	// onError is told of files that cannot be used; the earlier keys stay.
	onError func(error)

	mutex     sync.Mutex
	checkedAt swclock.Millis
	stamps    [3]stamp
	loaded    material
}

// stamp tells whether a file changed.
type stamp struct {
	modified time.Time
	size     int64
}

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	// authority is nil if no file names one.
	authority *x509.CertPool
}

// New loads the keys. With TLS off it loads nothing, and connections stay plain.
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

// Server returns a configuration that uses the present keys in each handshake,
// or nil if TLS is off. Where the files name an authority, a client needs a
// certificate that it signed.
func (k *Keys) Server() *tls.Config {
	if k.Off() {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.present().server(), nil
		},
	}
}

// Client returns a configuration of the present keys for one connection, or nil if TLS is off.
func (k *Keys) Client() *tls.Config {
	if k.Off() {
		return nil
	}
	m := k.present()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}
}

// Listener returns a listener that speaks TLS, or the same one if TLS is off.
func (k *Keys) Listener(l net.Listener) net.Listener {
	if k.Off() {
		return l
	}
	return tls.NewListener(l, k.Server())
}

// Dial connects with the present keys, or plainly if TLS is off. The other side's certificate must name the host of the address.
func (k *Keys) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if k.Off() {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	return (&tls.Dialer{Config: k.Client()}).DialContext(ctx, network, address)
}

// server configures one handshake. Tickets are off, so that each connection is
// checked against the present authority.
func (m material) server() *tls.Config {
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

// present returns the keys, after a look at the files if one is due.
func (k *Keys) present() material {
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

// reload reads changed files. Files that do not fit together yet are tried again.
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

func (k *Keys) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range []string{k.files.CertificateFile, k.files.KeyFile, k.files.AuthorityFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "look at key file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (k *Keys) load() (material, error) {
	var m material
	var err error
	if m.certificate, err = tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile); err != nil {
		return m, errors.Wrap(err, "load certificate and key")
	}
	if k.files.AuthorityFile == "" {
		return m, nil
	}
	data, err := os.ReadFile(k.files.AuthorityFile)
	if err != nil {
		return m, errors.Wrap(err, "read authority")
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(data) {
		return m, errors.Errorf("no certificate in %s", k.files.AuthorityFile)
	}
	return m, nil
}
