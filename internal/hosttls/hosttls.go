// Package hosttls secures the connections between hosts with mutual TLS and issues
// their certificates.
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

// handshakeTimeout limits the TLS handshake of an accepted connection.
const handshakeTimeout = 5 * time.Second

// Network accepts connections from other hosts and dials them.
type Network struct {
	// config is nil if connections are in plaintext.
	config *tls.Config
	dialer net.Dialer
}

// New returns a Network with the settings s. It reads the certificate files once, so
// replaced files take effect only after a restart.
func New(s settings.TLS) (*Network, error) {
	if s.Plaintext {
		return &Network{}, nil
	}
	certificate, err := loadCertificate(s)
	if err != nil {
		return nil, err
	}
	pool, err := LoadCertPool(s.CAFile)
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
	return certificate, eris.Wrap(err, "load the host certificate")
}

// LoadCertPool returns the certificate authorities in the PEM file at path.
func LoadCertPool(path string) (*x509.CertPool, error) {
	authorities, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, eris.Errorf("%s contains no certificate", path)
	}
	return pool, nil
}

// WrapOperatorListener wraps the operators' listener l in TLS if s enables it. Client
// certificates are not requested: operators authenticate with a key.
func WrapOperatorListener(l net.Listener, s settings.TLS) (net.Listener, error) {
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

// Listen listens for connections from other hosts on address, an IP:port. Unless
// connections are in plaintext, Accept returns only those whose peer has presented a
// certificate signed by the authority.
func (n *Network) Listen(address string) (net.Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for connections from hosts")
	}
	if n.config == nil {
		return raw, nil
	}
	return newListener(raw, n.config), nil
}

// Dial connects to the host at address, an IP:port. The peer's certificate must
// include that IP.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.config == nil {
		return n.dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{NetDialer: &n.dialer, Config: n.config}
	return dialer.DialContext(ctx, "tcp", address)
}
