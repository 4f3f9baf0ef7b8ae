package ctl

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/hosttls"
)

// Default lifetimes of certificates.
const (
	day            = 24 * time.Hour
	authorityValid = 3650 * day
	hostValid      = 365 * day
)

// Names of the files of the authority, and endings of those of a host.
const (
	authorityCert = "ca.pem"
	authorityKey  = "ca-key.pem"
	certEnding    = ".pem"
	keyEnding     = "-key.pem"
)

// certHost is a host that gets a certificate.
type certHost struct {
	name string
	ips  []netip.Addr
}

// certsCommand makes certificates in a directory.
type certsCommand struct {
	*command
	dir   string
	hosts []string
	valid time.Duration
	renew bool
}

// certOutput is the JSON form of one file that was made.
type certOutput struct {
	File string `json:"file"`
}

func (c *command) addCerts(app *kingpin.Application) {
	clause := app.Command("certs", "Make the certificate authority of a fleet, if the directory has none, and certificates of hosts.")
	r := &certsCommand{command: c}
	clause.Flag("dir", "Directory of the files. Keep "+authorityKey+" off the hosts.").Required().StringVar(&r.dir)
	clause.Flag("host", "Host that gets a certificate, as NAME=IP[,IP]; may be repeated.").Required().StringsVar(&r.hosts)
	clause.Flag("valid", "Lifetime of the certificates of hosts.").Default(hostValid.String()).DurationVar(&r.valid)
	clause.Flag("renew", "Replace certificates that exist.").BoolVar(&r.renew)
	c.does(clause, r.run)
}

func (r *certsCommand) run() error {
	hosts, err := parseCertHosts(r.hosts)
	if err != nil {
		return err
	}
	if err := r.checkAbsent(hosts); err != nil {
		return err
	}
	now := time.Now()
	authority, files, err := r.authority(now)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		pair, err := authority.Issue(h.name, h.ips, now, r.valid)
		if err != nil {
			return err
		}
		cert, key := r.paths(h)
		if err := writePair(pair, cert, key); err != nil {
			return err
		}
		files = append(files, certOutput{cert}, certOutput{key})
	}
	return r.print(files, func() table { return certTable(files) })
}

func (r *certsCommand) paths(h certHost) (cert, key string) {
	return filepath.Join(r.dir, h.name+certEnding), filepath.Join(r.dir, h.name+keyEnding)
}

// checkAbsent refuses to replace a file unless the operator asks for it.
func (r *certsCommand) checkAbsent(hosts []certHost) error {
	if r.renew {
		return nil
	}
	for _, h := range hosts {
		cert, key := r.paths(h)
		for _, path := range []string{cert, key} {
			if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
				return invalid("%s exists; --renew replaces it", path)
			}
		}
	}
	return nil
}

// authority loads the authority of the directory, or makes it.
func (r *certsCommand) authority(now time.Time) (*hosttls.Authority, []certOutput, error) {
	certPath, keyPath := filepath.Join(r.dir, authorityCert), filepath.Join(r.dir, authorityKey)
	cert, errCert := os.ReadFile(certPath)
	key, errKey := os.ReadFile(keyPath)
	if errors.Is(errCert, fs.ErrNotExist) && errors.Is(errKey, fs.ErrNotExist) {
		return r.newAuthority(now, certPath, keyPath)
	}
	if err := errors.Join(errCert, errKey); err != nil {
		return nil, nil, err
	}
	authority, err := hosttls.LoadAuthority(hosttls.KeyPair{Cert: cert, Key: key})
	return authority, nil, err
}

func (r *certsCommand) newAuthority(now time.Time, certPath, keyPath string) (*hosttls.Authority, []certOutput, error) {
	if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return nil, nil, err
	}
	authority, err := hosttls.NewAuthority(now, authorityValid)
	if err != nil {
		return nil, nil, err
	}
	if err := writePair(&authority.KeyPair, certPath, keyPath); err != nil {
		return nil, nil, err
	}
	return authority, []certOutput{{certPath}, {keyPath}}, nil
}

func writePair(pair *hosttls.KeyPair, certPath, keyPath string) error {
	if err := os.WriteFile(keyPath, pair.Key, 0o600); err != nil {
		return err
	}
	return os.WriteFile(certPath, pair.Cert, 0o644)
}

// parseCertHosts reads hosts of the form NAME=IP[,IP].
func parseCertHosts(texts []string) ([]certHost, error) {
	hosts := make([]certHost, len(texts))
	for i, text := range texts {
		name, list, found := strings.Cut(text, "=")
		if !found || name == "" || name == "ca" || filepath.Base(name) != name {
			return nil, invalid("--host: %q is not NAME=IP[,IP]", text)
		}
		hosts[i].name = name
		for _, item := range strings.Split(list, ",") {
			ip, err := netip.ParseAddr(item)
			if err != nil {
				return nil, invalid("--host: %q is no IP", item)
			}
			hosts[i].ips = append(hosts[i].ips, ip)
		}
	}
	return hosts, nil
}

func certTable(files []certOutput) table {
	t := table{row("FILE")}
	for _, f := range files {
		t = append(t, row(f.File))
	}
	return t
}
