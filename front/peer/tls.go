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

// AuthorityError says that a file holds no usable certificate.
type AuthorityError struct {
	// File is the path of the authority's file.
	File string
}

// Error implements error.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s holds no certificate", e.File)
}

// LoadTLS returns the configuration of both ends, or nil when no file is
// named. Both ends prove themselves by a certificate of the authority.
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
