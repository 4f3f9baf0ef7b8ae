package hosttls_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/hosttls"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// fixture creates authorities and networks, with their files in a temporary directory.
type fixture struct {
	*WithT
	dir string
}

func newFixture(t *testing.T) *fixture { return &fixture{NewWithT(t), t.TempDir()} }

func (f *fixture) authority() *hosttls.Authority {
	a, err := hosttls.NewAuthority(time.Now(), time.Hour)
	f.Expect(err).NotTo(HaveOccurred())
	return a
}

// settings returns the settings of a host with a certificate for ip signed by a.
func (f *fixture) settings(a *hosttls.Authority, ip string, issued time.Time) settings.TLS {
	pair, err := a.Issue("host", []netip.Addr{netip.MustParseAddr(ip)}, issued, time.Hour)
	f.Expect(err).NotTo(HaveOccurred())
	dir, err := os.MkdirTemp(f.dir, "")
	f.Expect(err).NotTo(HaveOccurred())
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		f.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
		return path
	}
	return settings.TLS{
		CAFile: write("ca.pem", a.Cert), CertFile: write("cert.pem", pair.Cert), KeyFile: write("key.pem", pair.Key),
	}
}

func (f *fixture) network(s settings.TLS) *hosttls.Network {
	n, err := hosttls.New(s)
	f.Expect(err).NotTo(HaveOccurred())
	return n
}

// echo listens on 127.0.0.1 and echoes the data of every accepted connection.
func (f *fixture) echo(t *testing.T, n *hosttls.Network) net.Listener {
	l, err := n.Listen("127.0.0.1:0")
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return l
}

// exchange sends a text to address and waits for its echo.
func exchange(n *hosttls.Network, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := n.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	text := []byte("longer than a TLS record's header")
	if _, err := conn.Write(text); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, len(text)))
	return err
}

func TestHostsOfOneAuthorityConnect(t *testing.T) {
	f := newFixture(t)
	a := f.authority()
	server := f.network(f.settings(a, "127.0.0.1", time.Now()))
	client := f.network(f.settings(a, "127.0.0.2", time.Now()))
	l := f.echo(t, server)

	idle, err := net.Dial("tcp", l.Addr().String())
	f.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = idle.Close() }()
	f.Expect(exchange(client, l.Addr().String())).To(Succeed())
	f.Expect(exchange(client, l.Addr().String())).To(Succeed())
	f.Expect(l.Close()).To(Succeed())
	_, err = l.Accept()
	f.Expect(err).To(MatchError(net.ErrClosed))
}

func TestInvalidPeerCertificateRefused(t *testing.T) {
	f := newFixture(t)
	a, other := f.authority(), f.authority()
	good := f.network(f.settings(a, "127.0.0.1", time.Now()))
	l := f.echo(t, good)
	address := l.Addr().String()

	f.Expect(exchange(f.network(f.settings(other, "127.0.0.1", time.Now())), address)).NotTo(Succeed())
	f.Expect(exchange(f.network(f.settings(a, "127.0.0.1", time.Now().Add(-3*time.Hour))), address)).NotTo(Succeed())
	wrongIssuer := f.settings(other, "127.0.0.1", time.Now())
	wrongIssuer.CAFile = f.settings(a, "127.0.0.1", time.Now()).CAFile
	f.Expect(exchange(f.network(wrongIssuer), address)).NotTo(Succeed())
	f.Expect(exchange(f.network(settings.TLS{Plaintext: true}), address)).NotTo(Succeed())

	withoutCertificate, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_, err = withoutCertificate.Read(make([]byte, 1))
		_ = withoutCertificate.Close()
	}
	f.Expect(err).To(HaveOccurred())
	f.Expect(exchange(good, address)).To(Succeed())
}

func TestServerAddressMismatchRefused(t *testing.T) {
	f := newFixture(t)
	a := f.authority()
	l := f.echo(t, f.network(f.settings(a, "127.0.0.9", time.Now())))
	client := f.network(f.settings(a, "127.0.0.1", time.Now()))
	f.Expect(exchange(client, l.Addr().String())).To(MatchError(ContainSubstring("127.0.0.9")))
}

func TestOperatorListenerTLS(t *testing.T) {
	f := newFixture(t)
	s := f.settings(f.authority(), "127.0.0.1", time.Now())
	for _, secured := range []bool{true, false} {
		s.Operators = secured
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		f.Expect(err).NotTo(HaveOccurred())
		l, err := hosttls.WrapOperatorListener(raw, s)
		f.Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.NotFoundHandler()}
		t.Cleanup(func() { _ = server.Close() })
		go func() { _ = server.Serve(l) }()
		pool, err := hosttls.LoadCertPool(s.CAFile)
		f.Expect(err).NotTo(HaveOccurred())
		client := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
		response, err := client.Get("https://" + raw.Addr().String())
		if !secured {
			f.Expect(err).To(HaveOccurred())
			continue
		}
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		f.Expect(response.Body.Close()).To(Succeed())
	}
}

func TestPlaintext(t *testing.T) {
	f := newFixture(t)
	n := f.network(settings.TLS{Plaintext: true})
	f.Expect(exchange(n, f.echo(t, n).Addr().String())).To(Succeed())
}

func TestInvalidFilesRefused(t *testing.T) {
	f := newFixture(t)
	s := f.settings(f.authority(), "127.0.0.1", time.Now())
	invalid := s
	invalid.CAFile = s.KeyFile
	_, err := hosttls.New(invalid)
	f.Expect(err).To(HaveOccurred())
	invalid = s
	invalid.CertFile = s.CAFile
	_, err = hosttls.New(invalid)
	f.Expect(err).To(HaveOccurred())
	invalid = s
	invalid.CAFile = filepath.Join(f.dir, "absent")
	_, err = hosttls.New(invalid)
	f.Expect(err).To(HaveOccurred())
}
