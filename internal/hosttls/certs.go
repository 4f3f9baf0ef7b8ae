package hosttls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

// clockSkewTolerance is how far a host's clock may lag behind that of the issuer while
// it still accepts a new certificate.
const clockSkewTolerance = time.Hour

// serialNumberBits is the length of a certificate's serial number, in bits.
const serialNumberBits = 128

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority that signs the certificates of hosts.
type Authority struct {
	KeyPair
	cert *x509.Certificate
	key  any
}

// NewAuthority creates a self-signed authority that is valid from now for validity.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	template, err := newTemplate("godwitbend hosts", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := newKeyPair(template, nil)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(*pair)
}

// LoadAuthority returns the authority with the given certificate and key.
func LoadAuthority(pair KeyPair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate authority")
	}
	if !loaded.Leaf.IsCA {
		return nil, eris.New("the certificate does not belong to a certificate authority")
	}
	return &Authority{KeyPair: pair, cert: loaded.Leaf, key: loaded.PrivateKey}, nil
}

// Issue creates a key and certificate for a host with the addresses ips, valid from
// now for validity, but not beyond the expiry of the authority.
func (a *Authority) Issue(host string, ips []netip.Addr, now time.Time, validity time.Duration) (*KeyPair, error) {
	template, err := newTemplate(host, now, validity)
	if err != nil {
		return nil, err
	}
	if template.NotAfter.After(a.cert.NotAfter) {
		template.NotAfter = a.cert.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.AsSlice()))
	}
	return newKeyPair(template, a)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(validity),
	}, nil
}

// newKeyPair generates a key and a certificate from template, signed by a, or
// self-signed if a is nil.
func newKeyPair(template *x509.Certificate, a *Authority) (*KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate a private key")
	}
	parent, signer := template, any(key)
	if a != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, eris.Wrap(err, "sign the certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode the private key")
	}
	return &KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
