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

// Lifetimes of certificates; that of a host's certificate is the default of --valid.
const (
	day               = 24 * time.Hour
	authorityLifetime = 3650 * day
	hostCertLifetime  = 365 * day
)

// File names of the authority's certificate and key, and suffixes of a host's.
const (
	authorityCertFile = "ca.pem"
	authorityKeyFile  = "ca-key.pem"
	certSuffix        = ".pem"
	keySuffix         = "-key.pem"
)

// certHost is a host for which a certificate is issued.
type certHost struct {
	name string
	ips  []netip.Addr
}

// certsCommand issues certificates and stores them in a directory.
type certsCommand struct {
	*command
	dir      string
	hosts    []string
	lifetime time.Duration
	renew    bool
}

// certOutput is the JSON form of one file that was written.
type certOutput struct {
	File string `json:"file"`
}

func (c *command) addCertsCommand(app *kingpin.Application) {
	clause := app.Command("certs", "Issue certificates for hosts. Creates the certificate authority of the fleet if the directory has none.")
	r := &certsCommand{command: c}
	clause.Flag("dir", "Directory of the certificates and keys. Keep "+authorityKeyFile+" off the hosts.").Required().StringVar(&r.dir)
	clause.Flag("host", "Host to issue a certificate for, as NAME=IP[,IP]; may be repeated.").Required().StringsVar(&r.hosts)
	clause.Flag("valid", "Lifetime of the hosts' certificates.").Default(hostCertLifetime.String()).DurationVar(&r.lifetime)
	clause.Flag("renew", "Replace existing certificates.").BoolVar(&r.renew)
	c.setAction(clause, r.run)
}

func (r *certsCommand) run() error {
	hosts, err := parseCertHosts(r.hosts)
	if err != nil {
		return err
	}
	if err := r.checkNotExist(hosts); err != nil {
		return err
	}
	now := time.Now()
	authority, files, err := r.loadOrCreateAuthority(now)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		pair, err := authority.Issue(h.name, h.ips, now, r.lifetime)
		if err != nil {
			return err
		}
		cert, key := r.certPaths(h)
		if err := writePair(pair, cert, key); err != nil {
			return err
		}
		files = append(files, certOutput{cert}, certOutput{key})
	}
	return r.print(files, func() table { return certTable(files) })
}

// certPaths returns the paths of a host's certificate and key.
func (r *certsCommand) certPaths(h certHost) (cert, key string) {
	return filepath.Join(r.dir, h.name+certSuffix), filepath.Join(r.dir, h.name+keySuffix)
}

// checkNotExist returns an error if a host's file exists, unless --renew is given.
func (r *certsCommand) checkNotExist(hosts []certHost) error {
	if r.renew {
		return nil
	}
	for _, h := range hosts {
		cert, key := r.certPaths(h)
		for _, path := range []string{cert, key} {
			if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
				return usageError("%s already exists; use --renew to replace it", path)
			}
		}
	}
	return nil
}

// loadOrCreateAuthority loads the authority from the directory. If the directory has
// none, it creates one and also returns its files.
func (r *certsCommand) loadOrCreateAuthority(now time.Time) (*hosttls.Authority, []certOutput, error) {
	certPath, keyPath := filepath.Join(r.dir, authorityCertFile), filepath.Join(r.dir, authorityKeyFile)
	cert, errCert := os.ReadFile(certPath)
	key, errKey := os.ReadFile(keyPath)
	if errors.Is(errCert, fs.ErrNotExist) && errors.Is(errKey, fs.ErrNotExist) {
		return r.createAuthority(now, certPath, keyPath)
	}
	if err := errors.Join(errCert, errKey); err != nil {
		return nil, nil, err
	}
	authority, err := hosttls.LoadAuthority(hosttls.KeyPair{Cert: cert, Key: key})
	return authority, nil, err
}

func (r *certsCommand) createAuthority(now time.Time, certPath, keyPath string) (*hosttls.Authority, []certOutput, error) {
	if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return nil, nil, err
	}
	authority, err := hosttls.NewAuthority(now, authorityLifetime)
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

// parseCertHosts parses hosts of the form NAME=IP[,IP]. The name "ca" is reserved for
// the files of the authority.
func parseCertHosts(texts []string) ([]certHost, error) {
	hosts := make([]certHost, len(texts))
	for i, text := range texts {
		name, list, found := strings.Cut(text, "=")
		if !found || name == "" || name == "ca" || filepath.Base(name) != name {
			return nil, usageError("--host: %q is not NAME=IP[,IP]", text)
		}
		hosts[i].name = name
		for _, item := range strings.Split(list, ",") {
			ip, err := netip.ParseAddr(item)
			if err != nil {
				return nil, usageError("--host: %q is not an IP address", item)
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
