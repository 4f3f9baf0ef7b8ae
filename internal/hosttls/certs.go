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

// clockAllowance is the difference between clocks under which a new certificate is
// valid at once.
const clockAllowance = time.Hour

// serialBits is the length of a certificate's serial number, in bits.
const serialBits = 128

// Pair is a certificate and its private key, each as PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Authority signs the certificates of hosts.
type Authority struct {
	Pair
	cert *x509.Certificate
	key  any
}

// NewAuthority makes an authority that is valid from now for the time valid.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	template, err := newTemplate("godwitbend hosts", now, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, nil)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(*pair)
}

// LoadAuthority returns the authority of a pair.
func LoadAuthority(pair Pair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate authority")
	}
	if !loaded.Leaf.IsCA {
		return nil, eris.New("the certificate is not of an authority")
	}
	return &Authority{Pair: pair, cert: loaded.Leaf, key: loaded.PrivateKey}, nil
}

// Issue makes the certificate of a host with the addresses ips, valid from now for
// the time valid but not longer than the authority.
func (a *Authority) Issue(host string, ips []netip.Addr, now time.Time, valid time.Duration) (*Pair, error) {
	template, err := newTemplate(host, now, valid)
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
	return sign(template, a)
}

func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "make a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockAllowance),
		NotAfter:     now.Add(valid),
	}, nil
}

// sign makes a key and a certificate for template, signed by a, or by itself if a is nil.
func sign(template *x509.Certificate, a *Authority) (*Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make a key")
	}
	parent, signer := template, any(key)
	if a != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, eris.Wrap(err, "sign a certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode a key")
	}
	return &Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
