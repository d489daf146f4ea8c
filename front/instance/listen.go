package instance

import (
	"crypto/tls"
	"net"

	"github.com/cardamomfront/cardamomfront/front/linger"
)

// listenCallers opens the listener for callers, with TLS if the settings name a
// certificate.
func listenCallers(s CallerSettings, closer *linger.Closer) (net.Listener, error) {
	if s.Certificate == "" {
		return listen(s.Listen, closer)
	}
	pair, err := tls.LoadX509KeyPair(s.Certificate, s.PrivateKey)
	if err != nil {
		return nil, err
	}
	l, err := listen(s.Listen, closer)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"http/1.1"},
	}), nil
}

// listen opens a listener whose connections are closed in stages.
func listen(addr string, closer *linger.Closer) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return closer.Listener(l), nil
}
