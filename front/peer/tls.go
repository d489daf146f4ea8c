package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLSFiles names the PEM files for mutual TLS between instances.
type TLSFiles struct {
	// Certificate is this instance's certificate.
	Certificate string
	// PrivateKey is the key of the certificate.
	PrivateKey string
	// Authority signs the certificates of all instances.
	Authority string
}

// AuthorityError reports an authority file without a usable certificate.
type AuthorityError struct {
	// File is the path of the authority's file.
	File string
}

// Error implements error.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s contains no valid PEM certificate", e.File)
}

// LoadTLS returns the TLS configuration of clients and servers, or nil if f is
// empty. Both sides must present a certificate signed by the authority.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.PrivateKey)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &AuthorityError{File: f.Authority}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}
