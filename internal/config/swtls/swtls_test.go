package swtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// authority signs certificates for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func sign(t *testing.T, template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		t.Fatal(err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) authority {
	template := &x509.Certificate{Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	key := newKey(t)
	return authority{certificate: sign(t, template, template, &key.PublicKey, key), key: key}
}

// write writes a new key, a certificate for it signed by the authority, and the
// authority's certificate into a directory.
func (a authority) write(t *testing.T, dir string) swsettings.TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: "host"},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate := sign(t, template, a.certificate, &key.PublicKey, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := swsettings.TLS{
		CertificateFile: filepath.Join(dir, "host.crt"),
		KeyFile:         filepath.Join(dir, "host.key"),
		AuthorityFile:   filepath.Join(dir, "authority.crt"),
	}
	writePEM(t, files.CertificateFile, "CERTIFICATE", certificate.Raw)
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", der)
	writePEM(t, files.AuthorityFile, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	// A later modification time makes the change detectable if the file system's times are coarse.
	stamp := time.Now().Add(time.Duration(time.Now().UnixNano() % int64(time.Hour)))
	if err := os.Chtimes(path, stamp, stamp); err != nil {
		t.Fatal(err)
	}
}

func newKeys(t *testing.T, files swsettings.TLS, clock swclock.Clock) *Keys {
	t.Helper()
	k, err := New(files, clock, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// exchange connects a client to a server, and writes to and reads from the connection.
// It returns the client's error.
func exchange(t *testing.T, server, client *Keys) error {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := server.Listener(plain)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte{1}) // the client notices a failure
	}()
	c, err := client.Dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte("a first record")); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

func TestMutual(t *testing.T) {
	clock := &swclock.Manual{}
	ours, other := newAuthority(t), newAuthority(t)
	server := newKeys(t, ours.write(t, t.TempDir()), clock)
	otherFiles := other.write(t, t.TempDir())
	mixedFiles := otherFiles // trusts our authority, but its own certificate is signed by another
	mixedFiles.AuthorityFile = server.files.AuthorityFile
	tests := []struct {
		name    string
		client  *Keys
		refused bool
	}{
		{"same authority", newKeys(t, ours.write(t, t.TempDir()), clock), false},
		{"other authority", newKeys(t, otherFiles, clock), true},
		{"certificate of another authority", newKeys(t, mixedFiles, clock), true},
		{"plain", newKeys(t, swsettings.TLS{Off: true}, clock), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := exchange(t, server, tt.client); (err != nil) != tt.refused {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestNoClientCertificate checks that a server refuses a client without a
// certificate, unless the server has no authority file.
func TestNoClientCertificate(t *testing.T) {
	clock := &swclock.Manual{}
	files := newAuthority(t).write(t, t.TempDir())
	client := newKeys(t, files, clock)
	client.loaded.certificate.Certificate = nil
	if err := exchange(t, newKeys(t, files, clock), client); err == nil {
		t.Error("a client without a certificate was accepted")
	}
	files.AuthorityFile = ""
	if err := exchange(t, newKeys(t, files, clock), client); err != nil {
		t.Errorf("a server without an authority: %v", err)
	}
}

// TestReload checks that a server reloads its files once they are replaced by those
// of another authority, and keeps the earlier keys while the files are incomplete.
func TestReload(t *testing.T) {
	clock := &swclock.Manual{}
	dir := t.TempDir()
	before, after := newAuthority(t), newAuthority(t)
	server := newKeys(t, before.write(t, dir), clock)
	client := newKeys(t, after.write(t, t.TempDir()), clock)
	if err := exchange(t, server, client); err == nil {
		t.Fatal("accepted before the change")
	}
	if err := os.WriteFile(server.files.KeyFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	clock.Advance(checkInterval)
	if m := server.current(); len(m.certificate.Certificate) == 0 {
		t.Fatal("incomplete files replaced the earlier keys")
	}
	after.write(t, dir)
	clock.Advance(checkInterval)
	if err := exchange(t, server, client); err != nil {
		t.Errorf("after the change: %v", err)
	}
}

func TestMissingFile(t *testing.T) {
	if _, err := New(swsettings.TLS{CertificateFile: "none.crt", KeyFile: "none.key"}, &swclock.Manual{}, nil); err == nil {
		t.Error("loaded files that do not exist")
	}
}
