// Package hosttls secures the connections between hosts by mutual TLS, and makes
// the certificates for it.
package hosttls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/settings"
)

// handshakeTimeout bounds the TLS handshake of an accepted connection.
const handshakeTimeout = 5 * time.Second

// Network listens for and dials other hosts.
type Network struct {
	// config is nil for plaintext.
	config *tls.Config
	dialer net.Dialer
}

// New returns the network that s describes. It reads the certificates once: new
// files are in use after a restart.
func New(s settings.TLS) (*Network, error) {
	if s.Plaintext {
		return &Network{}, nil
	}
	certificate, err := loadCertificate(s)
	if err != nil {
		return nil, err
	}
	pool, err := LoadPool(s.CAFile)
	if err != nil {
		return nil, err
	}
	return &Network{config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}}, nil
}

func loadCertificate(s settings.TLS) (tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	return certificate, eris.Wrap(err, "load the certificate of the host")
}

// LoadPool returns the certificate authorities in the PEM file at path.
func LoadPool(path string) (*x509.CertPool, error) {
	authorities, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, eris.Errorf("%s holds no certificate", path)
	}
	return pool, nil
}

// SecureOperators returns the operators' listener l with TLS if s asks for it.
// Operators show a key, not a certificate.
func SecureOperators(l net.Listener, s settings.TLS) (net.Listener, error) {
	if !s.Operators {
		return l, nil
	}
	certificate, err := loadCertificate(s)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
	}), nil
}

// Listen listens for other hosts on address, an IP:port. Accept returns only
// connections whose peer has shown a certificate of the authority.
func (n *Network) Listen(address string) (net.Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for hosts")
	}
	if n.config == nil {
		return raw, nil
	}
	return newListener(raw, n.config), nil
}

// Dial connects to the host at address, an IP:port. The peer's certificate must
// hold that IP.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.config == nil {
		return n.dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{NetDialer: &n.dialer, Config: n.config}
	return dialer.DialContext(ctx, "tcp", address)
}
