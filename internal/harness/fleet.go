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
	firstHostOctet     = 2
	firstUpstreamOctet = 100
	requestTimeout     = 5 * time.Second
	fileMode           = 0o600
	// drainDelay is several times the interval at which the load driver polls the readiness
	// of hosts.
	drainDelay = 500 * time.Millisecond
)

// FleetOptions configures a fleet.
type FleetOptions struct {
	// Bin is the directory of the binaries, and Dir the directory of the fleet's files.
	Bin string
	Dir string
	// Subnet is the first three octets of all addresses. If empty, it is "127.0.0".
	Subnet string
	// Hosts is the number of daemons. The first ControlHosts of them have the control role.
	Hosts        int
	ControlHosts int
	// Zones is the number of availability zones across which the hosts are spread.
	Zones int
	// Adjust, if not nil, is called with the settings of each host before they are written.
	Adjust func(*settings.Settings)
}

// Fleet is a set of daemons and stand-in upstreams that run on loopback addresses.
type Fleet struct {
	opts FleetOptions
	// Hosts holds the daemons.
	Hosts []*Host
	// Upstreams holds the stand-in processes in the order of their start.
	Upstreams   []*Upstream
	operatorKey string
	keyFile     string
	http        *http.Client
}

// Host is one daemon. Its Process is nil until the first start.
type Host struct {
	*Process
	Settings     *settings.Settings
	settingsPath string
}

// CallersURL returns the base URL for callers and upstreams.
func (h *Host) CallersURL() string { return "http://" + h.Settings.Listen.Callers }

// OperatorsURL returns the base URL for operators.
func (h *Host) OperatorsURL() string { return "http://" + h.Settings.Listen.Operators }

// NewFleet writes the operator key and the settings of all hosts. It starts no process.
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
	if err := os.WriteFile(f.keyFile, []byte(f.operatorKey+"\n"), fileMode); err != nil {
		return nil, eris.Wrap(err, "write operator key")
	}
	var replicas []settings.Replica
	for i := range opts.Hosts {
		h, err := f.newHost(i)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
		if i < opts.ControlHosts {
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
	if i < f.opts.ControlHosts {
		s.Roles = append(s.Roles, settings.RoleControl)
		s.ReplicaID = uint64(i + 1)
		s.Bootstrap = true
		s.DataDir = filepath.Join(f.opts.Dir, s.Host)
	}
	ip := fmt.Sprintf("%s.%d", f.opts.Subnet, firstHostOctet+i)
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	s.Listen = settings.Listen{Callers: addresses[0], Hosts: addresses[1], Operators: addresses[2]}
	if f.opts.Adjust != nil {
		f.opts.Adjust(s)
	}
	return &Host{Settings: s, settingsPath: filepath.Join(f.opts.Dir, s.Host+".json")}, nil
}

func (h *Host) writeSettings() error {
	data, err := json.MarshalIndent(h.Settings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(h.settingsPath, data, fileMode), "write settings")
}

// ZoneName returns the zone of the i-th host or upstream if they are assigned to zones
// round-robin.
func ZoneName(i, zones int) string {
	return fmt.Sprintf("z%d", i%max(zones, 1)+1)
}

// freeAddresses returns n addresses of ip with distinct unused ports.
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

// StartHosts starts the daemons of all hosts.
func (f *Fleet) StartHosts() error {
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// StartHost starts or restarts the daemon of h.
func (f *Fleet) StartHost(h *Host) error {
	p, err := Start(h.Settings.Host, f.opts.Dir, filepath.Join(f.opts.Bin, "godwitbendd"), "--settings", h.settingsPath)
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// OperatorKey returns the key of operators.
func (f *Fleet) OperatorKey() string { return f.operatorKey }

// AwaitReady waits until all daemons are ready. It returns an error if one has terminated.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, h := range f.Hosts {
		if !h.Running() {
			return eris.Errorf("%s has terminated\n%s", h.Name, h.LogTail())
		}
		if err := f.AwaitHostReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// AwaitHostReady waits until the readiness check of h succeeds.
func (f *Fleet) AwaitHostReady(ctx context.Context, h *Host) error {
	return Await(ctx, h.Name+" is ready", func(ctx context.Context) error {
		return f.checkReady(ctx, h)
	})
}

// Ready reports whether the readiness check of h succeeds.
func (f *Fleet) Ready(ctx context.Context, h *Host) bool { return f.checkReady(ctx, h) == nil }

func (f *Fleet) checkReady(ctx context.Context, h *Host) error {
	status, body, err := f.get(ctx, h.OperatorsURL()+"/readyz")
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("readiness check: status %d: %s", status, body)
	}
	return nil
}

// AwaitUpstreams waits until each running host lists exactly n usable upstreams.
func (f *Fleet) AwaitUpstreams(ctx context.Context, n int) error {
	for _, h := range f.Hosts {
		if !h.Running() {
			continue
		}
		err := Await(ctx, fmt.Sprintf("%s has %d usable upstreams", h.Name, n), func(ctx context.Context) error {
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
				return eris.Errorf("%s has %d usable upstreams", h.Name, usable)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Ctl runs godwitbendctl against h and returns its standard output.
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

// Stop sends SIGTERM to all processes, daemons first, and waits for them to exit. It returns an
// error if one does not exit in time or its exit code is not 0. Frozen processes are resumed.
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

// Kill kills all running processes. It is for clean-up at the end of a test or after a failure.
func (f *Fleet) Kill() {
	for _, p := range f.processes() {
		if p.Running() {
			p.Kill()
		}
	}
}

// processes returns all processes that were started, daemons first.
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
