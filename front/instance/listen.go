package instance

import (
	"crypto/tls"
	"net"
)

// listenCallers opens the listener for callers, with TLS if the settings name a
// certificate.
func listenCallers(s CallerSettings) (net.Listener, error) {
	if s.Certificate == "" {
		return net.Listen("tcp", s.Listen)
	}
	pair, err := tls.LoadX509KeyPair(s.Certificate, s.PrivateKey)
	if err != nil {
		return nil, err
	}
	return tls.Listen("tcp", s.Listen, &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"http/1.1"},
	})
}
