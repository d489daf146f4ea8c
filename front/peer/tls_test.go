package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// authority is a certificate authority for tests.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.key, a.cert = a.issue(t, "authority", &x509.Certificate{IsCA: true, KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true})
	return a
}

// issue writes name.pem and name-key.pem. The certificate is signed by the
// authority, or self-signed if the authority has no certificate yet.
func (a *authority) issue(t *testing.T, name string, c *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c.SerialNumber = big.NewInt(1)
	c.NotBefore = time.Now().Add(-time.Hour)
	c.NotAfter = time.Now().Add(time.Hour)
	parent, signer := c, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, name+".pem", "CERTIFICATE", der)
	a.write(t, name+"-key.pem", "EC PRIVATE KEY", secret)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return key, cert
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// config returns the configuration of an instance that trusts the authority.
func (a *authority) config(t *testing.T, name string) *tls.Config {
	t.Helper()
	a.issue(t, name, &x509.Certificate{
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	config, err := LoadTLS(TLSFiles{
		Certificate: filepath.Join(a.dir, name+".pem"),
		PrivateKey:  filepath.Join(a.dir, name+"-key.pem"),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(own.config(t, "server"), log)
	s.Handle("ping", func(context.Context, json.RawMessage) (any, error) { return "pong", nil })
	l, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Serve(ctx, l) }()
	withoutCert := own.config(t, "client").Clone()
	withoutCert.Certificates = nil
	tests := []struct {
		desc   string
		config *tls.Config
		ok     bool
	}{
		{"certificate of the authority", own.config(t, "client"), true},
		{"certificate of another authority", foreign.config(t, "client"), false},
		{"no certificate", withoutCert, false},
		{"no TLS", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := NewClient(tt.config, time.Minute)
			defer c.Close()
			var got string
			err := c.Call(ctx, l.Addr().String(), "ping", nil, &got)
			if tt.ok != (err == nil) || tt.ok && got != "pong" {
				t.Errorf("Call = %q, %v, want success %v", got, err, tt.ok)
			}
		})
	}
}
