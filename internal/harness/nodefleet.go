package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/settings"
)

// Ports of the hosts of a gateway fleet. Each host has an address of its own.
const (
	nodeCallersPort   = 7101
	nodeReadinessPort = 7102
	nodeControlPort   = 7103
	nodeHostsPort     = 7104
	nodeHostsBindPort = 7105
	nodeMetricsPort   = 9464
	// lastNodeOctet is the last octet of the last address of a fleet's subnet.
	lastNodeOctet = 254
)

// Settings of hosts of a gateway fleet, as a deployment sets them.
const (
	nodeMemoryMB    = 256
	nodeStopTimeout = 8 * time.Second
	nodeLinkDelay   = 50 * time.Millisecond
	nodeRetryRatio  = 0.2
	nodeRetrySlack  = 54
	nodeRetryWindow = 10 * time.Second
)

// NodeFleetOptions configures a gateway fleet.
type NodeFleetOptions struct {
	// Daemon is the path of godwitbendd.
	Daemon string
	// Dir is the directory of the fleet's files.
	Dir string
	// Subnet is the first three octets of all addresses.
	Subnet string
	// ProxiedControl lets control hosts accept the connections of other hosts at another address than these
	// connect to, for proxies in between.
	ProxiedControl bool
}

// NodeFleet is a gateway fleet: gateways and control hosts that run as processes on loopback
// addresses. Hosts may be added while it runs. It is not safe for concurrent use.
type NodeFleet struct {
	opts NodeFleetOptions
	// Nodes holds all hosts that were added, also those that are gone.
	Nodes []*Node
}

// Node is a host of a gateway fleet. Its Process is nil until the first start.
type Node struct {
	*Process
	Settings settings.Node
	fleet    *NodeFleet
	path     string
}

// NewNodeFleet returns a fleet without hosts.
func NewNodeFleet(opts NodeFleetOptions) *NodeFleet { return &NodeFleet{opts: opts} }

// Add adds a host at an address that no host had before. It neither writes a file nor starts a process.
func (f *NodeFleet) Add(name, zone string, role settings.NodeRole) (*Node, error) {
	octet := firstHostOctet + len(f.Nodes)
	if octet > lastNodeOctet {
		return nil, eris.Errorf("add %s: no address is left in %s.0/24", name, f.opts.Subnet)
	}
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", f.opts.Subnet, octet, port) }
	s := *settings.DefaultNode()
	s.Host, s.Zone, s.Role = name, zone, role
	s.MemoryMB = nodeMemoryMB
	s.StopTimeout = settings.Duration{Duration: nodeStopTimeout}
	s.Link.MaxDelay = settings.Duration{Duration: nodeLinkDelay}
	s.Retries = settings.Retries{Ratio: nodeRetryRatio, Slack: nodeRetrySlack, Window: settings.Duration{Duration: nodeRetryWindow}}
	s.Admission.Order = settings.OrderByValue
	s.Listen = settings.NodeListen{Hosts: address(nodeHostsPort), Metrics: address(nodeMetricsPort)}
	if role == settings.NodeControl {
		s.DataDir = filepath.Join(f.opts.Dir, name)
		s.Listen.Control = address(nodeControlPort)
		if f.opts.ProxiedControl {
			s.Listen.HostsBind = address(nodeHostsBindPort)
		}
	} else {
		s.Listen.Callers, s.Listen.Readiness = address(nodeCallersPort), address(nodeReadinessPort)
	}
	n := &Node{Settings: s, fleet: f, path: filepath.Join(f.opts.Dir, name+".json")}
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// Kill kills all running processes at the same moment and waits until they have terminated.
func (f *NodeFleet) Kill() {
	var running []*Process
	for _, n := range f.Nodes {
		if n.Running() {
			running = append(running, n.Process)
		}
	}
	KillAll(running...)
}

// Running reports whether the host has a process.
func (n *Node) Running() bool { return n.Process != nil && n.Process.Running() }

// WriteSettings writes the settings file. A running process reads the seeds within seconds or on
// SIGHUP, the rest at its next start.
func (n *Node) WriteSettings() error {
	data, err := json.MarshalIndent(&n.Settings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	// The process may read the file at any time.
	temporary := n.path + ".new"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return eris.Wrap(err, "write settings")
	}
	return eris.Wrap(os.Rename(temporary, n.path), "write settings")
}

// Start writes the settings file and starts or restarts the process.
func (n *Node) Start() error {
	if err := n.WriteSettings(); err != nil {
		return err
	}
	if n.Settings.DataDir != "" {
		if err := os.MkdirAll(n.Settings.DataDir, 0o700); err != nil {
			return eris.Wrap(err, "create data directory")
		}
	}
	p, err := Start(n.Settings.Host, n.fleet.opts.Dir, n.fleet.opts.Daemon, "--settings", n.path, "node")
	if err != nil {
		return err
	}
	n.Process = p
	return nil
}

// RemoveData removes the data directory. The process must have terminated.
func (n *Node) RemoveData() error {
	return eris.Wrap(os.RemoveAll(n.Settings.DataDir), "remove data directory")
}

// LogPath returns the path of the log of all processes of the host.
func (n *Node) LogPath() string { return filepath.Join(n.fleet.opts.Dir, n.Settings.Host+".log") }
