package harness

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

const (
	firstHostNumber     = 2
	firstUpstreamNumber = 100
	requestTimeout      = 5 * time.Second
	filePermissions     = 0o600
	// drainDelay is several times the interval at which the load driver reads the readiness of hosts.
	drainDelay = 500 * time.Millisecond
)

// FleetOptions describe a fleet.
type FleetOptions struct {
	// Bin is the directory of the programs; Dir that of all files of the fleet.
	Bin string
	Dir string
	// Subnet holds the first three numbers of the addresses; empty means "127.0.0".
	Subnet string
	// Hosts is the number of daemons, of which the first Control have the control role.
	Hosts   int
	Control int
	// Zones is the number of availability zones that the hosts are spread over.
	Zones int
	// Adjust, if set, may change the settings of a host before its start.
	Adjust func(*settings.Settings)
}

// Fleet is a set of daemons and stand-ins.
type Fleet struct {
	opts FleetOptions
	// Hosts are the daemons.
	Hosts []*Host
	// Upstreams are the stand-ins.
	Upstreams   []*Upstream
	operatorKey string
	keyFile     string
	http        *http.Client
}

// Host is one daemon.
type Host struct {
	*Process
	Settings *settings.Settings
	path     string
}

// CallersURL is the base URL for callers and upstreams.
func (h *Host) CallersURL() string { return "http://" + h.Settings.Listen.Callers }

// OperatorsURL is the base URL for operators.
func (h *Host) OperatorsURL() string { return "http://" + h.Settings.Listen.Operators }

// NewFleet writes the settings of all hosts; nothing is started.
func NewFleet(opts FleetOptions) (*Fleet, error) {
	if opts.Subnet == "" {
		opts.Subnet = "127.0.0"
	}
	f := &Fleet{
		opts:        opts,
		operatorKey: "operator-" + rand.Text(),
		keyFile:     filepath.Join(opts.Dir, "operator.key"),
		http:        &http.Client{Timeout: requestTimeout},
	}
	if err := os.WriteFile(f.keyFile, []byte(f.operatorKey+"\n"), filePermissions); err != nil {
		return nil, eris.Wrap(err, "write the operator's key")
	}
	var replicas []settings.Replica
	for i := range opts.Hosts {
		h, err := f.newHost(i)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
		if i < opts.Control {
			replicas = append(replicas, settings.Replica{ID: h.Settings.ReplicaID, Address: h.Settings.Listen.Hosts})
		}
	}
	for _, h := range f.Hosts {
		h.Settings.Replicas = replicas
		if err := h.writeSettings(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) newHost(i int) (*Host, error) {
	s := settings.Default()
	s.Host = fmt.Sprintf("host-%d", i+1)
	s.Zone = ZoneName(i, f.opts.Zones)
	s.TLS = settings.TLS{Plaintext: true}
	s.DrainDelay = settings.Duration{Duration: drainDelay}
	hash := sha256.Sum256([]byte(f.operatorKey))
	s.OperatorKeyHashes = []string{hex.EncodeToString(hash[:])}
	if i < f.opts.Control {
		s.Roles = append(s.Roles, settings.RoleControl)
		s.ReplicaID = uint64(i + 1)
		s.Bootstrap = true
		s.DataDir = filepath.Join(f.opts.Dir, s.Host)
	}
	ip := fmt.Sprintf("%s.%d", f.opts.Subnet, firstHostNumber+i)
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	s.Listen = settings.Listen{Callers: addresses[0], Hosts: addresses[1], Operators: addresses[2]}
	if f.opts.Adjust != nil {
		f.opts.Adjust(s)
	}
	return &Host{Settings: s, path: filepath.Join(f.opts.Dir, s.Host+".json")}, nil
}

func (h *Host) writeSettings() error {
	data, err := json.MarshalIndent(h.Settings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(h.path, data, filePermissions), "write settings")
}

// ZoneName returns the zone of the i-th host or upstream if they are spread over zones.
func ZoneName(i, zones int) string {
	return fmt.Sprintf("z%d", i%max(zones, 1)+1)
}

// freeAddresses returns n addresses of ip on which nothing listens.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, eris.Wrap(err, "find a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// StartHosts starts all daemons.
func (f *Fleet) StartHosts() error {
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// StartHost starts, or starts again, the daemon of h.
func (f *Fleet) StartHost(h *Host) error {
	p, err := Start(h.Settings.Host, f.opts.Dir, filepath.Join(f.opts.Bin, "godwitbendd"), "--settings", h.path)
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// AwaitReady waits until all daemons that run are ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if !h.Running() {
			return eris.Errorf("%s has ended\n%s", h.Name, h.LogTail())
		}
		if err := f.AwaitHostReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// AwaitHostReady waits until h is ready.
func (f *Fleet) AwaitHostReady(ctx context.Context, h *Host) error {
	return Await(ctx, h.Name+" is ready", func(ctx context.Context) error {
		return f.checkReady(ctx, h)
	})
}

// Ready tells whether h says that it takes work.
func (f *Fleet) Ready(ctx context.Context, h *Host) bool { return f.checkReady(ctx, h) == nil }

func (f *Fleet) checkReady(ctx context.Context, h *Host) error {
	status, body, err := f.get(ctx, h.OperatorsURL()+"/readyz")
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("status %d: %s", status, body)
	}
	return nil
}

// AwaitUpstreams waits until each running host gives work to n upstreams.
func (f *Fleet) AwaitUpstreams(ctx context.Context, n int) error {
	for _, h := range f.Hosts {
		if !h.Running() {
			continue
		}
		err := Await(ctx, fmt.Sprintf("%s gives work to %d upstreams", h.Name, n), func(ctx context.Context) error {
			out, err := f.Ctl(ctx, h, "upstreams", "-o", "json")
			if err != nil {
				return err
			}
			var reply operatorapi.UpstreamsReply
			if err := json.Unmarshal(out, &reply); err != nil {
				return eris.Wrap(err, "decode upstreams")
			}
			usable := 0
			for i := range reply.Upstreams {
				if reply.Upstreams[i].Usable {
					usable++
				}
			}
			if usable != n {
				return eris.Errorf("%s gives work to %d upstreams", h.Name, usable)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Ctl runs godwitbendctl against host h and returns its standard output.
func (f *Fleet) Ctl(ctx context.Context, h *Host, args ...string) ([]byte, error) {
	all := append([]string{"--server", h.OperatorsURL(), "--key-file", f.keyFile}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(f.opts.Bin, "godwitbendctl"), all...)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return out, eris.Errorf("godwitbendctl %s: %v: %s%s", strings.Join(args, " "), err, stderr.String(), out)
	}
	return out, nil
}

// Stop stops all processes by SIGTERM, the daemons first, and checks that each exits with 0.
func (f *Fleet) Stop() error {
	var all []error
	for _, p := range f.processes() {
		p.Continue()
		p.Terminate()
	}
	for _, p := range f.processes() {
		all = append(all, p.AwaitExit(stopTimeout))
	}
	return errors.Join(all...)
}

// Kill ends whatever still runs. It is for the end of a test or a failed run.
func (f *Fleet) Kill() {
	for _, p := range f.processes() {
		if p.Running() {
			p.Kill()
		}
	}
}

func (f *Fleet) processes() []*Process {
	var all []*Process
	for _, h := range f.Hosts {
		if h.Process != nil {
			all = append(all, h.Process)
		}
	}
	for _, u := range f.Upstreams {
		all = append(all, u.Process)
	}
	return all
}
